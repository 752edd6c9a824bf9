"""Placement rounds of a leader: starving jobs, unknown zones, and moves of replicas."""

from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace
from typing import Any

import pytest

from peathall import constants
from peathall.cluster.job import AttemptPhase, Job, JobHealth
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Team
from peathall.placement.job_views import JobViews, is_starving
from peathall.placement.ordering import gang_starving_bonus_s, job_sort_key
from peathall.placement.placement import Placement
from peathall.placement.plan import Assignment, Plan
from peathall.placement.planner import Round
from peathall.placement.views import JobView
from peathall.protocol.cloud import MachineType
from peathall.workers.workers import Workers
from tests.unit.test_planner import spec
from tests.unit.test_workers import new_placement, new_workers


def storing_writer() -> Any:
    """A stand-in for the writer that reports each write as stored at once."""
    stored: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    stored.set_result(1)
    return SimpleNamespace(versions={}, submit=lambda ops: stored, value_limit=1000)


def add_schedulable_machine(cluster: ClusterState, name: str, zone: str, now: float) -> Machine:
    machine = cluster.machine(name, "g", zone, False, MachinePhase.UP, now)
    machine.confirmed, machine.last_heard = True, now
    return machine


def placement_of_small_machines(now: float) -> tuple[Workers, Placement]:
    """Placement in a cluster of machines with 4 CPUs and 16 GB, which writes nothing."""
    workers = new_workers(now)
    workers.cluster.types = {
        "g": MachineType("g", 4.0, 0.0, 16.0, 50.0, 1.0, 1.0, 1.0, 30.0, ["a"])
    }
    return workers, new_placement(workers, SimpleNamespace(versions={}))


def test_the_first_start_of_a_starving_job_is_not_preempted_and_does_not_reset_its_wait() -> None:
    """Regression: a starving gang was preempted 0.3 s after its start and waited for another 350 s,
    since the start had reset its wait although none of its tasks had run."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers = new_workers(now)
        placement = new_placement(workers, storing_writer())
        machine = add_schedulable_machine(workers.cluster, "m-1", "a", now)
        plan = Plan()
        for job_id, waited in (("j-1", constants.STARVING_S + 1.0), ("j-2", 10.0)):
            workers.cluster.jobs[job_id] = Job(spec(id=job_id, gang=True), now - waited)
            plan.assignments.append(Assignment(job_id, "m-1", 1))
        await placement.starter.start(plan.assignments, now)
        old, young = (workers.cluster.jobs[job_id] for job_id in ("j-1", "j-2"))

        def victims(at: float) -> set[str]:
            return {v.key[0] for v in placement.snapshot.victims.on_machine(machine, at)}

        assert victims(now + 1.0) == {"j-2"}
        for job in (old, young):
            job.attempts[0].enter(AttemptPhase.RUNNING, now + 20.0)
        assert victims(now + 50.0) == {"j-2"}
        assert victims(now + 21.0 + constants.STABLE_START_S) == {"j-1", "j-2"}

        for job in (old, young):
            job.has_started = job is young
            workers.cluster.release(job.attempts[0], now + 60.0)
        assert is_starving(old, now + 61.0)  # it has not run: its wait was not reset
        assert not is_starving(young, now + 61.0)
        assert is_starving(young, now + 61.0 + constants.STARVING_S)

    asyncio.run(run())


def test_a_spread_job_is_not_placed_while_the_zone_of_one_of_its_machines_is_unknown() -> None:
    """Regression: a new leader knew two tasks of a spread array only from records. Their machine
    was silent, and the cloud provider was down and did not list it. Its tasks counted for no zone,
    so all other tasks were placed in the same zone."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers = new_workers(now)
        cluster = workers.cluster
        cluster.types = {
            "g": MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 1.0, 1.0, 30.0, ["a", "b"])
        }
        placement = new_placement(workers, SimpleNamespace())
        job = cluster.jobs["j-1"] = Job(spec(tasks=4, spread=True), now)
        silent = cluster.machine("m-1", "", "", False, MachinePhase.RECOVERED, now)
        for task in (0, 1):
            cluster.allocate(job, task, 7, silent, "round/1")
        for name, zone in (("m-2", "a"), ("m-3", "b")):
            add_schedulable_machine(cluster, name, zone, now)
        assert (await placement.decide(now)).assignments == []
        # The cloud provider lists the machine with its zone.
        cluster.machine("m-1", "g", "a", False, MachinePhase.RECOVERED, now)
        assert [(x.machine, x.count) for x in (await placement.decide(now)).assignments] == [
            ("m-3", 2)
        ]

    asyncio.run(run())


def test_a_job_soon_tries_a_machine_again_on_which_it_failed_if_no_other_could_take_it() -> None:
    """Regression: it waited for a success on that machine, however long. A machine that is too
    small is no alternative; one that is full is, but only for a limited time."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers = new_workers(now)
        cluster = workers.cluster
        cluster.types = {
            name: MachineType(name, cpus, 0.0, 16.0, 50.0, 1.0, 1.0, 1.0, 30.0, ["a"])
            for name, cpus in (("g", 4.0), ("tiny", 1.0))
        }
        placement = new_placement(workers, SimpleNamespace(versions={}))
        failed = add_schedulable_machine(cluster, "m-1", "a", now)
        tiny = cluster.machine("m-2", "tiny", "a", False, MachinePhase.UP, now)
        tiny.confirmed = True
        job = cluster.jobs["j-1"] = Job(spec(cpus=2.0), now)
        attempt = cluster.allocate(job, 0, 7, failed, "round/1")
        cluster.release(attempt, now)
        workers.faults.note_failure(attempt, 0.0, now)

        async def chosen(after_s: float) -> list[str]:
            for machine in cluster.machines.values():
                machine.last_heard = now + after_s
            return [x.machine for x in (await placement.decide(now + after_s)).assignments]

        assert await chosen(constants.ERROR_BACKOFF_S - 0.1) == []
        assert await chosen(constants.ERROR_BACKOFF_S + 0.1) == ["m-1"]
        full = add_schedulable_machine(cluster, "m-3", "a", now)
        service = cluster.jobs["j-2"] = Job(spec(id="j-2", daemon=True, cpus=4.0, priority=0), now)
        cluster.allocate(service, 0, 8, full, "round/2").enter(AttemptPhase.RUNNING, now)
        assert await chosen(constants.AVOID_S - 0.1) == []
        assert await chosen(constants.AVOID_S + 0.1) == ["m-1"]

    asyncio.run(run())


def test_a_failing_job_that_starves_goes_first_and_has_machines_provisioned() -> None:
    """Regression: a job that had failed on two unhealthy machines, which were then deleted, waited
    until other jobs happened to need a machine that it could use."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers, placement = placement_of_small_machines(now)
        cluster = workers.cluster
        job = cluster.jobs["j-1"] = Job(spec(tasks=5, submitted=9.0), now)
        for number, name in enumerate(("m-1", "m-2"), 1):
            machine = add_schedulable_machine(cluster, name, "a", now)
            attempt = cluster.allocate(job, 0, number, machine, f"round/{number}")
            cluster.release(attempt, now)
            workers.faults.note_failure(attempt, 0.0, now)
            cluster.remove_machine(machine, now, "it is unhealthy")
        assert job.health is JobHealth.FAILING
        starves_at = job.backoff_until + constants.STARVING_S
        assert (await placement.decide(starves_at - 0.1)).unplaced == []
        ((view, count),) = (await placement.decide(starves_at + 0.1)).unplaced
        assert (view.spec.id, count) == ("j-1", 1)  # one task at a time, as before
        cluster.jobs["j-2"] = Job(spec(id="j-2", submitted=0.0), starves_at)
        machine = add_schedulable_machine(cluster, "m-3", "a", starves_at)
        machine.free_cpus = 1.0  # one of them fits
        plan = await placement.decide(starves_at + 0.1)
        assert [assignment.job for assignment in plan.assignments] == ["j-1"]
        # The next failure begins the wait anew.
        attempt = cluster.allocate(job, 0, 3, machine, "round/3")
        cluster.release(attempt, starves_at)
        workers.faults.note_failure(attempt, 0.0, starves_at)
        plan = await placement.decide(starves_at + constants.STARVING_S)
        assert "j-1" not in [view.spec.id for view, _ in plan.unplaced]

    asyncio.run(run())


def test_the_team_s_limit_is_kept_for_a_missing_replica_for_a_limited_time() -> None:
    """Regression: other jobs of the team waited beside machines with room for as long as the
    replica found no machine in its zone."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers, placement = placement_of_small_machines(now)
        cluster = workers.cluster
        placement.snapshot.teams = {"t": Team("t", cpus_max=2.0)}
        lost = add_schedulable_machine(cluster, "m-1", "b", now)
        add_schedulable_machine(cluster, "m-2", "a", now)
        service = spec(id="j-1", daemon=True, cpus=2.0, priority=0, zone="b")
        replica = cluster.jobs["j-1"] = Job(service, now - 500.0)
        cluster.allocate(replica, 0, 1, lost, "round/1")
        cluster.remove_machine(lost, now, "it has failed")
        cluster.jobs["j-2"] = Job(spec(id="j-2", zone="a"), now)

        async def started(after_s: float) -> list[str]:
            cluster.machines["m-2"].last_heard = now + after_s
            return [x.job for x in (await placement.decide(now + after_s)).assignments]

        assert await started(constants.REPLICA_QUOTA_HOLD_S - 0.1) == []
        assert await started(constants.REPLICA_QUOTA_HOLD_S + 0.1) == ["j-2"]
        add_schedulable_machine(cluster, "m-3", "b", now + 100.0)
        assert await started(100.0) == ["j-1"]  # it still goes first

    asyncio.run(run())


def test_no_limit_is_kept_for_a_gang_that_does_not_fit_beside_its_team_s_services() -> None:
    """Regression: once the gang starved, no other job of the team was started any more, although
    services never end and the gang could not preempt them."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        for service_priority, started in ((1, ["j-3"]), (3, [])):
            workers = new_workers(now)
            cluster = workers.cluster
            cluster.types = {
                "g": MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 1.0, 1.0, 30.0, ["a"])
            }
            placement = new_placement(workers, SimpleNamespace(versions={}))
            placement.snapshot.teams = {"t": Team("t", cpus_max=4.0)}
            machine = add_schedulable_machine(cluster, "m-1", "a", now)
            service = spec(id="j-1", daemon=True, cpus=2.0, priority=service_priority)
            replica = cluster.allocate(Job(service, now), 0, 1, machine, "round/1")
            replica.enter(AttemptPhase.RUNNING, now)
            cluster.jobs["j-1"] = replica.job
            gang = spec(id="j-2", gang=True, tasks=2, cpus=2.0)
            cluster.jobs["j-2"] = Job(gang, now - constants.STARVING_S - 100.0)
            cluster.jobs["j-3"] = Job(spec(id="j-3", cpus=2.0, priority=3), now)
            plan = await placement.decide(now)
            assert [x.job for x in plan.assignments] == started

    asyncio.run(run())


def test_a_machine_is_not_held_for_a_gang_until_a_task_ends_that_is_long_overdue() -> None:
    """Regression: a task that had run for longer than estimated was expected to end in a second,
    however long it went on. Meanwhile no other task started beside it: the gang was expected to
    start first."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers, placement = placement_of_small_machines(now)
        cluster = workers.cluster
        machine = add_schedulable_machine(cluster, "m-1", "a", now)
        overdue = cluster.jobs["j-1"] = Job(spec(id="j-1", cpus=1.0, priority=0), now)
        attempt = cluster.allocate(overdue, 0, 1, machine, "round/1")
        attempt.enter(AttemptPhase.RUNNING, now)
        gang = spec(id="j-2", gang=True, cpus=4.0, priority=1)
        cluster.jobs["j-2"] = Job(gang, now - constants.STARVING_S)
        cluster.jobs["j-3"] = Job(spec(id="j-3", cpus=1.0, estimate_s=5.0, priority=3), now)

        async def started(ran_s: float) -> list[str]:
            machine.last_heard = now + ran_s
            cluster.jobs["j-3"].idle_since = now + ran_s  # it has not waited for long
            return [x.job for x in (await placement.decide(now + ran_s)).assignments]

        assert await started(12.0) == []  # 2 s more than estimated
        assert await started(30.0) == ["j-3"]

    asyncio.run(run())


def test_among_starving_jobs_a_large_gang_goes_before_an_older_small_one() -> None:
    """A large gang needs machines that become free one by one; a small one finds capacity soon."""

    def key(tasks: int, submitted: float) -> tuple[float, ...]:
        return job_sort_key(
            JobView(spec(gang=True, tasks=tasks, submitted=submitted), tasks, is_starving=True),
            (9.0, 9.0),
        )

    assert key(8, 60.0) < key(1, 0.0)
    assert key(1, 0.0) < key(8, 80.0)
    assert (
        gang_starving_bonus_s(spec(gang=True, tasks=100))
        == constants.GANG_STARVING_MAX_S
        < constants.STARVING_S
    )
    assert gang_starving_bonus_s(spec(gang=False, tasks=100)) == 0.0


def test_a_replica_is_stopped_for_a_move_only_once_capacity_is_reserved() -> None:
    """Regression: a replica on an unhealthy machine was stopped before capacity for it was found on
    another machine."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers = new_workers(now)
        cluster = workers.cluster
        cluster.types = {"g": MachineType("g", 4.0, 0.0, 8.0, 50.0, 1.0, 1.0, 1.0, 30.0, ["a"])}
        placement = new_placement(workers, storing_writer())
        unhealthy, target = (
            add_schedulable_machine(cluster, name, "a", now) for name in ("m-1", "m-2")
        )
        job = cluster.jobs["j-1"] = Job(spec(daemon=True, cpus=2.0, priority=0), now)
        replica = cluster.allocate(job, 0, 7, unhealthy, "round/1")
        replica.enter(AttemptPhase.RUNNING, now)
        filler = cluster.jobs["j-2"] = Job(spec(id="j-2", cpus=3.0, priority=0), now)
        other = cluster.allocate(filler, 0, 8, target, "round/2")
        other.enter(AttemptPhase.RUNNING, now)
        workers.quarantine(unhealthy, "it fails tasks")
        await placement.round(now)
        assert not replica.stopping  # no machine has capacity: the replica runs on
        cluster.release(other, now)
        filler.mark_done(0)
        await placement.round(now + 1.0)
        assert replica.stopping and target.attempts == {}
        # Until the old attempt is gone, no other job gets the reserved capacity.
        later_job = cluster.jobs["j-3"] = Job(spec(id="j-3", tasks=4, priority=0), now)
        await placement.round(now + 2.0)
        assert sorted(later_job.attempts) == [0, 1]
        cluster.release(replica, now + 3.0)
        await placement.round(now + 3.0)
        assert job.attempts[0].machine == "m-2" and target.free_cpus == 0.0
        assert list(placement.reservations) != []
        await placement.round(now + 4.0)
        assert list(placement.reservations) == []

    asyncio.run(run())


def test_a_move_of_a_job_that_ended_while_it_was_decided_is_ignored() -> None:
    """Other coroutines run during a round. Regression: a job that was cancelled and archived
    meanwhile raised an exception, which ended the term."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers = new_workers(now)
        cluster = workers.cluster
        placement = new_placement(workers, SimpleNamespace(versions={}))
        job = cluster.jobs["j-1"] = Job(spec(daemon=True), now)
        for name in ("m-1", "m-2"):
            add_schedulable_machine(cluster, name, "a", now)
        replica = cluster.allocate(job, 0, 7, cluster.machines["m-1"], "round/1")
        replica.enter(AttemptPhase.RUNNING, now)
        workers.quarantine(cluster.machines["m-1"], "it fails tasks")
        decide = placement.decide

        async def decide_then_end_job(at: float) -> Plan:
            plan = await decide(at)
            assert [move.job for move in plan.moves] == ["j-1"]
            cluster.release(replica, at)
            del cluster.jobs["j-1"]
            return plan

        placement.decide = decide_then_end_job  # type: ignore[method-assign]
        await placement.round(now)
        assert list(placement.reservations) == []

    asyncio.run(run())


def test_a_job_whose_view_fails_is_left_out_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Regression: an error about one job ended every round, and with it each leader's term."""

    async def run() -> None:
        now = asyncio.get_running_loop().time()
        workers, placement = placement_of_small_machines(now)
        cluster = workers.cluster
        add_schedulable_machine(cluster, "m-1", "a", now)
        for job_id in ("j-1", "j-2", "j-3"):
            cluster.jobs[job_id] = Job(spec(id=job_id), now)
        place, view = Round._place, JobViews._view

        def place_with_fault(current: Round, job: JobView) -> None:
            place(current, job)
            if job.spec.id == "j-1":
                raise OverflowError

        def view_with_fault(views: JobViews, job: Job, *args: Any) -> JobView:
            if job.spec.id == "j-2":
                raise OverflowError
            return view(views, job, *args)

        monkeypatch.setattr(Round, "_place", place_with_fault)
        monkeypatch.setattr(JobViews, "_view", view_with_fault)
        plan = await placement.decide(now)
        assert [x.job for x in plan.assignments] == ["j-3"]

    with caplog.at_level(logging.ERROR, "peathall.placement"):
        asyncio.run(run())
    assert sorted(record.getMessage() for record in caplog.records) == [
        "job j-1 is left out of this round",
        "job j-2 is left out of this round",
    ]
