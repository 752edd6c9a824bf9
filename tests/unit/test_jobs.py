"""The leader's jobs: admission, shared records, archiving, and jobs that two records name."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import CloudSettings, Params, StateSettings, Team, WorkerSettings
from peathall.jobs import records
from peathall.jobs.admission import rejection_reason
from peathall.jobs.jobs import Jobs
from peathall.protocol.cloud import MachineType
from peathall.protocol.codec import json_size
from peathall.protocol.jobs import JobStatus, encode_job_status, spec_to_record
from peathall.protocol.state_service import Put
from peathall.store.transaction import GuardKey
from peathall.store.writer import Writer
from tests.unit.test_planner import spec
from tests.unit.test_store import LIMITS, FakeStore

MACHINE_TYPE = MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 10.0, 3.0, 30.0, ["a"])
PARAMS = Params(
    WorkerSettings(3.0, 24.0, 40.0, 4.0, 40.0), LIMITS, CloudSettings(4.0, 4.0), [Team("t")]
)


class RecordingListener:
    """Records the ids of the jobs whose attempts are to be stopped."""

    def __init__(self) -> None:
        self.stopped: list[str] = []

    def state_changed(self) -> None:
        pass

    def stop_all(self, job: Job) -> None:
        self.stopped.append(job.spec.id)


def new_jobs(
    store: FakeStore,
    term: int,
    limits: StateSettings = LIMITS,
    listener: RecordingListener | None = None,
) -> Jobs:
    client: Any = store
    store.write("lead", {"term": term})
    cluster = ClusterState(term, 0)
    cluster.types = {"g": MACHINE_TYPE}
    guard = GuardKey("lead", {"term": term}, store.revision, None)
    writer = Writer(client, limits, guard, lambda: True, lambda: None)
    params = msgspec.structs.replace(PARAMS, state=limits)
    return Jobs(cluster, params, client, writer, listener or RecordingListener(), lambda: 0.0)


async def recovered_jobs(store: FakeStore, term: int) -> Jobs:
    jobs = new_jobs(store, term)
    live, revision = await store.scan(records.LIVE_PREFIX)
    done, _ = await store.scan(records.DONE_TASKS_PREFIX)
    deque(jobs.load(live, done, revision))
    return jobs


@asynccontextmanager
async def running_writer(jobs: Jobs) -> AsyncIterator[None]:
    """Run the writer of the jobs inside the block; a commit in flight at the end is completed."""
    task = asyncio.create_task(jobs.writer.run())
    try:
        yield
    finally:
        jobs.writer.stop()
        await task


async def wait_for_writes(jobs: Jobs) -> None:
    """Wait until nothing is left to write."""
    for _ in range(200):
        await asyncio.sleep(0)
        if not (jobs.writer.has_pending_writes or jobs.background.busy):
            break


async def retry_all_finalizations(jobs: Jobs) -> None:
    for job in list(jobs.cluster.jobs.values()):
        jobs.retry_finalization(job)
    await wait_for_writes(jobs)


def report_all_done(jobs: Jobs, *ids: str) -> None:
    for job_id in ids:
        job = jobs.cluster.jobs[job_id]
        job.mark_all_done()
        jobs.note_done(job)


def test_a_late_record_of_a_follower_never_makes_an_archived_job_live_again() -> None:
    """The leader accepts a job, and so does a follower, whose write gets no response and is carried
    out late. Once the job is archived, the follower's record would make it live again at a
    failover."""

    async def run() -> None:
        store = FakeStore()
        jobs = new_jobs(store, 1)
        async with running_writer(jobs):
            ids = [f"j-{n}" for n in range(5)]
            responses = await asyncio.gather(*(jobs.accept(spec(id=job_id)) for job_id in ids))
            assert [status for status, _ in responses] == [201] * 5
            assert len([k for k in store.data if k.startswith(records.SHARED_JOBS_PREFIX)]) == 1
            # Written by a follower, and not read by the leader.
            store.write("live/job/j-1", spec_to_record(spec(id="j-1")))
            report_all_done(jobs, "j-0", "j-1", "j-2")
            for _ in range(4):
                await retry_all_finalizations(jobs)
            assert sorted(jobs.cluster.jobs) == ["j-3", "j-4"]
            assert {k for k in store.data if k.startswith(records.ARCHIVE_PREFIX)} == {
                "past/j-0", "past/j-1", "past/j-2",
            }  # fmt: skip
            assert "live/job/j-1" not in store.data

        successor = await recovered_jobs(store, 2)
        assert sorted(successor.cluster.jobs) == ["j-3", "j-4"]
        async with running_writer(successor):
            assert (await successor.query("j-1"))[1] == encode_job_status("j-1", JobStatus.DONE, 1)
            assert (await successor.query("j-9"))[0] == 404
            report_all_done(successor, "j-3", "j-4")
            for _ in range(4):
                await retry_all_finalizations(successor)
            assert not [k for k in store.data if k.startswith(records.LIVE_PREFIX)]

    asyncio.run(run())


def test_a_job_in_two_records_is_loaded_once_and_stays_in_the_shared_record() -> None:
    """Whichever record is read first: deleting the shared record would lose its other jobs."""

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
        jobs = await recovered_jobs(store, 2)
        async with running_writer(jobs):
            await wait_for_writes(jobs)
            assert sorted(jobs.cluster.jobs) == ["j-1", "j-2", "j-3"]
            assert jobs.cluster.jobs["j-2"].status is JobStatus.CANCELLED
            assert "live/job/j-1" not in store.data
            assert "live/jobs/00000001-0000001" in store.data
            # If the follower's record is read first, the shared record stays too.
            jobs.register(spec_to_record(spec(id="j-4")), "live/job/j-4")
            jobs.register(spec_to_record(spec(id="j-4")), "live/jobs/00000002-0000001")
            assert jobs.cluster.jobs["j-4"].record_key == "live/jobs/00000002-0000001"
            assert list(jobs.archive.index.jobs_by_record["live/jobs/00000002-0000001"]) == ["j-4"]

    asyncio.run(run())


def test_tasks_of_a_cancelled_job_are_stopped_before_the_cancellation_is_stored() -> None:
    """The response to the write may be lost while another controller reads the cancellation and
    confirms it to the user. Workers that get the stop command only after the write would run the
    tasks for longer than a cancellation may take."""

    async def run() -> None:
        store = FakeStore()
        listener = RecordingListener()
        jobs = new_jobs(store, 1, listener=listener)
        async with running_writer(jobs):
            await jobs.accept(spec(id="j-1", tasks=2, team="t"))
            store.lost_responses = [True] + [False] * 3
            cancelling = asyncio.create_task(jobs.cancel("j-1"))
            await asyncio.sleep(0)
            job = jobs.cluster.jobs["j-1"]
            assert (listener.stopped, job.phase) == (["j-1"], JobPhase.CANCELLING)
            assert not job.is_final
            assert jobs.cached_response("j-1") is None  # neither the old nor the new status
            assert (await cancelling)[1]["standing"] == "aborted"  # type: ignore[index]
            assert job.phase is JobPhase.CANCELLED

    asyncio.run(run())


def test_a_repeated_submission_that_would_be_rejected_gets_the_status_of_the_job() -> None:
    """Also if an earlier leader has archived the job, so that it is only in the state service."""

    async def run() -> None:
        store = FakeStore()
        store.write("past/j-1", {"standing": "done", "done": 2})
        store.write("live/job/j-2", spec_to_record(spec(id="j-2", team="t")))
        jobs = new_jobs(store, 1)
        async with running_writer(jobs):
            for job_id, expected in (("j-1", "done"), ("j-2", "queued")):
                status, value = await jobs.accept(spec(id=job_id, team="nobody's"))
                assert (status, value["standing"]) == (200, expected)  # type: ignore[index]
            assert (await jobs.accept(spec(id="j-3", team="nobody's")))[0] == 422

    asyncio.run(run())


def test_a_job_in_two_shared_records_is_removed_from_the_second() -> None:
    """Deleting the second record would lose its other jobs. If the job were archived before it is
    removed from both records, the next leader would make it live again."""

    async def run() -> None:
        store = FakeStore()
        job_records = {n: spec_to_record(spec(id=f"j-{n}", team="t")) for n in (1, 2, 3)}
        store.write("live/jobs/1-1", {"jobs": [job_records[1], job_records[2]]})
        store.write("live/jobs/1-2", {"jobs": [job_records[2], job_records[3]]})
        store.write("live/ends/1-1", {"ends": [["j-2", "aborted", 0]]})
        jobs = await recovered_jobs(store, 2)
        assert not jobs.archive.can_archive(jobs.cluster.jobs["j-2"])
        async with running_writer(jobs):
            await wait_for_writes(jobs)
            await retry_all_finalizations(jobs)
            assert "past/j-2" in store.data
            remaining = [
                r["id"]
                for k in ("live/jobs/1-1", "live/jobs/1-2")
                for r in store.data[k][0]["jobs"]
            ]
            assert remaining == ["j-1", "j-3"]

    asyncio.run(run())


def test_a_shared_record_above_a_lowered_size_limit_is_divided_before_it_is_rewritten() -> None:
    """The value size limit has fallen since the record was written. Some of its jobs are stored in
    new records before it is rewritten without them, so that every job is in a record at any time
    and every write fits."""

    class SmallLimitsStore(FakeStore):
        def apply(self, conditions: dict[str, int], ops: list[Any]) -> int:
            assert len(ops) <= 4
            assert all(json_size(op.value) <= 2048 for op in ops if isinstance(op, Put))
            revision = super().apply(conditions, ops)
            live_ids = [
                r["id"]
                for k, (v, _) in self.data.items()
                if k[:9] == "live/jobs"
                for r in v["jobs"]
            ]
            archived_ids = [k[5:] for k in self.data if k.startswith("past/")]
            assert {f"j-{n}" for n in range(20)} == set(live_ids) | set(archived_ids)
            assert not set(live_ids) & set(archived_ids)  # an archived job would be made live again
            return revision

    async def run() -> None:
        store = SmallLimitsStore()
        job_records = [spec_to_record(spec(id=f"j-{n}", team="t")) for n in range(20)]
        store.write("live/jobs/1-1", {"jobs": job_records})
        jobs = new_jobs(store, 2, StateSettings(100.0, 50.0, 2.0, 4))
        live, revision = await store.scan(records.LIVE_PREFIX)
        deque(jobs.load(live, [], revision))
        async with running_writer(jobs):
            done_ids = [f"j-{n}" for n in range(3, 18)]
            report_all_done(jobs, *done_ids)
            for _ in range(400):  # finalization is retried between all steps of the writes
                for job in list(jobs.cluster.jobs.values()):
                    jobs.retry_finalization(job)
                await asyncio.sleep(0)
            await wait_for_writes(jobs)
            assert {f"past/{job_id}" for job_id in done_ids} <= store.data.keys()
            assert not jobs.archive.index.duplicates
            remaining = [
                r["id"]
                for k, (v, _) in store.data.items()
                if k[:9] == "live/jobs"
                for r in v["jobs"]
            ]
            assert sorted(remaining) == sorted({f"j-{n}" for n in range(20)} - set(done_ids))

    asyncio.run(run())


def test_a_submission_repeated_while_it_is_being_stored_is_accepted_once() -> None:
    async def run() -> None:
        store = FakeStore()
        jobs = new_jobs(store, 1)
        async with running_writer(jobs):
            submitted = spec(id="j-1", team="t")
            first, second = await asyncio.gather(jobs.accept(submitted), jobs.accept(submitted))
            assert (first.status, second.status) == (201, 200)
            assert jobs.knows("j-1")
            stored_ids = [
                r["id"] for k, (v, _) in store.data.items() if k[:5] == "live/" for r in v["jobs"]
            ]
            assert stored_ids == ["j-1"]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"team": "u"}, "unknown team"),
        ({"types": ["h"]}, "a task fits no allowed machine type"),
        ({"zone": "b"}, "a task fits no allowed machine type"),
        ({"cpus": 9.0}, "a task fits no allowed machine type"),
        ({"gpus": 1.0}, "a task fits no allowed machine type"),
        ({"ram": 17.0}, "a task fits no allowed machine type"),
        ({"gang": True, "tasks": 2, "spread": True}, "all tasks in one zone and at most half of"),
        ({"gang": True, "tasks": 1, "spread": True}, None),
        ({"gang": False, "tasks": 2, "spread": True}, None),
    ],
)
def test_a_job_that_can_never_run_is_rejected(change: dict[str, Any], reason: str | None) -> None:
    rejected = rejection_reason(spec(**{"team": "t"} | change), {"g": MACHINE_TYPE}, PARAMS)
    assert (rejected is None) == (reason is None)
    assert (rejected or "").startswith(reason or "")


def test_a_gang_needs_the_capacity_of_all_its_tasks_within_the_quota() -> None:
    params = msgspec.structs.replace(PARAMS, teams=[Team("t", cpus_max=8.0)])
    for tasks, accepted in ((8, True), (9, False)):
        gang = spec(team="t", gang=True, cpus=1.0, tasks=tasks)
        assert (rejection_reason(gang, {"g": MACHINE_TYPE}, params) is None) == accepted


def test_all_replicas_of_a_daemon_must_fit_at_once() -> None:
    types = {"g": MACHINE_TYPE}
    team = Team("t", cpus_max=8.0)
    params = Params(PARAMS.workers, LIMITS, PARAMS.cloud, [team])
    array, replicas = spec(tasks=9), spec(tasks=9, daemon=True, estimate_s=0.0)
    assert rejection_reason(array, types, params) is None
    assert rejection_reason(replicas, types, params) == "needs more than its team's limit"
    assert rejection_reason(spec(tasks=8, daemon=True), types, params) is None
    spread = spec(tasks=2, daemon=True, spread=True)
    assert rejection_reason(spread, types, params) is not None  # there is only one zone
