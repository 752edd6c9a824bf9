"""Distinguishing unhealthy machines from failing jobs, with regressions of wrong attributions."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, Job, JobHealth
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.protocol.state_service import KeyValue, Put
from peathall.store.writer import Writer
from peathall.workers.failing_jobs import FailingJobsRecord
from peathall.workers.faults import FaultTracker
from tests.unit.test_planner import spec
from tests.unit.test_store import LIMITS, leader_guard


class FaultyCluster:
    """A cluster in which starts on `unhealthy` machines and of `failing` jobs fail; others run."""

    def __init__(self, machines: int) -> None:
        self.cluster = ClusterState(1, 0)
        self.faults = FaultTracker(self.cluster)
        self.names = [f"m-{n}" for n in range(machines)]
        for name in self.names:
            self.cluster.machine(name, "g", "a", False, MachinePhase.UP, 0.0)
        self.unhealthy: set[str] = set()
        self.failing: set[str] = set()
        self.drained: list[str] = []
        self.attempt_number = 0

    def job(self, number: int, tasks: int) -> Job:
        job_id = f"j-{number}"
        job = self.cluster.jobs[job_id] = Job(spec(id=job_id, tasks=tasks, cpus=0.0, ram=0.0))
        return job

    def start(self, job: Job, names: list[str], now: float) -> None:
        """Start the next tasks on these machines, in one round; each fails or runs at once."""
        self.attempt_number += 1
        started = []
        for name in names:
            machine = self.cluster.machines[name]
            task = next(iter(job.pending))
            started.append(self.cluster.allocate(job, task, self.attempt_number, machine, "r"))
        for attempt in started:
            if job.spec.id in self.failing or attempt.machine in self.unhealthy:
                self.cluster.release(attempt, now)
                self.drain(self.faults.note_failure(attempt, 0.0, now))
            else:
                attempt.enter(AttemptPhase.RUNNING, now)

    def end(self, attempt: Attempt, now: float) -> None:
        attempt.job.mark_done(attempt.task)
        self.drain(
            self.faults.note_success(attempt.job, self.cluster.machines[attempt.machine], now)
        )
        self.cluster.release(attempt, now)

    def drain(self, machines: list[Machine]) -> None:
        self.drained += [machine.name for machine in machines]


def test_a_job_that_fails_everywhere_drains_no_machine_and_backs_off() -> None:
    """An array whose tasks always fail does so on thirty machines within a second. Regression: with
    two such arrays, all machines on which both had failed were drained."""
    faulty = FaultyCluster(30)
    now, backoffs = 0.0, []
    for number in (1, 2, 3):
        faulty.failing.add(f"j-{number}")
        faulty.start(faulty.job(number, 100), faulty.names, now)
    for number in (1, 2, 3):
        job = faulty.cluster.jobs[f"j-{number}"]
        assert job.health is JobHealth.FAILING
        # All tasks that failed in one round count as one failure.
        assert job.backoff_until == now + constants.ERROR_BACKOFF_S
    job = faulty.cluster.jobs["j-1"]
    while len(backoffs) < 8:
        now = job.backoff_until
        faulty.start(job, ["m-3"], now)
        backoffs.append(job.backoff_until - now)
    assert backoffs == [4.0, 8.0, 16.0, 32.0, 60.0, 60.0, 60.0, 60.0]
    assert faulty.drained == []


def test_a_machine_that_fails_jobs_which_succeed_elsewhere_is_unhealthy() -> None:
    faulty = FaultyCluster(5)
    faulty.unhealthy.add("m-0")
    job = faulty.job(1, 10)
    faulty.start(job, ["m-0", "m-1", "m-2"], 0.0)
    assert faulty.drained == []  # one failure shows neither an unhealthy machine nor a failing job
    assert faulty.faults.machines_to_avoid(job, 0.0) == ["m-0"]
    faulty.drain(faulty.faults.note_runtimes(constants.SUCCESS_RUNTIME_S - 0.1))
    assert faulty.drained == []
    faulty.drain(faulty.faults.note_runtimes(constants.SUCCESS_RUNTIME_S + 0.1))
    assert (faulty.drained, job.health) == (["m-0"], JobHealth.HEALTHY)
    faulty.unhealthy.add("m-3")
    faulty.start(job, ["m-3"], 20.0)
    assert faulty.drained == ["m-0", "m-3"]  # drained at once: the job is known to be healthy


def test_a_job_avoids_a_machine_for_a_limited_time_after_its_latest_failure_there() -> None:
    """Regression: the job waited for a success on the machine, which may never come if all other
    tasks there are replicas of services."""
    faulty = FaultyCluster(2)
    faulty.unhealthy.add("m-0")
    job = faulty.job(1, 10)
    for failed_at in (0.0, 50.0):
        faulty.start(job, ["m-0"], failed_at)
        assert faulty.faults.machines_to_avoid(job, failed_at + constants.AVOID_S - 0.1) == ["m-0"]
        assert faulty.faults.machines_to_avoid(job, failed_at + constants.AVOID_S) == []


def test_a_machine_that_fails_several_jobs_is_unhealthy_before_any_has_run_elsewhere() -> None:
    faulty = FaultyCluster(5)
    faulty.unhealthy.add("m-0")
    for number in range(constants.UNHEALTHY_FAILED_JOBS):
        assert faulty.drained == []
        faulty.start(faulty.job(number, 1), ["m-0"], float(number))
    assert faulty.drained == ["m-0"]


def test_a_job_that_failed_on_two_unhealthy_machines_is_healthy_once_it_runs() -> None:
    faulty = FaultyCluster(5)
    faulty.unhealthy |= {"m-0", "m-1"}
    job = faulty.job(1, 4)
    faulty.start(job, ["m-0", "m-1"], 0.0)
    assert job.health is JobHealth.FAILING
    assert faulty.faults.machines_to_avoid(job, 0.0) == ["m-0", "m-1"]
    faulty.start(job, ["m-2"], 2.0)
    faulty.drain(faulty.faults.note_runtimes(2.1 + constants.SUCCESS_RUNTIME_S))
    assert job.health is JobHealth.HEALTHY
    assert job.backoff_until == 0.0
    assert sorted(faulty.drained) == ["m-0", "m-1"]


def test_a_job_that_fails_only_after_a_minute_is_not_taken_as_healthy() -> None:
    """All tasks of the job fail after a minute, which must not be attributed to the machines."""
    faulty = FaultyCluster(40)
    job = faulty.job(1, 40)
    for number in range(12):
        faulty.attempt_number += 1
        names = faulty.names[3 * number : 3 * number + 3]
        now = 200.0 * number
        runs = [
            faulty.cluster.allocate(
                job, task, faulty.attempt_number, faulty.cluster.machines[name], "r"
            )
            for task, name in zip(job.pending.first(3), names, strict=True)
        ]
        for attempt in runs:
            attempt.enter(AttemptPhase.RUNNING, now)
        for second in range(60):
            faulty.drain(faulty.faults.note_runtimes(now + second))
        for attempt in runs:
            faulty.cluster.release(attempt, now + 60.0)
            faulty.drain(faulty.faults.note_failure(attempt, 60.0, now + 60.0))
    # These are drained before the tracker knows how long tasks of this job run until they fail.
    assert len(faulty.drained) <= 2
    assert job.health is JobHealth.FAILING


@pytest.mark.parametrize("seed", range(8))
def test_among_many_jobs_exactly_the_unhealthy_machines_are_drained(seed: int) -> None:
    rng = random.Random(seed)
    faulty = FaultyCluster(24)
    faulty.unhealthy = set(rng.sample(faulty.names, 3))
    now = 0.0
    for number in range(60):
        job = faulty.job(number, 8)
        if rng.random() < 0.1:
            faulty.failing.add(job.spec.id)
    while now < 400.0:
        now += 1.0
        faulty.drain(faulty.faults.note_runtimes(now))
        for job in list(faulty.cluster.jobs.values()):
            for attempt in list(job.attempts.values()):
                if now - attempt.since > 20.0:
                    faulty.end(attempt, now)
            if job.pending and now >= job.backoff_until and rng.random() < 0.1:
                failing = job.health is JobHealth.FAILING
                count = 1 if failing else min(len(job.pending), 4)
                usable = [
                    name
                    for name in faulty.names
                    if name not in faulty.drained
                    and name not in faulty.faults.machines_to_avoid(job, now)
                ]
                if not (failing and job.attempts):
                    faulty.start(job, rng.sample(usable, count), now)
    assert set(faulty.drained) == faulty.unhealthy
    for job in faulty.cluster.jobs.values():
        assert (job.spec.id in faulty.failing) == bool(job.pending)


def test_a_failing_job_is_failing_for_the_next_leader_too() -> None:
    """Regression: each new leader started all tasks of the job again."""

    async def run() -> None:
        faulty = FaultyCluster(4)
        faulty.failing.add("j-1")
        job = faulty.job(1, 50)
        store: Any = SimpleNamespace(limits=None)
        record = FailingJobsRecord(
            faulty.cluster, faulty.faults, Writer(store, LIMITS, leader_guard(), bool, bool)
        )
        faulty.start(job, ["m-0", "m-1", "m-2"], 0.0)
        (make_mutation,) = record.writer.deferred.factories.values()
        mutation = make_mutation()
        assert mutation is not None
        (put,) = mutation.ops
        assert isinstance(put, Put)
        recovered = FaultyCluster(4)
        recovered.failing.add("j-1")
        recovered_job = recovered.job(1, 50)
        writer = Writer(store, LIMITS, leader_guard(2), bool, bool)
        FailingJobsRecord(recovered.cluster, recovered.faults, writer).load(
            KeyValue(put.key, put.value, 5)
        )
        assert recovered_job.health is JobHealth.FAILING
        recovered.start(recovered_job, ["m-3"], 10.0)
        assert recovered_job.backoff_until == 10.0 + 2 * constants.ERROR_BACKOFF_S
        assert recovered.cluster.machines["m-3"].failed_jobs == set()

    asyncio.run(run())
