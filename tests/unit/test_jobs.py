"""Records of jobs: shared, rewritten when some are archived, and their duplicates elsewhere."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import CloudSettings, Params, StateSettings, Team, WorkerSettings
from peathall.jobs import records
from peathall.jobs.admission import rejection_reason
from peathall.jobs.service import Jobs
from peathall.protocol.cloud import MachineType
from peathall.protocol.codec import json_size
from peathall.protocol.jobs import JobStatus, encode_job_status, spec_to_record
from peathall.store.client import Put
from peathall.store.writer import GuardKey, Writer
from tests.unit.test_planner import spec
from tests.unit.test_store import LIMITS, FakeStore

KIND = MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 10.0, 3.0, 30.0, ["a"])
PARAMS = Params(
    WorkerSettings(3.0, 24.0, 40.0, 4.0, 40.0), LIMITS, CloudSettings(4.0, 4.0), [Team("t")]
)


class Listener:
    """The jobs whose attempts were to be stopped, by id."""

    def __init__(self) -> None:
        self.stopped: list[str] = []

    def state_changed(self) -> None:
        pass

    def stop_all(self, job: Job) -> None:
        self.stopped.append(job.spec.id)


def leader(
    store: FakeStore,
    term: int,
    limits: StateSettings = LIMITS,
    listener: Listener | None = None,
) -> Jobs:
    client: Any = store
    store.write("lead", {"term": term})
    cluster = ClusterState(term, 0)
    cluster.types = {"g": KIND}
    shown = GuardKey("lead", {"term": term}, store.revision, None)
    writer = Writer(client, limits, shown, lambda: True, lambda: None)
    params = msgspec.structs.replace(PARAMS, state=limits)
    return Jobs(cluster, params, client, writer, listener or Listener(), lambda: 0.0)


async def rebuilt(store: FakeStore, term: int) -> Jobs:
    jobs = leader(store, term)
    live, revision = await store.scan(records.LIVE)
    done, _ = await store.scan(records.DONE)
    jobs.load(live, done, revision)
    return jobs


async def settle(jobs: Jobs) -> None:
    """Until nothing is left to be written."""
    for _ in range(200):
        await asyncio.sleep(0)
        if not (
            jobs.writer.queue or jobs.writer.first or jobs.writer.spare or jobs.background.busy
        ):
            break


async def review(jobs: Jobs) -> None:
    for job in list(jobs.cluster.jobs.values()):
        jobs.review(job)
    await settle(jobs)


def ends(jobs: Jobs, *ids: str) -> None:
    for job_id in ids:
        job = jobs.cluster.jobs[job_id]
        job.mark_all_done()
        jobs.note_done(job)


def test_a_duplicate_in_another_record_never_brings_an_archived_job_back() -> None:
    """Accepted by the leader and, late, by a follower that had no answer: once the job was
    over, that other record would have made it an accepted job again after a take-over."""

    async def run() -> None:
        store = FakeStore()
        jobs = leader(store, 1)
        running = asyncio.create_task(jobs.writer.run())
        ids = [f"j-{n}" for n in range(5)]
        answers = await asyncio.gather(*(jobs.accept(spec(id=job_id)) for job_id in ids))
        assert [status for status, _ in answers] == [201] * 5
        assert len([k for k in store.data if k.startswith(records.JOBS)]) == 1
        store.write("live/job/j-1", spec_to_record(spec(id="j-1")))  # we don't hear of it
        ends(jobs, "j-0", "j-1", "j-2")
        for _ in range(4):
            await review(jobs)
        assert sorted(jobs.cluster.jobs) == ["j-3", "j-4"]
        assert {k for k in store.data if k.startswith(records.PAST)} == {
            "past/j-0", "past/j-1", "past/j-2",
        }  # fmt: skip
        assert "live/job/j-1" not in store.data
        running.cancel()

        later = await rebuilt(store, 2)
        assert sorted(later.cluster.jobs) == ["j-3", "j-4"]
        running = asyncio.create_task(later.writer.run())
        assert (await later.query("j-1"))[1] == encode_job_status("j-1", JobStatus.DONE, 1)
        assert (await later.query("j-9"))[0] == 404
        ends(later, "j-3", "j-4")
        for _ in range(4):
            await review(later)
        assert not [k for k in store.data if k.startswith(records.LIVE)]  # nothing is left over
        running.cancel()

    asyncio.run(run())


def test_a_job_that_two_records_hold_is_one_job_and_keeps_the_shared_one() -> None:
    """Whichever is read first: dropping the shared record would forget its other jobs."""

    async def run() -> None:
        store = FakeStore()
        for key, value in (
            ("live/ends/00000001-0000001", {"ends": [["j-2", "aborted", 0]]}),
            ("live/job/j-1", spec_to_record(spec(id="j-1"))),
            ("live/job/j-2", spec_to_record(spec(id="j-2"))),
            (
                "live/jobs/00000001-0000001",
                {"jobs": [spec_to_record(spec(id=job_id)) for job_id in ("j-1", "j-3")]},
            ),
        ):
            store.write(key, value)
        jobs = await rebuilt(store, 2)
        running = asyncio.create_task(jobs.writer.run())
        await settle(jobs)
        assert sorted(jobs.cluster.jobs) == ["j-1", "j-2", "j-3"]
        assert jobs.cluster.jobs["j-2"].status is JobStatus.CANCELLED
        assert "live/job/j-1" not in store.data
        assert "live/jobs/00000001-0000001" in store.data
        # News of it that came before what we knew ourselves: the shared record stays.
        jobs.register(spec_to_record(spec(id="j-4")), "live/job/j-4")
        jobs.register(spec_to_record(spec(id="j-4")), "live/jobs/00000002-0000001")
        assert jobs.cluster.jobs["j-4"].record_key == "live/jobs/00000002-0000001"
        assert list(jobs.archive.index.jobs_by_record["live/jobs/00000002-0000001"]) == ["j-4"]
        running.cancel()

    asyncio.run(run())


def test_a_cancelled_job_s_tasks_end_before_the_store_has_answered() -> None:
    """The answer to the cancellation may be lost, while another controller reads it and tells the
    user: workers that are answered without the stop until then would keep the tasks too long."""

    async def run() -> None:
        store = FakeStore()
        listener = Listener()
        jobs = leader(store, 1, listener=listener)
        writing = asyncio.create_task(jobs.writer.run())
        await jobs.accept(spec(id="j-1", tasks=2, team="t"))
        store.lose = [True] + [False] * 3
        cancelling = asyncio.create_task(jobs.cancel("j-1"))
        await asyncio.sleep(0)
        job = jobs.cluster.jobs["j-1"]
        assert (listener.stopped, job.phase) == (["j-1"], JobPhase.CANCELLING)
        assert not job.is_final
        assert jobs.cached_response("j-1") is None  # neither what it was nor what it may be
        assert (await cancelling)[1]["standing"] == "aborted"  # type: ignore[index]
        assert job.phase is JobPhase.CANCELLED
        jobs.writer.stop()
        await writing

    asyncio.run(run())


def test_a_repetition_that_could_not_run_is_known_all_the_same() -> None:
    """Archived under an earlier leader, it was known only to the store, and got 422."""

    async def run() -> None:
        store = FakeStore()
        store.write("past/j-1", {"standing": "done", "done": 2})
        store.write("live/job/j-2", spec_to_record(spec(id="j-2", team="t")))
        jobs = leader(store, 1)
        writing = asyncio.create_task(jobs.writer.run())
        for job_id, told in (("j-1", "done"), ("j-2", "queued")):
            status, value = await jobs.accept(spec(id=job_id, team="nobody's"))
            assert (status, value["standing"]) == (200, told)  # type: ignore[index]
        assert (await jobs.accept(spec(id="j-3", team="nobody's")))[0] == 422
        jobs.writer.stop()
        await writing

    asyncio.run(run())


def test_of_two_shared_records_with_one_job_the_second_is_written_without_it() -> None:
    """Dropping it would lose its other jobs; and while it holds an ended job, archiving that one
    would let a new leader bring it back to life."""

    async def run() -> None:
        store = FakeStore()
        held = {n: spec_to_record(spec(id=f"j-{n}", team="t")) for n in (1, 2, 3)}
        store.write("live/jobs/1-1", {"jobs": [held[1], held[2]]})
        store.write("live/jobs/1-2", {"jobs": [held[2], held[3]]})
        store.write("live/ends/1-1", {"ends": [["j-2", "aborted", 0]]})
        jobs = await rebuilt(store, 2)
        assert not jobs.archive.can_archive(jobs.cluster.jobs["j-2"])
        writing = asyncio.create_task(jobs.writer.run())
        await settle(jobs)
        await review(jobs)
        assert "past/j-2" in store.data
        left = [
            r["id"] for k in ("live/jobs/1-1", "live/jobs/1-2") for r in store.data[k][0]["jobs"]
        ]
        assert left == ["j-1", "j-3"]
        jobs.writer.stop()
        await writing

    asyncio.run(run())


def test_a_record_of_larger_values_is_divided_before_it_is_written_again() -> None:
    """It holds more than a value may have by now. New records stand before it is written without
    their jobs, no job is ever in none, and each write fits."""

    class Small(FakeStore):
        def apply(self, conditions: dict[str, int], ops: list[Any]) -> int:
            assert len(ops) <= 4
            assert all(json_size(op.value) <= 2048 for op in ops if isinstance(op, Put))
            revision = super().apply(conditions, ops)
            held = [
                r["id"]
                for k, (v, _) in self.data.items()
                if k[:9] == "live/jobs"
                for r in v["jobs"]
            ]
            past = [k[5:] for k in self.data if k.startswith("past/")]
            assert {f"j-{n}" for n in range(20)} == set(held) | set(past)
            assert not set(held) & set(past)  # one that has ended would come back to life
            return revision

    async def run() -> None:
        store = Small()
        large = [spec_to_record(spec(id=f"j-{n}", team="t")) for n in range(20)]
        store.write("live/jobs/1-1", {"jobs": large})
        jobs = leader(store, 2, StateSettings(100.0, 50.0, 2.0, 4))
        live, revision = await store.scan(records.LIVE)
        jobs.load(live, [], revision)
        writing = asyncio.create_task(jobs.writer.run())
        over = [f"j-{n}" for n in range(3, 18)]
        ends(jobs, *over)
        for _ in range(400):  # looked after at every step of what is written
            for job in list(jobs.cluster.jobs.values()):
                jobs.review(job)
            await asyncio.sleep(0)
        await settle(jobs)
        assert {f"past/{job_id}" for job_id in over} <= store.data.keys()
        assert not jobs.archive.index.duplicates
        left = [
            r["id"] for k, (v, _) in store.data.items() if k[:9] == "live/jobs" for r in v["jobs"]
        ]
        assert sorted(left) == sorted({f"j-{n}" for n in range(20)} - set(over))
        jobs.writer.stop()
        await writing

    asyncio.run(run())


def test_replicas_run_together_so_all_of_them_must_fit() -> None:
    types = {"g": KIND}
    team = Team("t", cpus_max=8.0)
    params = Params(PARAMS.workers, LIMITS, PARAMS.cloud, [team])
    array, replicas = spec(tasks=9), spec(tasks=9, daemon=True, estimate_s=0.0)
    assert rejection_reason(array, types, params) is None
    assert rejection_reason(replicas, types, params) == "needs more than its team's limit"
    assert rejection_reason(spec(tasks=8, daemon=True), types, params) is None
    spread = spec(tasks=2, daemon=True, spread=True)
    assert rejection_reason(spread, types, params) is not None  # in the only zone there is
