"""Sick machines told from mistaken jobs, with the histories that went wrong before."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, Job, JobHealth
from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState
from peathall.store.client import KeyValue, Put
from peathall.store.writer import Writer
from peathall.workers.failing_jobs import FailingJobsRecord
from peathall.workers.faults import FaultTracker
from tests.unit.test_planner import spec
from tests.unit.test_store import LIMITS, lead


class Floor:
    """Jobs and machines of which some are bad; starts fail or go well accordingly."""

    def __init__(self, machines: int) -> None:
        self.cluster = ClusterState(1, 0)
        self.faults = FaultTracker(self.cluster)
        self.names = [f"m-{n}" for n in range(machines)]
        for name in self.names:
            self.cluster.machine(name, "g", "a", False, MachinePhase.UP, 0.0)
        self.sick: set[str] = set()
        self.mistaken: set[str] = set()
        self.emptied: list[str] = []
        self.number = 0

    def job(self, number: int, tasks: int) -> Job:
        job_id = f"j-{number}"
        job = self.cluster.jobs[job_id] = Job(spec(id=job_id, tasks=tasks, cpus=0.0, ram=0.0))
        return job

    def start(self, job: Job, names: list[str], now: float) -> None:
        """Its next tasks on these machines, all in one round, each failing or running at once."""
        self.number += 1
        started = []
        for name in names:
            machine = self.cluster.machines[name]
            task = next(iter(job.pending))
            started.append(self.cluster.allocate(job, task, self.number, machine, "r"))
        for attempt in started:
            if job.spec.id in self.mistaken or attempt.machine in self.sick:
                self.cluster.release(attempt, now)
                self.empty(self.faults.note_failure(attempt, 0.0, now))
            else:
                attempt.enter(AttemptPhase.RUNNING, now)

    def end(self, attempt: Attempt, now: float) -> None:
        attempt.job.mark_done(attempt.task)
        self.empty(
            self.faults.note_success(attempt.job, self.cluster.machines[attempt.machine], now)
        )
        self.cluster.release(attempt, now)

    def empty(self, machines: list[object]) -> None:
        self.emptied += [m.name for m in machines]  # type: ignore[attr-defined]


def test_a_job_that_fails_everywhere_empties_no_machine_and_is_slowed() -> None:
    """An array with a mistake fails on thirty machines within a second; two of them once
    emptied all that both had touched."""
    floor = Floor(30)
    now, pauses = 0.0, []
    for number in (1, 2, 3):
        floor.mistaken.add(f"j-{number}")
        floor.start(floor.job(number, 100), floor.names, now)
    for number in (1, 2, 3):
        job = floor.cluster.jobs[f"j-{number}"]
        assert job.health is JobHealth.FAILING
        assert job.backoff_until == now + constants.ERROR_BACKOFF_S  # one round: one strike
    job = floor.cluster.jobs["j-1"]
    while len(pauses) < 8:
        now = job.backoff_until
        floor.start(job, ["m-3"], now)
        pauses.append(job.backoff_until - now)
    assert pauses == [4.0, 8.0, 16.0, 32.0, 60.0, 60.0, 60.0, 60.0]
    assert floor.emptied == []


def test_a_machine_that_fails_what_goes_well_elsewhere_is_sick() -> None:
    floor = Floor(5)
    floor.sick.add("m-0")
    job = floor.job(1, 10)
    floor.start(job, ["m-0", "m-1", "m-2"], 0.0)
    assert floor.emptied == []  # who knows?
    assert floor.faults.machines_to_avoid(job) == ["m-0"]
    floor.empty(floor.faults.note_runtimes(constants.SUCCESS_RUNTIME_S - 0.1))
    assert floor.emptied == []
    floor.empty(floor.faults.note_runtimes(constants.SUCCESS_RUNTIME_S + 0.1))
    assert (floor.emptied, job.health) == (["m-0"], JobHealth.HEALTHY)
    floor.sick.add("m-3")
    floor.start(job, ["m-3"], 20.0)
    assert floor.emptied == ["m-0", "m-3"]  # known to go well: at once


def test_a_machine_that_fails_several_jobs_is_sick_before_any_has_run_elsewhere() -> None:
    floor = Floor(5)
    floor.sick.add("m-0")
    for number in range(constants.UNHEALTHY_FAILED_JOBS):
        assert floor.emptied == []
        floor.start(floor.job(number, 1), ["m-0"], float(number))
    assert floor.emptied == ["m-0"]


def test_bad_luck_on_two_sick_machines_is_forgotten_once_it_runs() -> None:
    floor = Floor(5)
    floor.sick |= {"m-0", "m-1"}
    job = floor.job(1, 4)
    floor.start(job, ["m-0", "m-1"], 0.0)
    assert job.health is JobHealth.FAILING
    assert floor.faults.machines_to_avoid(job) == ["m-0", "m-1"]
    floor.start(job, ["m-2"], 2.0)
    floor.empty(floor.faults.note_runtimes(2.1 + constants.SUCCESS_RUNTIME_S))
    assert job.health is JobHealth.HEALTHY
    assert job.backoff_until == 0.0
    assert sorted(floor.emptied) == ["m-0", "m-1"]


def test_what_only_fails_after_a_while_does_not_pass_as_proven() -> None:
    """Its tasks run for a minute before they fail: no machine may be blamed for that."""
    floor = Floor(40)
    job = floor.job(1, 40)
    for number in range(12):
        floor.number += 1
        names = floor.names[3 * number : 3 * number + 3]
        now = 200.0 * number
        runs = [
            floor.cluster.allocate(job, task, floor.number, floor.cluster.machines[name], "r")
            for task, name in zip(job.pending.first(3), names, strict=True)
        ]
        for attempt in runs:
            attempt.enter(AttemptPhase.RUNNING, now)
        for second in range(60):
            floor.empty(floor.faults.note_runtimes(now + second))
        for attempt in runs:
            floor.cluster.release(attempt, now + 60.0)
            floor.empty(floor.faults.note_failure(attempt, 60.0, now + 60.0))
    assert len(floor.emptied) <= 2  # before it was known how long it takes to fail
    assert job.health is JobHealth.FAILING


@pytest.mark.parametrize("seed", range(8))
def test_in_a_crowd_the_sick_are_found_and_the_healthy_spared(seed: int) -> None:
    rng = random.Random(seed)
    floor = Floor(24)
    floor.sick = set(rng.sample(floor.names, 3))
    now = 0.0
    for number in range(60):
        job = floor.job(number, 8)
        if rng.random() < 0.1:
            floor.mistaken.add(job.spec.id)
    while now < 400.0:
        now += 1.0
        floor.empty(floor.faults.note_runtimes(now))
        for job in list(floor.cluster.jobs.values()):
            for attempt in list(job.attempts.values()):
                if now - attempt.since > 20.0:
                    floor.end(attempt, now)
            if job.pending and now >= job.backoff_until and rng.random() < 0.1:
                suspect = job.health is JobHealth.FAILING
                count = 1 if suspect else min(len(job.pending), 4)
                usable = [
                    name
                    for name in floor.names
                    if name not in floor.emptied and name not in floor.faults.machines_to_avoid(job)
                ]
                if not (suspect and job.attempts):
                    floor.start(job, rng.sample(usable, count), now)
    assert set(floor.emptied) == floor.sick
    for job in floor.cluster.jobs.values():
        assert (job.spec.id in floor.mistaken) == bool(job.pending)


def test_a_suspect_job_is_one_for_the_next_leader_too() -> None:
    """It was started in full again by every leader."""

    async def run() -> None:
        floor = Floor(4)
        floor.mistaken.add("j-1")
        job = floor.job(1, 50)
        nothing: Any = SimpleNamespace(limits=None)
        suspects = FailingJobsRecord(
            floor.cluster, floor.faults, Writer(nothing, LIMITS, lead(), bool, bool)
        )
        floor.start(job, ["m-0", "m-1", "m-2"], 0.0)
        (make,) = suspects.writer.spare.values()
        change = make()
        assert change is not None
        (put,) = change.ops
        assert isinstance(put, Put)
        later = Floor(4)
        later.mistaken.add("j-1")
        again = later.job(1, 50)
        writer = Writer(nothing, LIMITS, lead(2), bool, bool)
        FailingJobsRecord(later.cluster, later.faults, writer).load(KeyValue(put.key, put.value, 5))
        assert again.health is JobHealth.FAILING
        later.start(again, ["m-3"], 10.0)
        assert again.backoff_until == 10.0 + 2 * constants.ERROR_BACKOFF_S
        assert later.cluster.machines["m-3"].failed_jobs == set()

    asyncio.run(run())
