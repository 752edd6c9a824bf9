"""The writer when outcomes of commits are unknown, rate limits, the leader lease, record sizes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import cbor2
import pytest

from peathall import constants
from peathall.cluster.ranges import Ranges
from peathall.config.platform import StateSettings
from peathall.jobs.follower import FollowerService
from peathall.jobs.records import DONE_TASKS_PREFIX, done_key, done_record, tasks_per_block
from peathall.leadership.lease import HeldLease, fencing_token, first_number_of_term
from peathall.placement.round_entries import RoundEntry, from_record, split_entries, to_record
from peathall.protocol.codec import json_size, struct_to_builtins
from peathall.protocol.errors import decode_error
from peathall.protocol.state_service import KeyValue, Put, WatchEvent, transaction_to_wire
from peathall.store.client import StoreClient
from peathall.store.deferred_writes import DeferredWrites
from peathall.store.errors import (
    ConflictError,
    InvalidTransactionError,
    LeadershipLostError,
    OutcomeUnknownError,
    RateLimitError,
    UnattainableRateError,
)
from peathall.store.mutation import Batch, Mutation
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.single_flight import SingleFlightRead
from peathall.store.token_bucket import TokenBucket
from peathall.store.transaction import GuardKey
from peathall.store.writer import Writer


class FakeStore:
    """An in-memory state service that can leave commits without a response."""

    def __init__(self) -> None:
        self.data: dict[str, tuple[Any, int]] = {"lead": ({"member": "a"}, 1)}
        self.revision = 1
        self.spare_ops = 12.0  # operations that deferred writes may use now
        self.first_reported_after = 0  # watches report only changes after this revision
        # One entry for each of the next commits, which get no response: whether it is carried out.
        self.lost_responses: list[bool] = []
        # Conditions and operations of the commits without a response that are not carried out yet.
        self.pending_commits: list[tuple[dict[str, int], list[Any]]] = []
        self.commits = 0

    def spare_writes(self) -> float:
        return self.spare_ops

    async def get(self, key: str, prioritized: bool = False) -> KeyValue | None:
        found = self.data.get(key)
        return KeyValue(key, found[0], found[1]) if found else None

    async def scan(self, prefix: str) -> tuple[list[KeyValue], int]:
        found = [KeyValue(k, v, at) for k, (v, at) in self.data.items() if k.startswith(prefix)]
        return found, self.revision

    async def changes_since(self, prefix: str, after: int) -> tuple[int, list[Any]] | None:
        if after < self.first_reported_after:
            return None
        return self.revision, [
            WatchEvent(k, at, v, v is None)
            for k, (v, at) in self.data.items()
            if k.startswith(prefix) and at > after
        ]

    def write(self, key: str, value: Any) -> None:
        """Store a value; None counts as deleted, and watches report a deletion."""
        self.revision += 1
        self.data[key] = (value, self.revision)

    def apply(self, conditions: dict[str, int], ops: list[Any]) -> int:
        failed = [k for k, v in conditions.items() if self.data.get(k, (0, 0))[1] != v]
        if failed:
            raise ConflictError(failed)
        self.revision += 1
        for op in ops:
            if isinstance(op, Put):
                self.data[op.key] = (op.value, self.revision)
            else:
                self.data.pop(op.key, None)
        return self.revision

    async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
        self.commits += 1
        if self.lost_responses:
            if self.lost_responses.pop(0):
                self.apply(conditions, ops)
            else:
                self.pending_commits.append((dict(conditions), list(ops)))
            raise OutcomeUnknownError("no answer")
        return self.apply(conditions, ops)


LIMITS = StateSettings(100.0, 50.0, 8.0, 12)


def leader_guard(version: int = 1) -> GuardKey:
    return GuardKey("lead", {"member": "a"}, version, None)


def new_writer(store: FakeStore) -> Writer:
    client: Any = store
    assert isinstance(client, FakeStore | StoreClient)
    return Writer(client, LIMITS, leader_guard(), lambda: True, lambda: None)


@asynccontextmanager
async def running(writer: Writer) -> AsyncIterator[None]:
    """Run the writer inside the block and stop it afterwards."""
    task = asyncio.create_task(writer.run())
    yield
    writer.stop()
    await task


def write_all(store: FakeStore, puts: list[Put]) -> list[Any]:
    """Submit each put as a mutation; returns its result, a revision or an error."""

    async def run() -> list[Any]:
        writer = new_writer(store)
        futures = [writer.submit([put]) for put in puts]
        async with running(writer), asyncio.timeout(10.0):
            return list(await asyncio.gather(*futures, return_exceptions=True))

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def retry_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("peathall.constants.STORE_RETRY_S", 0.0)


def test_a_batch_is_one_commit() -> None:
    store = FakeStore()
    assert write_all(store, [Put("a", 1), Put("b", 2)]) == [2, 2]


@pytest.mark.parametrize("carried_out", [True, False])
def test_a_commit_without_a_response_is_carried_out_once(carried_out: bool) -> None:
    store = FakeStore()
    store.lost_responses = [carried_out]
    assert write_all(store, [Put("a", 1), Put("b", 2)]) == [2, 2]
    assert store.data["a"] == (1, 2)


def test_a_lost_response_costs_a_read_and_no_second_commit() -> None:
    """When all responses to commits were lost, the leader retried one commit for a minute and wrote
    nothing else, although a read would have shown that the commit had been carried out."""
    store = FakeStore()
    store.lost_responses = [True] * 5
    assert write_all(store, [Put("a", 1), Put("b", 2)]) == [2, 2]
    assert store.commits == 1


@pytest.mark.parametrize("fence_carried_out", [None, True, False])
def test_a_commit_that_failed_on_a_conflict_is_not_carried_out_late(
    fence_carried_out: bool | None,
) -> None:
    """The condition of a commit failed and held again later. Then the attempt without a response
    was carried out late, and wrote a record of an archived job that the leader did not know of."""
    store = FakeStore()
    store.write("live/job/j-3", {"id": "j-3"})

    async def run() -> None:
        writer = new_writer(store)
        async with running(writer):
            store.lost_responses = [False]
            if fence_carried_out is not None:
                store.lost_responses = [False]
                original = store.apply

                def apply(conditions: dict[str, int], ops: list[Any]) -> int:
                    if "live/job/j-3" in conditions and not store.lost_responses:
                        store.lost_responses = [fence_carried_out]
                        store.apply = original  # type: ignore[method-assign]
                    return original(conditions, ops)

                store.apply = apply  # type: ignore[method-assign]
            conflicting = writer.submit([Put("live/jobs/1-1", {"jobs": [3]})], {"live/job/j-3": 0})
            with pytest.raises(ConflictError):
                await conflicting
            del store.data["live/job/j-3"]
            for pending in store.pending_commits:
                with pytest.raises(ConflictError):
                    store.apply(*pending)
            assert "live/jobs/1-1" not in store.data
            assert await writer.submit([Put("a", 1)]) == store.revision  # the writer goes on

    asyncio.run(run())


def test_an_equal_record_of_another_controller_does_not_prove_a_commit() -> None:
    """A follower had created the job record that a lost commit was to write. The leader took the
    commit for applied, and reported a job as done whose final status was never written."""
    store = FakeStore()
    store.write("job/j-1", {"same": 1})
    store.lost_responses = [False]
    results = write_all(store, [Put("job/j-1", {"same": 1}), Put("fate/j-2", {"standing": "done"})])
    assert isinstance(results[0], ConflictError)
    assert store.data["fate/j-2"][1] == results[1]


def test_a_conflict_fails_only_its_own_mutation() -> None:
    store = FakeStore()
    store.write("a", 0)
    results = write_all(store, [Put("a", 1), Put("b", 2)])
    assert isinstance(results[0], ConflictError)
    assert store.data["b"][0] == 2


def test_a_rejected_commit_with_a_pending_attempt_is_not_carried_out_late() -> None:
    """The first attempt gets no response and the retry exceeds lowered limits; the first attempt
    could still be carried out under the earlier limits."""

    class FallingLimitStore(FakeStore):
        async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
            if self.commits and any(isinstance(op, Put) and op.key == "a" for op in ops):
                raise InvalidTransactionError("too large")
            return await super().commit(conditions, ops)

    store = FallingLimitStore()
    store.lost_responses = [False]
    assert isinstance(write_all(store, [Put("a", 1)])[0], InvalidTransactionError)
    with pytest.raises(ConflictError):
        store.apply(*store.pending_commits[0])
    assert "a" not in store.data


def test_a_leader_whose_key_another_controller_has_overwritten_writes_nothing() -> None:
    store = FakeStore()
    store.write("lead", {"member": "other"})
    results = write_all(store, [Put("a", 1)])
    assert isinstance(results[0], LeadershipLostError)
    assert "a" not in store.data


def test_token_buckets_keep_their_rate() -> None:
    bucket = TokenBucket(10.0)
    now, acquired = 0.0, 0
    while now < 20.0:
        wait_s = bucket.try_acquire(1, now)
        acquired += wait_s == 0
        now += wait_s
    assert 200 <= acquired <= 211
    # A full bucket grants a request for more than a burst, which could otherwise never be granted.
    assert bucket.try_acquire(25, now + 5) == 0.0
    assert bucket.try_acquire(1, now + 5) > 1.0


def test_the_leader_lease_counts_from_sending_the_renewal() -> None:
    lease = HeldLease(5.0, 100.0)
    assert lease.is_valid(104.6)
    assert not lease.is_valid(104.75)
    lease.record_renewal(103.0)
    lease.record_renewal(101.0)  # an older renewal whose response came late shortens nothing
    assert lease.is_valid(107.6)
    assert not lease.is_valid(108.0)


def test_fencing_tokens_and_attempts_of_a_later_term_are_higher() -> None:
    assert fencing_token(1, 2**24 - 1) < fencing_token(2, 0)
    assert first_number_of_term(2) == fencing_token(2, 0)


def test_records_stay_under_the_size_limit() -> None:
    size = tasks_per_block(int(8 * 1024 * constants.VALUE_SIZE_SHARE))
    alternate_tasks = Ranges([(n, n + 1) for n in range(99_000, 99_000 + 3 * size, 2)])
    for block in range(99_000 // size, (99_000 + 3 * size) // size + 1):
        assert json_size(struct_to_builtins(done_record(alternate_tasks, block, size))) < 8 * 1024
    entries = [RoundEntry(f"j-{n}", n, "m-1", [[0, n]]) for n in range(2000)]
    parts = split_entries(entries, 2000)
    assert [e for part in parts for e in part] == entries
    assert all(json_size(to_record(part)) <= 2000 for part in parts)
    assert from_record(to_record(parts[0])) == parts[0]


def test_the_assignments_of_a_gang_share_one_record_if_they_fit() -> None:
    entries = [
        RoundEntry(f"j-{job}", 4294967296 + job, f"m-{n:06d}", [[n, n + 1]])
        for job in range(9)
        for n in range(8)
    ]
    for limit, gang_fits in ((600, True), (200, False)):
        parts = split_entries(entries, limit)
        assert [e for part in parts for e in part] == entries
        assert all(json_size(to_record(part)) <= limit for part in parts)
        jobs_of_parts = [{e.job for e in part} for part in parts]
        split_gangs = sum(
            len([1 for jobs in jobs_of_parts if f"j-{job}" in jobs]) > 1 for job in range(9)
        )
        assert (split_gangs == 0) is gang_fits


def test_a_commit_that_the_state_service_always_rejects_delays_no_other() -> None:
    """Limits may fall further than announced. Retrying a commit that is too large for them would
    block all later ones."""

    class SizeLimitedStore(FakeStore):
        async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
            if any(isinstance(op, Put) and op.key == "large" for op in ops):
                raise InvalidTransactionError("commit: 400")
            return await super().commit(conditions, ops)

    store = SizeLimitedStore()
    results = write_all(store, [Put("a", 1), Put("large", 2), Put("b", 3)])
    assert isinstance(results.pop(1), InvalidTransactionError)
    assert results == [store.data["a"][1], store.data["b"][1]]


def test_shared_records_are_smaller_after_the_state_service_rejected_one() -> None:
    """Regression: all entries of a rejected record failed, and were sent again in the same one."""

    class SizeLimitedStore(FakeStore):
        rejected = 0

        async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
            if any(isinstance(op, Put) and json_size(op.value) > 2048 for op in ops):
                self.rejected += 1
                raise InvalidTransactionError("commit: 400")
            return await super().commit(conditions, ops)

    async def run() -> None:
        store = SizeLimitedStore()
        writer = new_writer(store)
        shared = SharedRecordWriter(writer, 7, "live/jobs/", "jobs")
        async with running(writer):
            stored = [shared.add({"id": f"j-{n}", "text": "x" * 100}) for n in range(200)]
            large = shared.add({"id": "j-200", "text": "x" * 3000})
            keys = [await entry for entry in stored]
            with pytest.raises(InvalidTransactionError):
                await large  # alone in its record
        assert all(json_size(store.data[key][0]) <= 2048 for key in keys)
        jobs = [job["id"] for key in dict.fromkeys(keys) for job in store.data[key][0]["jobs"]]
        assert sorted(jobs) == sorted(f"j-{n}" for n in range(200))
        assert store.rejected <= 3  # 8 KiB are halved twice, and the large value

    asyncio.run(run())


@pytest.mark.parametrize("value_kb", [2.0, 16.0, 64.0, 1000.0])
def test_a_transaction_with_its_conditions_is_within_the_protocols_limit(value_kb: float) -> None:
    """Regression: with large values, or with many jobs in one record, a transaction was larger than
    64 KiB."""

    class MeasuringStore(FakeStore):
        largest = 0

        async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
            wire = transaction_to_wire(dict.fromkeys(conditions, 2**40), ops)
            self.largest = max(self.largest, json_size(wire))
            return await super().commit(conditions, ops)

    async def run() -> int:
        store: Any = MeasuringStore()
        limits = StateSettings(100.0, 1000.0, value_kb, 1000)
        writer = Writer(store, limits, leader_guard(), lambda: True, lambda: None)
        shared = SharedRecordWriter(writer, 7, "live/jobs/", "jobs")
        async with running(writer):
            jobs = [
                shared.add(
                    {"id": f"j-{n:030d}", "text": "x" * 300},
                    {f"{prefix}/j-{n:030d}": 0 for prefix in ("live/job", "past", "borrowed")},
                )
                for n in range(600)
            ]
            others = [writer.submit([Put(f"other/{n}", "x" * 200)]) for n in range(600)]
            await asyncio.gather(*jobs, *others)
        return int(store.largest)

    assert asyncio.run(run()) <= 64 * 1024


def test_only_a_value_that_may_be_too_large_lowers_the_limit_of_values() -> None:
    async def run() -> None:
        for size, operations, error, lowered in (
            (3000, 1, InvalidTransactionError("commit: 400"), True),
            (3000, 4, UnattainableRateError("commit: 429"), False),
            (300, 1, InvalidTransactionError("commit: 400"), False),
        ):

            class RejectingStore(FakeStore):
                async def commit(
                    self,
                    conditions: dict[str, int],
                    ops: list[Any],
                    error: InvalidTransactionError = error,
                ) -> int:
                    raise error

            writer = new_writer(RejectingStore())
            before = writer.value_limit
            async with running(writer):
                puts = [Put(f"k-{n}", "x" * (size - 2)) for n in range(operations)]
                with pytest.raises(type(error)):
                    await writer.submit([*puts])
            assert writer.value_limit == (size // 2 if lowered else before)

    asyncio.run(run())


def test_keys_of_done_tasks_name_the_job_and_differ_between_block_sizes() -> None:
    """Controllers of two versions, or with two value size limits, write blocks of different sizes.
    Under a common key they would overwrite each other."""
    assert len({done_key("j-1", 0, 216), done_key("j-1", 0, 1740), "done/j-1/0"}) == 3
    for key in (done_key("j-1", 3, 216), "done/j-1/3"):  # read by the earlier version
        assert key.removeprefix(DONE_TASKS_PREFIX).rpartition("/")[0] == "j-1"


def test_a_deferred_write_is_written_once_in_its_latest_state_when_there_is_capacity() -> None:
    store = FakeStore()
    store.spare_ops = 0.0
    state = {"n": 0}

    async def run() -> None:
        writer = new_writer(store)
        async with running(writer):
            for _ in range(3):
                state["n"] += 1
                writer.defer("hint", lambda: Mutation({}, [Put("hint", dict(state))]))
                await writer.submit([Put(f"job/{state['n']}", 1)])
                assert "hint" not in store.data  # no spare capacity
            store.spare_ops = 12.0
            await writer.submit([Put("job/4", 1)])
            assert store.data["hint"] == ({"n": 3}, store.data["job/4"][1])

    asyncio.run(run())


def test_the_shares_of_all_controllers_stay_within_the_rate_limits() -> None:
    """Shares that were fixed for three controllers added up to more than the limit with five."""

    async def run() -> None:
        for size in (1, 2, 3, 5, 9):
            clients = [StoreClient("10.0.0.1:1", LIMITS, size) for _ in range(size)]
            clients[0].set_leading(True)
            assert sum(x.rate_limits.requests.rate for x in clients) <= LIMITS.rps + 1e-9
            assert sum(x.rate_limits.writes.rate for x in clients) <= LIMITS.write_rps + 1e-9

    asyncio.run(run())


def test_a_commit_counts_at_the_limit_until_its_response() -> None:
    """Regression: a commit took 0.6 s to arrive. Its sender's bucket had been refilled meanwhile,
    the service's had not, so the next commit was refused."""
    rate = 3.0
    bucket, service = TokenBucket(rate), TokenBucket(rate)
    assert bucket.try_acquire(3, 10.0) == 0.0
    assert service.try_acquire(3, 10.6) == 0.0
    bucket.note_spent_late(3, 10.6)
    delay = bucket.try_acquire(3, 10.6)
    assert delay == pytest.approx(1.0)
    assert bucket.try_acquire(3, 10.6 + delay) == 0.0
    assert service.try_acquire(3, 10.6 + delay) == 0.0


@pytest.mark.parametrize("body", [[], [1], "text", 3, True])
@pytest.mark.parametrize("status", [200, 400, 404, 409])
def test_a_response_that_is_no_map_is_an_unknown_outcome(status: int, body: Any) -> None:
    """Regression: it raised AttributeError, which ended the leader's term."""

    async def respond(*args: Any) -> tuple[int, bytes]:
        return status, cbor2.dumps(body)

    async def run() -> None:
        client = StoreClient("10.0.0.1:1", LIMITS, 3)
        client.http.request = respond  # type: ignore[method-assign]
        with pytest.raises(OutcomeUnknownError):
            await client.commit({}, [Put("k", {})])
        with pytest.raises(OutcomeUnknownError):
            await client.get("k")

    asyncio.run(run())
    assert decode_error(body) == ""


def test_one_read_serves_all_queries_at_a_controller_without_a_leader() -> None:
    """When each query read two records, many queries at once used up the request rate limit."""

    class CountingStore(FakeStore):
        reads = scans = 0

        async def get(self, key: str, prioritized: bool = False) -> KeyValue | None:
            assert key.startswith("past/")
            return await super().get(key)

        async def scan(self, prefix: str) -> tuple[list[KeyValue], int]:
            self.scans += 1
            return await super().scan(prefix)

        async def changes_since(self, prefix: str, after: int) -> tuple[int, list[Any]] | None:
            self.reads += 1
            changes = await super().changes_since(prefix, after)
            await asyncio.sleep(0)  # the response has the state at the time of the request
            return changes

    store = CountingStore()
    shared_jobs = [{"id": "j-1"}, {"id": "j-2"}]
    store.write("live/jobs/1-1", {"jobs": shared_jobs})
    store.write("live/job/j-3", {"id": "j-3"})

    async def run() -> None:
        client: Any = store
        follower_service = FollowerService(client, None)  # type: ignore[arg-type]

        async def statuses(*ids: str) -> list[str]:
            responses = await asyncio.gather(*(follower_service.query(job_id) for job_id in ids))
            return [
                response[1]["standing"] if response[1] else str(response[0])
                for response in responses
            ]

        assert await statuses("j-1", "j-2", "j-3", "j-4") == ["queued", "queued", "queued", "404"]
        assert (store.scans, store.reads) == (1, 1)
        earlier_query = asyncio.create_task(statuses("j-1"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        store.write("live/ends/1-1", {"ends": [["j-2", "aborted", 0]]})
        # A read sent before a query may lack changes that an earlier query has already reported.
        assert await statuses("j-1", "j-2") == ["queued", "aborted"]
        assert await earlier_query == ["queued"]
        assert (store.scans, store.reads) == (1, 3)
        store.write("past/j-1", {"standing": "done", "done": 4})
        store.write("live/jobs/1-1", None)
        store.write("live/ends/1-1", None)
        assert await statuses("j-1", "j-2") == ["done", "aborted"]
        reads_before = store.reads
        assert await statuses("j-1", "j-2") == ["done", "aborted"]
        assert store.reads == reads_before  # a final status never changes
        store.first_reported_after = store.revision  # cached one too old: scans anew
        store.write("live/job/j-5", {"id": "j-5"})
        assert await statuses("j-3", "j-5") == ["queued", "queued"]

    asyncio.run(run())


def test_jobs_that_arrive_together_share_one_record() -> None:
    """With one record for each job, many small jobs were accepted only at the write rate limit. A
    job that another controller has accepted meanwhile fails alone and delays none of the others."""
    store = FakeStore()
    store.write("live/job/j-3", {})

    async def run() -> None:
        writer = new_writer(store)
        shared = SharedRecordWriter(writer, 7, "live/jobs/", "jobs")
        futures = [
            shared.add({"id": f"j-{n}", "text": "x" * 300}, {f"live/job/j-{n}": 0})
            for n in range(40)
        ]
        async with running(writer):
            results = await asyncio.gather(*futures, return_exceptions=True)
            assert isinstance(results.pop(3), ConflictError)
            assert len(set(results)) < 5
            stored = [r["id"] for key in set(results) for r in store.data[str(key)][0]["jobs"]]
            assert sorted(stored) == sorted(f"j-{n}" for n in range(40) if n != 3)
            assert all(json_size(store.data[str(key)][0]) <= 8 * 1024 for key in set(results))
        with pytest.raises(LeadershipLostError):
            await shared.add({}, {})

    asyncio.run(run())


class RateLimitedStore(FakeStore):
    """Refuses every transaction with more operations than the write rate allows in one second."""

    allowed = 5  # operations

    async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
        if len(ops) > self.allowed:
            raise RateLimitError("state service: 429")
        return await super().commit(conditions, ops)


@pytest.mark.parametrize("write_rate", [50.0, float(RateLimitedStore.allowed)])
def test_a_transaction_with_more_changes_than_the_rate_allows_is_divided(
    write_rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A transaction of twelve operations was retried without end at a rate of five per second. If
    the settings have that rate, no such transaction is assembled; if the rate fell unannounced,
    the transaction is divided."""
    monkeypatch.setattr("tests.unit.test_store.LIMITS", StateSettings(100.0, write_rate, 8.0, 12))
    store = RateLimitedStore()
    revisions = write_all(store, [Put(f"k-{number:02d}", number) for number in range(12)])
    assert all(isinstance(revision, int) for revision in revisions)
    assert len(store.data) == 1 + 12


def test_a_bounded_deferred_write_is_written_after_its_longest_wait_without_capacity() -> None:
    async def run() -> None:
        deferred = DeferredWrites()
        for name, bounded in (("unbounded", False), ("first", True), ("second", True)):
            put = Put(name, 1)
            deferred.add(name, lambda put=put: Mutation({}, [put]), bounded, now=10.0)  # type: ignore[misc]

        def moved_keys(now: float, spare_ops: float = 0.0) -> list[str]:
            batch = Batch(LIMITS)
            assert deferred.move_to(batch, spare_ops, now) is None
            return [op.key for mutation in batch.mutations for op in mutation.ops]

        assert moved_keys(10.0 + constants.DEFERRED_MAX_WAIT_S) == []
        overdue = 10.1 + constants.DEFERRED_MAX_WAIT_S
        assert moved_keys(overdue) == ["first"]  # one per transaction
        assert moved_keys(overdue) == ["second"]
        assert moved_keys(overdue + 1e6) == []
        assert moved_keys(overdue, 12.0) == ["unbounded"]
        assert not deferred

    asyncio.run(run())


def test_a_deferred_write_that_does_not_fit_is_returned_and_not_lost() -> None:
    async def run() -> None:
        deferred = DeferredWrites()
        for name in ("one", "two"):
            deferred.add(name, lambda: Mutation({}, [Put("same", 1)]), bounded=False, now=0.0)
        batch = Batch(LIMITS)
        left_over = deferred.move_to(batch, 12.0, 0.0)
        assert left_over is not None and left_over not in batch.mutations
        assert len(batch.mutations) == 1
        assert not deferred

    asyncio.run(run())


def test_a_single_flight_read_starts_after_the_call_and_serves_all_waiting_callers() -> None:
    reads_started = 0

    async def run() -> None:
        may_finish = asyncio.Event()

        async def read() -> None:
            nonlocal reads_started
            reads_started += 1
            await may_finish.wait()

        single_flight = SingleFlightRead(read)
        first = asyncio.create_task(single_flight.refresh())
        while reads_started == 0:
            await asyncio.sleep(0)
        later = [asyncio.create_task(single_flight.refresh()) for _ in range(5)]
        await asyncio.sleep(0)
        assert reads_started == 1
        may_finish.set()
        await asyncio.gather(first, *later)
        assert reads_started == 2

    asyncio.run(run())
