"""The writer with unknown outcomes, rate limits, the leader lease, and the split of records."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from peathall import constants
from peathall.cluster.ranges import Ranges
from peathall.config.platform import StateSettings
from peathall.jobs.follower import FollowerService
from peathall.jobs.records import DONE_TASKS_PREFIX, done_key, done_record, tasks_per_block
from peathall.leadership.lease import HeldLease, fencing_token, first_number_of_term
from peathall.placement.rounds import RoundEntry, from_record, split_entries, to_record
from peathall.protocol.codec import json_size, struct_to_builtins
from peathall.protocol.state_service import KeyValue, Put, WatchEvent
from peathall.store.client import StoreClient
from peathall.store.deferred_writes import DeferredWrites
from peathall.store.errors import (
    ConflictError,
    InvalidTransactionError,
    LeadershipLostError,
    OutcomeUnknownError,
    RateLimitError,
)
from peathall.store.mutation import Batch, Mutation
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.single_flight import SingleFlightRead
from peathall.store.token_bucket import TokenBucket
from peathall.store.transaction import GuardKey
from peathall.store.writer import Writer


class FakeStore:
    """A state service in memory. Commits listed in `lose` get no response, carried out or not."""

    def __init__(self) -> None:
        self.data: dict[str, tuple[Any, int]] = {"lead": ({"member": "a"}, 1)}
        self.revision = 1
        self.spare = 12.0  # changes that deferred writes may make
        self.forgotten = 0  # changes up to this revision are not reported to watches any more
        self.lose: list[bool] = []  # for each coming commit without a response: carried out?
        self.under_way: list[tuple[dict[str, int], list[Any]]] = []  # those that were not, yet
        self.commits = 0

    def spare_writes(self) -> float:
        return self.spare

    async def get(self, key: str, prioritized: bool = False) -> KeyValue | None:
        found = self.data.get(key)
        return KeyValue(key, found[0], found[1]) if found else None

    async def scan(self, prefix: str) -> tuple[list[KeyValue], int]:
        found = [KeyValue(k, v, at) for k, (v, at) in self.data.items() if k.startswith(prefix)]
        return found, self.revision

    async def changes_since(self, prefix: str, after: int) -> tuple[int, list[Any]] | None:
        if after < self.forgotten:
            return None
        return self.revision, [
            WatchEvent(k, at, v, v is None)
            for k, (v, at) in self.data.items()
            if k.startswith(prefix) and at > after
        ]

    def write(self, key: str, value: Any) -> None:
        """Watches report a deletion if the value is None."""
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
        if self.lose:
            if self.lose.pop(0):
                self.apply(conditions, ops)
            else:
                self.under_way.append((dict(conditions), list(ops)))
            raise OutcomeUnknownError("no answer")
        return self.apply(conditions, ops)


LIMITS = StateSettings(100.0, 50.0, 8.0, 12)


def lead(version: int = 1) -> GuardKey:
    return GuardKey("lead", {"member": "a"}, version, None)


def new_writer(store: FakeStore) -> Writer:
    client: Any = store
    assert isinstance(client, FakeStore | StoreClient)
    return Writer(client, LIMITS, lead(), lambda: True, lambda: None)


@asynccontextmanager
async def running(writer: Writer) -> AsyncIterator[None]:
    """While the writer runs; it is stopped afterwards."""
    task = asyncio.create_task(writer.run())
    yield
    writer.stop()
    await task


def write_all(store: FakeStore, puts: list[Put]) -> list[Any]:
    """The result of each put: a revision or an error."""

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
    store.lose = [carried_out]
    assert write_all(store, [Put("a", 1), Put("b", 2)]) == [2, 2]
    assert store.data["a"] == (1, 2)


def test_a_lost_response_costs_a_read_and_no_second_commit() -> None:
    """While every response to a commit was lost, the leader repeated one for a minute and wrote
    nothing else, though others could read what it had written."""
    store = FakeStore()
    store.lose = [True] * 5
    assert write_all(store, [Put("a", 1), Put("b", 2)]) == [2, 2]
    assert store.commits == 1


@pytest.mark.parametrize("fence_carried_out", [None, True, False])
def test_a_commit_that_was_given_up_is_not_carried_out_late(fence_carried_out: bool | None) -> None:
    """Its condition failed, and held again later on: then the attempt without a response was
    carried out late and wrote a record of an archived job that its leader did not know of."""
    store = FakeStore()
    store.write("live/job/j-3", {"id": "j-3"})

    async def run() -> None:
        writer = new_writer(store)
        async with running(writer):
            store.lose = [False]
            if fence_carried_out is not None:
                store.lose = [False]
                original = store.apply

                def apply(conditions: dict[str, int], ops: list[Any]) -> int:
                    if "live/job/j-3" in conditions and not store.lose:
                        store.lose = [fence_carried_out]
                        store.apply = original  # type: ignore[method-assign]
                    return original(conditions, ops)

                store.apply = apply  # type: ignore[method-assign]
            given_up = writer.submit([Put("live/jobs/1-1", {"jobs": [3]})], {"live/job/j-3": 0})
            with pytest.raises(ConflictError):
                await given_up
            del store.data["live/job/j-3"]
            for late in store.under_way:
                with pytest.raises(ConflictError):
                    store.apply(*late)
            assert "live/jobs/1-1" not in store.data
            assert await writer.submit([Put("a", 1)]) == store.revision  # and the leader goes on

    asyncio.run(run())


def test_an_equal_record_of_another_controller_does_not_prove_a_commit() -> None:
    """A follower had created the same job record; the final status beside it was never written,
    and yet the job was reported as done."""
    store = FakeStore()
    store.write("job/j-1", {"same": 1})
    store.lose = [False]
    results = write_all(store, [Put("job/j-1", {"same": 1}), Put("fate/j-2", {"standing": "done"})])
    assert isinstance(results[0], ConflictError)
    assert store.data["fate/j-2"][1] == results[1]


def test_a_conflict_fails_only_its_own_mutation() -> None:
    store = FakeStore()
    store.write("a", 0)
    results = write_all(store, [Put("a", 1), Put("b", 2)])
    assert isinstance(results[0], ConflictError)
    assert store.data["b"][0] == 2


def test_a_rejected_commit_with_an_attempt_pending_can_t_be_carried_out_late() -> None:
    """Its response was lost, and then the limits fell: a late attempt might meet the old ones."""

    class Falling(FakeStore):
        async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
            if self.commits and any(isinstance(op, Put) and op.key == "a" for op in ops):
                raise InvalidTransactionError("too large")
            return await super().commit(conditions, ops)

    store = Falling()
    store.lose = [False]
    assert isinstance(write_all(store, [Put("a", 1)])[0], InvalidTransactionError)
    with pytest.raises(ConflictError):
        store.apply(*store.under_way[0])
    assert "a" not in store.data


def test_a_leader_whose_key_is_another_controller_s_writes_nothing() -> None:
    store = FakeStore()
    store.write("lead", {"member": "other"})
    results = write_all(store, [Put("a", 1)])
    assert isinstance(results[0], LeadershipLostError)
    assert "a" not in store.data


def test_token_buckets_keep_their_rate() -> None:
    bucket = TokenBucket(10.0)
    now, spent = 0.0, 0
    while now < 20.0:
        pause = bucket.try_acquire(1, now)
        spent += pause == 0
        now += pause
    assert 200 <= spent <= 211
    # More than a burst is allowed from a full bucket, rather than never.
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
    size = tasks_per_block(8.0)
    worst = Ranges([(n, n + 1) for n in range(99_000, 99_000 + 3 * size, 2)])
    for block in range(99_000 // size, (99_000 + 3 * size) // size + 1):
        assert json_size(struct_to_builtins(done_record(worst, block, size))) < 8 * 1024
    entries = [RoundEntry(f"j-{n}", n, "m-1", [[0, n]]) for n in range(2000)]
    pieces = split_entries(entries, 2000)
    assert [e for piece in pieces for e in piece] == entries
    assert all(json_size(to_record(piece)) <= 2000 for piece in pieces)
    assert from_record(to_record(pieces[0])) == pieces[0]


def test_the_intent_of_a_gang_is_in_one_record_if_one_can_hold_it() -> None:
    entries = [
        RoundEntry(f"j-{job}", 4294967296 + job, f"m-{n:06d}", [[n, n + 1]])
        for job in range(9)
        for n in range(8)
    ]
    for limit, whole in ((600, True), (200, False)):
        pieces = split_entries(entries, limit)
        assert [e for piece in pieces for e in piece] == entries
        assert all(json_size(to_record(piece)) <= limit for piece in pieces)
        held = [{e.job for e in piece} for piece in pieces]
        split = sum(len([1 for jobs in held if f"j-{job}" in jobs]) > 1 for job in range(9))
        assert (split == 0) is whole


def test_a_commit_that_the_state_service_always_rejects_delays_no_other() -> None:
    """Limits may fall further than announced: repeating a too large one would block all others."""

    class Strict(FakeStore):
        async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
            if any(isinstance(op, Put) and op.key == "large" for op in ops):
                raise InvalidTransactionError("commit: 400")
            return await super().commit(conditions, ops)

    store = Strict()
    results = write_all(store, [Put("a", 1), Put("large", 2), Put("b", 3)])
    assert isinstance(results.pop(1), InvalidTransactionError)
    assert results == [store.data["a"][1], store.data["b"][1]]


def test_done_tasks_are_known_from_blocks_of_any_size() -> None:
    """Two versions, or two limits: each writes blocks of its own size under keys of its own."""
    assert len({done_key("j-1", 0, 216), done_key("j-1", 0, 1740), "done/j-1/0"}) == 3
    for key in (done_key("j-1", 3, 216), "done/j-1/3"):  # as the version before takes it apart
        assert key.removeprefix(DONE_TASKS_PREFIX).rpartition("/")[0] == "j-1"


def test_a_deferred_write_is_written_once_in_its_latest_state_when_there_is_capacity() -> None:
    store = FakeStore()
    store.spare = 0.0
    state = {"n": 0}

    async def run() -> None:
        writer = new_writer(store)
        async with running(writer):
            for _ in range(3):
                state["n"] += 1
                writer.defer("hint", lambda: Mutation({}, [Put("hint", dict(state))]))
                await writer.submit([Put(f"job/{state['n']}", 1)])
                assert "hint" not in store.data  # no capacity to spare
            store.spare = 12.0
            await writer.submit([Put("job/4", 1)])
            assert store.data["hint"] == ({"n": 3}, store.data["job/4"][1])

    asyncio.run(run())


def test_the_shares_of_all_controllers_stay_within_the_rate_limits() -> None:
    """With five controllers, fixed shares for three once summed up to more than the whole."""

    async def run() -> None:
        for size in (1, 2, 3, 5, 9):
            clients = [StoreClient("10.0.0.1:1", LIMITS, size) for _ in range(size)]
            clients[0].set_leading(True)
            assert sum(x.rate_limits.requests.rate for x in clients) <= LIMITS.rps + 1e-9
            assert sum(x.rate_limits.writes.rate for x in clients) <= LIMITS.write_rps + 1e-9

    asyncio.run(run())


def test_one_read_serves_all_queries_at_a_controller_without_a_leader() -> None:
    """Each query once read two records, and many queries together used up the request limit."""

    class Counting(FakeStore):
        reads = scans = 0

        async def get(self, key: str, prioritized: bool = False) -> KeyValue | None:
            assert key.startswith("past/")
            return await super().get(key)

        async def scan(self, prefix: str) -> tuple[list[KeyValue], int]:
            self.scans += 1
            return await super().scan(prefix)

        async def changes_since(self, prefix: str, after: int) -> tuple[int, list[Any]] | None:
            self.reads += 1
            known = await super().changes_since(prefix, after)
            await asyncio.sleep(0)  # what is read is as old as the request
            return known

    store = Counting()
    two = [{"id": "j-1"}, {"id": "j-2"}]
    store.write("live/jobs/1-1", {"jobs": two})
    store.write("live/job/j-3", {"id": "j-3"})

    async def run() -> None:
        client: Any = store
        follower_service = FollowerService(client, None)  # type: ignore[arg-type]

        async def statuses(*ids: str) -> list[str]:
            answers = await asyncio.gather(*(follower_service.query(job_id) for job_id in ids))
            return [a[1]["standing"] if a[1] else str(a[0]) for a in answers]

        assert await statuses("j-1", "j-2", "j-3", "j-4") == ["queued", "queued", "queued", "404"]
        assert (store.scans, store.reads) == (1, 1)
        late = asyncio.create_task(statuses("j-1"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        store.write("live/ends/1-1", {"ends": [["j-2", "aborted", 0]]})
        # A read that was sent before the query may lack what another one has reported since.
        assert await statuses("j-1", "j-2") == ["queued", "aborted"]
        assert await late == ["queued"]
        assert (store.scans, store.reads) == (1, 3)
        store.write("past/j-1", {"standing": "done", "done": 4})
        store.write("live/jobs/1-1", None)
        store.write("live/ends/1-1", None)
        assert await statuses("j-1", "j-2") == ["done", "aborted"]
        before = store.reads
        assert await statuses("j-1", "j-2") == ["done", "aborted"]
        assert store.reads == before  # a final status never changes
        store.forgotten = store.revision  # too long ago: read it all anew
        store.write("live/job/j-5", {"id": "j-5"})
        assert await statuses("j-3", "j-5") == ["queued", "queued"]

    asyncio.run(run())


def test_jobs_that_arrive_together_share_one_record() -> None:
    """Many jobs of one task each were accepted one by one, at the rate limit for changes; a job
    that another controller has accepted meanwhile delays none of the others."""
    store = FakeStore()
    store.write("live/job/j-3", {})

    async def run() -> None:
        writer = new_writer(store)
        shared = SharedRecordWriter(writer, 7, "live/jobs/", "jobs")
        entries = [
            shared.add({"id": f"j-{n}", "text": "x" * 300}, {f"live/job/j-{n}": 0})
            for n in range(40)
        ]
        async with running(writer):
            results = await asyncio.gather(*entries, return_exceptions=True)
            assert isinstance(results.pop(3), ConflictError)
            assert len(set(results)) < 5
            stored = [r["id"] for key in set(results) for r in store.data[str(key)][0]["jobs"]]
            assert sorted(stored) == sorted(f"j-{n}" for n in range(40) if n != 3)
            assert all(json_size(store.data[str(key)][0]) <= 8 * 1024 for key in set(results))
        with pytest.raises(LeadershipLostError):
            await shared.add({}, {})

    asyncio.run(run())


class ScarceStore(FakeStore):
    """Refuses transactions with more changes than the rate of one second, however often."""

    allowed = 5

    async def commit(self, conditions: dict[str, int], ops: list[Any]) -> int:
        if len(ops) > self.allowed:
            raise RateLimitError("state service: 429")
        return await super().commit(conditions, ops)


@pytest.mark.parametrize("write_rate", [50.0, float(ScarceStore.allowed)])
def test_a_transaction_with_more_changes_than_the_rate_allows_is_divided(
    write_rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One of twelve changes at five a second was repeated without end. Where the settings have
    the rate, no such transaction is made; where the rate fell unannounced, it is divided."""
    monkeypatch.setattr("tests.unit.test_store.LIMITS", StateSettings(100.0, write_rate, 8.0, 12))
    store = ScarceStore()
    revisions = write_all(store, [Put(f"k-{number:02d}", number) for number in range(12)])
    assert all(isinstance(revision, int) for revision in revisions)
    assert len(store.data) == 1 + 12


def test_a_bounded_deferred_write_is_written_after_its_longest_wait_without_capacity() -> None:
    async def run() -> None:
        deferred = DeferredWrites()
        for name, bounded in (("unbounded", False), ("first", True), ("second", True)):
            put = Put(name, 1)
            deferred.add(name, lambda put=put: Mutation({}, [put]), bounded, now=10.0)  # type: ignore[misc]

        def written(now: float, spare_ops: float = 0.0) -> list[str]:
            batch = Batch(LIMITS)
            assert deferred.move_to(batch, spare_ops, now) is None
            return [op.key for mutation in batch.mutations for op in mutation.ops]

        assert written(10.0 + constants.DEFERRED_MAX_WAIT_S) == []
        late = 10.1 + constants.DEFERRED_MAX_WAIT_S
        assert written(late) == ["first"]  # one with each transaction
        assert written(late) == ["second"]
        assert written(late + 1e6) == []
        assert written(late, 12.0) == ["unbounded"]
        assert not deferred

    asyncio.run(run())


def test_a_deferred_write_that_does_not_fit_is_handed_back_and_not_lost() -> None:
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


def test_a_single_flight_read_begins_after_its_caller_asked_and_serves_all_of_them() -> None:
    started = 0

    async def run() -> None:
        gate = asyncio.Event()

        async def read() -> None:
            nonlocal started
            started += 1
            await gate.wait()

        reading = SingleFlightRead(read)
        first = asyncio.create_task(reading.refresh())
        while started == 0:
            await asyncio.sleep(0)
        later = [asyncio.create_task(reading.refresh()) for _ in range(5)]
        await asyncio.sleep(0)
        assert started == 1
        gate.set()
        await asyncio.gather(first, *later)
        assert started == 2

    asyncio.run(run())
