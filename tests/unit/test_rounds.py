"""Records of rounds: their size, the start of gangs stored in several records, and recovery."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from types import SimpleNamespace
from typing import Any

import pytest

from peathall import constants
from peathall.cluster.job import AttemptPhase, Job
from peathall.cluster.machine import MachinePhase
from peathall.cluster.ranges import Ranges
from peathall.cluster.state import ClusterState
from peathall.config.platform import StateSettings
from peathall.leadership.lease import first_number_of_term
from peathall.placement.placed_tasks import PlacedTasks
from peathall.placement.plan import Assignment, Plan
from peathall.placement.round_entries import (
    RoundEntry,
    from_record,
    split_entries,
    to_record,
)
from peathall.placement.rounds import ROUND_PREFIX, RoundRecords
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import KeyValue
from peathall.store.errors import InvalidTransactionError
from peathall.store.writer import Writer
from peathall.workers.workers import Workers
from tests.unit.test_planner import spec
from tests.unit.test_store import FakeStore, leader_guard
from tests.unit.test_workers import TERM, make_heartbeat, new_cluster, new_placement, new_workers

SMALLEST = StateSettings(100.0, 50.0, 2.0, 4)  # 2 KiB a value, 4 changes a transaction


def stored_records(store: FakeStore) -> list[KeyValue]:
    """The stored records of rounds."""
    return [
        KeyValue(key, value, at)
        for key, (value, at) in store.data.items()
        if key.startswith(ROUND_PREFIX)
    ]


async def let_writer_finish() -> None:
    """Run the event loop until the writer has written all submitted changes."""
    for _ in range(40):
        await asyncio.sleep(0)


def draw_entries(rng: random.Random) -> list[RoundEntry]:
    """Entries of one to four jobs on one to five machines, with consecutive and scattered tasks."""
    entries = []
    for job in range(rng.randint(1, 4)):
        numbers = rng.sample(range(100_000), rng.choice([5, 100, 600]))
        first = rng.randrange(99_000)
        numbers += range(first, first + rng.choice([0, 50, 900]))
        for machine in range(rng.randint(1, 5)):
            tasks = Ranges([number, number + 1] for number in numbers[machine::5])
            entry = RoundEntry(f"j-{job:06d}", 2**40 + job, f"m-{machine:06d}", tasks.to_record())
            entries.append(entry)
    return entries


def tasks_by_machine(entries: list[RoundEntry]) -> dict[tuple[str, int, str], list[int]]:
    """The tasks of each job, attempt number and machine, in ascending order."""
    tasks: dict[tuple[str, int, str], list[int]] = {}
    for entry in entries:
        key = (entry.job, entry.attempt, entry.machine)
        tasks.setdefault(key, []).extend(Ranges(entry.tasks))
    return {key: sorted(numbers) for key, numbers in tasks.items()}


@pytest.mark.parametrize("limit", [200, 1740, 6963])
@pytest.mark.parametrize("seed", range(20))
def test_entries_are_divided_until_each_record_is_within_the_limit(seed: int, limit: int) -> None:
    """Regression, review/3: one entry could be larger than a value of the state service may be."""
    entries = draw_entries(random.Random(seed))
    parts = split_entries(entries, limit)
    assert all(json_size(to_record(part)) <= limit for part in parts)
    stored = [entry for part in parts for entry in from_record(to_record(part))]
    assert tasks_by_machine(stored) == tasks_by_machine(entries)
    assert all(entry.tasks for entry in stored)


def test_stored_records_of_rounds_are_bounded_by_the_live_attempts() -> None:
    """Five hours of rounds, each of which starts short tasks and, until all 30 run, a replica.
    Regression: a record named the ended tasks of its round as long as the replica ran."""

    async def run() -> None:
        store: Any = FakeStore()
        store.spare_ops = 50.0
        writer = Writer(store, SMALLEST, leader_guard(), lambda: True, lambda: None)
        writing = asyncio.create_task(writer.run())
        cluster, listener = new_cluster()
        rounds = listener.records = RoundRecords(cluster, writer)
        cluster.machine("m-000001", "", "", False, MachinePhase.UP, 0.0)
        service = cluster.jobs["j-1"] = Job(spec(id="j-1", daemon=True, tasks=30))
        largest = 0
        for minute in range(300):
            now = 60.0 * minute
            assignments = [Assignment("j-1", "m-000001", 1)] if service.pending else []
            short = []
            for number in range(20):
                job_id = f"j-{minute:05d}{number:03d}"
                cluster.jobs[job_id] = Job(spec(id=job_id))
                short.append(job_id)
                assignments.append(Assignment(job_id, "m-000001", 1))
            parts = rounds.write(assignments, now)
            await let_writer_finish()
            largest = max(largest, *(json_size(item.value) for item in stored_records(store)))
            assert all(part.stored.done() for part in parts)
            for job_id in short:
                cluster.release(cluster.jobs[job_id].attempts[0], now + 30.0)
                del cluster.jobs[job_id]
            rounds.compact(now)
            await let_writer_finish()
            if minute > 40:
                # Records of the latest minutes may still name ended attempts.
                assert len(stored_records(store)) <= 30 + 2
                assert (
                    sum(json_size(item.value) for item in stored_records(store))
                    < 30 * 60 + 2 * 2048
                )
        assert 500 < largest < 2048
        entries = [entry for item in stored_records(store) for entry in from_record(item.value)]
        assert sorted(e.tasks[0][0] for e in entries if e.job == "j-1") == list(range(30))
        # The next leader restores the replicas from these records.
        next_cluster = ClusterState(TERM + 1, first_number_of_term(TERM + 1))
        next_cluster.jobs["j-1"] = Job(spec(id="j-1", daemon=True, tasks=30))
        deque(RoundRecords(next_cluster, writer).load(stored_records(store), 0.0))
        assert len(next_cluster.jobs["j-1"].attempts) == 30
        writer.stop()
        await writing

    asyncio.run(run())


def test_a_deleted_record_is_not_recreated_by_its_compaction() -> None:
    async def run() -> None:
        store: Any = FakeStore()
        writer = Writer(store, SMALLEST, leader_guard(), lambda: True, lambda: None)
        writing = asyncio.create_task(writer.run())
        cluster, listener = new_cluster()
        rounds = listener.records = RoundRecords(cluster, writer)
        cluster.machine("m-000001", "", "", False, MachinePhase.UP, 0.0)
        job = cluster.jobs["j-1"] = Job(spec(id="j-1", tasks=8))
        (part,) = rounds.write([Assignment("j-1", "m-000001", 8)], 0.0)
        await let_writer_finish()
        for attempt in part.attempts[1:]:
            cluster.release(attempt, 1.0)
        compaction = rounds.compaction_mutation(part.key, 100.0)
        assert compaction is not None
        cluster.release(job.attempts[0], 101.0)
        await let_writer_finish()
        assert stored_records(store) == []
        writer.queue.append(compaction)  # prepared before the deletion, committed after it
        writer.wake.set()
        await let_writer_finish()
        assert compaction.done.exception() is not None
        assert stored_records(store) == []
        writer.stop()
        await writing

    asyncio.run(run())


def test_a_record_is_compacted_only_once_the_result_is_within_the_limit() -> None:
    """Regression: the record of 600 consecutive tasks takes less space than that of every fourth of
    them. The state service refused the compacted record, every second anew."""

    async def run() -> None:
        store: Any = FakeStore()
        store.spare_ops = 50.0
        writer = Writer(store, SMALLEST, leader_guard(), lambda: True, lambda: None)
        writing = asyncio.create_task(writer.run())
        cluster, listener = new_cluster()
        rounds = listener.records = RoundRecords(cluster, writer)
        cluster.machine("m-000001", "", "", False, MachinePhase.UP, 0.0)
        cluster.jobs["j-1"] = Job(spec(id="j-1", tasks=50_000))
        cluster.jobs["j-1"].pending.remove(0, 49_000)
        (part,) = rounds.write([Assignment("j-1", "m-000001", 600)], 0.0)
        await let_writer_finish()
        before = stored_records(store)
        for attempt in part.attempts:
            if attempt.task % 4:
                cluster.release(attempt, 1.0)
        tried = []
        for second in range(100, 220):
            rounds.compact(float(second))
            tried += [second] * bool(writer.deferred)
            await let_writer_finish()
        assert tried == [100, 161]  # again after a pause
        assert stored_records(store) == before
        for attempt in part.attempts:
            if attempt.task % 8:
                cluster.release(attempt, 220.0)
        rounds.compact(230.0)
        await let_writer_finish()
        (compacted,) = stored_records(store)
        assert json_size(compacted.value) <= writer.value_limit
        (entry,) = from_record(compacted.value)
        assert list(Ranges(entry.tasks)) == list(range(49_000, 49_600, 8))
        writer.stop()
        await writing

    asyncio.run(run())


def plan_wide_gang(workers: Workers, machines: int) -> Plan:
    """Add machines, a small job, and a gang whose intent exceeds one value of 2 KiB. Returns their
    plan."""
    now = workers.loop.time()
    plan = Plan()
    workers.cluster.jobs["j-1"] = Job(spec(id="j-1"))
    workers.cluster.jobs["j-2"] = Job(spec(id="j-2", gang=True, tasks=machines, cpus=8.0))
    for number in range(machines):
        name = f"m-{number:06d}"
        machine = workers.cluster.machine(name, "g", "a", False, MachinePhase.UP, now)
        machine.confirmed, machine.last_heard = True, now
        if number == 0:
            plan.assignments.append(Assignment("j-1", name, 1))
        plan.assignments.append(Assignment("j-2", name, 1))
    return plan


@pytest.mark.parametrize("refused", [0, 1, 2])
def test_a_gang_over_several_records_starts_once_all_are_stored_or_not_at_all(refused: int) -> None:
    """Regression: if one of the records could not be stored, the tasks of the others started, or
    held capacity forever."""

    async def run() -> None:
        workers = new_workers(asyncio.get_running_loop().time())
        written: list[asyncio.Future[int]] = []

        def submit(ops: list[Any]) -> asyncio.Future[int]:
            written.append(asyncio.get_running_loop().create_future())
            return written[-1]

        writer: Any = SimpleNamespace(versions={}, submit=submit, value_limit=1740)
        placement = new_placement(workers, writer)
        starting = asyncio.create_task(
            placement.starter.start(plan_wide_gang(workers, 130).assignments, 0.0)
        )
        await asyncio.sleep(0)
        jobs = workers.cluster.jobs
        assert len(written) >= 3
        for at, stored in enumerate(written):
            gang = jobs["j-2"].attempts.values()
            assert {a.phase for a in gang} == {AttemptPhase.PLANNED}  # not before all are stored
            if at == refused:
                stored.set_exception(InvalidTransactionError("too large"))
            else:
                stored.set_result(at + 1)
            await asyncio.sleep(0)
        await starting
        assert jobs["j-2"].attempts == {} and len(jobs["j-2"].pending) == 130
        phases = [a.phase for a in jobs["j-1"].attempts.values()]
        assert phases == ([] if refused == 0 else [AttemptPhase.INTENDED])
        assert all(len(m.attempts) <= 1 for m in workers.cluster.machines.values())

    asyncio.run(run())


def test_a_leader_that_ends_before_all_records_of_a_gang_are_stored_starts_none_of_it() -> None:
    """The next leader reads only the first records. It starts the gang once it is proven that no
    machine runs a task of it."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        before = new_workers(now)
        values: list[KeyValue] = []

        def submit(ops: list[Any]) -> asyncio.Future[int]:
            values.append(KeyValue(ops[0].key, ops[0].value, len(values) + 1))
            return asyncio.get_running_loop().create_future()  # the leader ends

        writer: Any = SimpleNamespace(
            versions={}, submit=submit, value_limit=1740, defer_delete=lambda key: None
        )
        plan = plan_wide_gang(before, 130)
        starting = asyncio.create_task(
            new_placement(before, writer).starter.start(plan.assignments, now)
        )
        await asyncio.sleep(0)
        starting.cancel()

        for stored in range(len(values)):
            workers = new_workers(now)
            workers.cluster.term = TERM + 1
            workers.cluster.last_attempt_number = first_number_of_term(TERM + 1)
            plan_wide_gang(workers, 130)
            gang = workers.cluster.jobs["j-2"]
            placement = new_placement(workers, writer)
            deque(placement.rounds.load(values[:stored], now))
            inherited = len(gang.attempts)
            assert (inherited > 0) is (stored > 0) and inherited < 130
            for seq in (1, 2):
                decided = await placement.decide(now)
                assert {s.job for s in decided.assignments if s.job == "j-2"} == (
                    set() if inherited else {"j-2"}
                )
                for name in list(workers.cluster.machines):
                    workers.handle_heartbeat(
                        make_heartbeat(
                            1, seq, workers.lowest_fencing_token * (seq - 1), machine=name
                        ),
                        now,
                    )
                workers.tick(now)
            assert gang.attempts == {}
            decided = await placement.decide(now)
            assert sum(s.count for s in decided.assignments if s.job == "j-2") == 130

    asyncio.run(run())


def test_placed_tasks_are_counted_from_the_records_of_rounds() -> None:
    async def run() -> None:
        store = FakeStore()
        placed = PlacedTasks(store)  # type: ignore[arg-type]
        store.write("round/1-1", {"a": [["j-1", 7, "m-1", [[0, 3]]], ["j-2", 8, "m-1", [[5, 6]]]]})
        await placed.refresh()
        assert [placed.count(job_id) for job_id in ("j-1", "j-2", "j-3")] == [3, 1, 0]
        store.write("round/1-2", {"a": [["j-1", 9, "m-2", [[3, 4], [8, 9]]]]})
        store.write("round/1-1", None)
        await placed.refresh()  # too soon: nothing is read
        assert placed.count("j-2") == 1
        placed._refreshed_at -= constants.PLACED_TASKS_MAX_AGE_S
        await placed.refresh()
        assert [placed.count(job_id) for job_id in ("j-1", "j-2")] == [2, 0]

    asyncio.run(run())
