"""Provisioning, listing and deleting many machines, with a stand-in for the cloud provider."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from peathall import constants
from peathall.autoscaling.actions import CloudError, ProvisionRequest, RejectedRequestError
from peathall.autoscaling.autoscaler import Autoscaler
from peathall.autoscaling.scale_out import OfferKey
from peathall.cluster.machine import Machine, MachinePhase
from peathall.placement.plan import Plan
from peathall.placement.views import JobView
from peathall.protocol.cloud import ListedMachine, MachineState
from peathall.workers.workers import Workers
from tests.unit.test_planner import spec
from tests.unit.test_workers import make_heartbeat, new_autoscaler, new_workers


class FakeCloud:
    """Stands in for the cloud provider: answers after a turn of the event loop, notes requests."""

    def __init__(self) -> None:
        self.deleted: list[list[str]] = []
        self.provisioned: list[tuple[str, int]] = []
        self.in_flight = self.max_in_flight = 0
        self.no_answer = self.rejects = False

    async def delete(self, machines: list[str]) -> None:
        self.deleted.append(machines)

    async def provision(self, request: ProvisionRequest) -> list[str]:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        await asyncio.sleep(0)
        self.in_flight -= 1
        if self.no_answer:
            raise CloudError("no answer", sent=True)
        if self.rejects:
            raise RejectedRequestError("status 400")
        self.provisioned.append((request.request, request.count))
        return [f"{request.request}/{n}" for n in range(request.count)]


def run_test(
    test: Callable[[Autoscaler, Workers, FakeCloud], Awaitable[None]], idle_hold_s: float = 1e6
) -> None:
    async def run() -> None:
        workers, cloud = new_workers(asyncio.get_running_loop().time()), FakeCloud()
        await test(new_autoscaler(workers, cloud, None, idle_hold_s), workers, cloud)

    asyncio.run(run())


def plan_with_unplaced(job: JobView, count: int) -> Plan:
    """The plan of a round that found no capacity for `count` tasks of the job."""
    plan = Plan()
    plan.unplaced = [(job, count)]
    return plan


def listed_machine(
    number: int, state: MachineState = MachineState.RUNNING, age: float = 500.0
) -> ListedMachine:
    return ListedMachine(f"m-{number}", "", "g", "a", False, state, age)


def add_machine(workers: Workers, number: int, now: float) -> Machine:
    """Add a machine that is up and has acknowledged an answer."""
    for seq in (1, 2):
        workers.handle_heartbeat(
            make_heartbeat(1, seq, workers.lowest_fencing_token, machine=f"m-{number}"), now
        )
    return workers.cluster.machines[f"m-{number}"]


def test_hundreds_of_machines_are_provisioned_at_once_in_full_batches() -> None:
    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        autoscaler.machine_list.reconcile([], 0.0)
        job = JobView(spec(id="j-1", tasks=260, cpus=8.0, gpus=0.0, ram=1.0), 260)
        autoscaler.note_unplaced(plan_with_unplaced(job, 260))
        await autoscaler.scale_out_step()
        assert sorted(count for _, count in cloud.provisioned) == [10, 50, 50, 50, 50, 50]
        assert len({request for request, _ in cloud.provisioned}) == 6
        assert cloud.max_in_flight == 6
        await autoscaler.scale_out_step()
        assert len(cloud.provisioned) == 6  # the machines being provisioned suffice

    run_test(test)


def test_provision_requests_without_an_answer_are_repeated_before_any_other() -> None:
    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        autoscaler.machine_list.reconcile([], 0.0)
        job = JobView(spec(id="j-1", tasks=70, cpus=8.0, gpus=0.0, ram=1.0), 70)
        autoscaler.note_unplaced(plan_with_unplaced(job, 70))
        cloud.no_answer = True
        for _ in range(3):
            try:
                await autoscaler.scale_out_step()
            except CloudError:
                pass
        names = {entry.name for entry in autoscaler.provisioner.unanswered}
        assert len(names) == len(autoscaler.provisioner.unanswered) == 2
        cloud.no_answer = False
        await autoscaler.scale_out_step()
        assert {request for request, _ in cloud.provisioned} == names
        assert not autoscaler.provisioner.unanswered

    run_test(test)


def test_a_provision_request_that_the_cloud_rejects_holds_up_no_others() -> None:
    """Regression: a request without an answer, whose repetition the cloud rejected, was repeated
    for ever, and nothing else was provisioned."""

    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        autoscaler.machine_list.reconcile([], 0.0)
        job = JobView(spec(id="j-1", cpus=8.0, gpus=0.0, ram=1.0), 1)
        autoscaler.note_unplaced(plan_with_unplaced(job, 1))
        cloud.no_answer = True
        with pytest.raises(CloudError):
            await autoscaler.scale_out_step()
        cloud.no_answer, cloud.rejects = False, True
        with pytest.raises(RejectedRequestError):
            await autoscaler.scale_out_step()
        cloud.rejects = False
        autoscaler.provisioner.capacity_errors.clear()
        await autoscaler.scale_out_step()
        assert len(cloud.provisioned) == 1

    run_test(test)


def test_a_deletion_never_names_more_machines_than_the_protocol_allows() -> None:
    """Regression: a deletion of 120 machines, 80 idle and 40 failed ones, was refused forever."""

    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        now = asyncio.get_running_loop().time()
        for number in range(230):
            add_machine(workers, number, now - 1.0)
        autoscaler.machine_list.reconcile(
            [listed_machine(n, MachineState.FAILED) for n in range(300, 390)], now
        )
        await autoscaler.scale_in.step()
        assert not autoscaler.scale_in.failed
        assert not workers.cluster.machines
        assert max(map(len, cloud.deleted)) == constants.MAX_DELETION_NAMES
        assert len({name for names in cloud.deleted for name in names}) == 230 + 90

    run_test(test, idle_hold_s=0.0)


def test_after_a_failover_a_listed_machine_is_not_judged_by_its_age() -> None:
    """Regression: because of its age, an idle machine that sends a heartbeat within seconds counted
    as late to start up."""

    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        now = workers.failover_at
        add_machine(workers, 1, now + 1.0)
        autoscaler.machine_list.reconcile(
            [listed_machine(1), listed_machine(2), listed_machine(3, MachineState.STARTING, 20.0)],
            now + 1.0,
        )
        assert not autoscaler.scale_in.machines_to_delete(now + 1.0)
        idle = workers.cluster.machines["m-2"]
        assert idle.phase is MachinePhase.RECOVERED
        # It is expected to come up, so no other machine is provisioned instead.
        assert autoscaler.scale_out.is_expected(idle, now + 2.0)
        for second in range(1, 16):
            workers.tick(now + second)
            for number in (1, 2) if second < 5 else (1,):
                machine = workers.cluster.machines[f"m-{number}"]
                seq = machine.sequence + 1
                workers.handle_heartbeat(
                    make_heartbeat(1, seq, workers.fencing_token, machine=machine.name),
                    now + second,
                )
        assert idle.is_schedulable
        assert "m-4" not in workers.cluster.machines
        # The previous leader may have deleted m-4, so its silence decides, and not its age.
        autoscaler.machine_list.reconcile(
            [listed_machine(n, age=400.0) for n in (1, 2, 4)], now + 15.0
        )
        for second in range(16, 31):
            workers.tick(now + second)
            for number in (1, 2):
                machine = workers.cluster.machines[f"m-{number}"]
                seq = machine.sequence + 1
                workers.handle_heartbeat(
                    make_heartbeat(1, seq, workers.fencing_token, machine=machine.name),
                    now + second,
                )
        assert [m.name for m in autoscaler.scale_in.machines_to_delete(now + 30.0)] == ["m-4"]

    run_test(test)


def test_a_leader_that_was_suspended_does_not_delete_the_machines_that_it_did_not_hear() -> None:
    """A leader that resumes after 28 s finds all machines silent. It may still lead: its lease
    does not expire during an outage of the state service. Regression: once a third of the machines
    had sent heartbeats, it deleted the others."""

    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        now = workers.failover_at
        machines = [add_machine(workers, number, now + 1.0) for number in range(10)]
        workers.tick(now + 1.0)
        resumed = now + 29.0
        for machine in machines[:4]:
            workers.handle_heartbeat(
                make_heartbeat(1, 3, workers.fencing_token, machine=machine.name), resumed
            )
        assert not autoscaler.scale_in.machines_to_delete(resumed + 0.1)
        assert not workers.health.is_partitioned(resumed + 0.1)
        for second in range(1, 17):
            workers.tick(resumed + second)
            for machine in machines[:9]:
                seen = make_heartbeat(
                    1, machine.sequence + 1, workers.fencing_token, machine=machine.name
                )
                workers.handle_heartbeat(seen, resumed + second)
        assert [m.name for m in autoscaler.scale_in.machines_to_delete(resumed + 16.5)] == [
            machines[9].name
        ]

    run_test(test)


def test_idle_machines_are_deleted_for_a_starving_job_after_a_capacity_error() -> None:
    """Regression: idle machines were held for five minutes for teams with guarantees, while the
    cloud provider had no capacity for the starving job."""

    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        now = workers.failover_at
        for number in range(2 * constants.MAX_DELETED_FOR_STARVING_JOB):
            add_machine(workers, number, now)
            workers.cluster.machines[f"m-{number}"].idle_since = (
                now - constants.DELETED_FOR_STARVING_JOB_IDLE_S - number + 1
            )
        job = JobView(spec(id="j-1", zone="b"), 1, is_starving=True)
        autoscaler.note_unplaced(plan_with_unplaced(job, 1))
        assert not autoscaler.scale_in.machines_to_delete(now)  # there was no capacity error yet
        autoscaler.provisioner.capacity_errors[OfferKey("g", "b", False)] = now + 200.0
        assert (
            len(autoscaler.scale_in.machines_to_delete(now))
            == constants.MAX_DELETED_FOR_STARVING_JOB
        )

        def deleted_for_starving_jobs(at: float) -> int:
            shortage = autoscaler.scale_out.shortage(at)
            return len(autoscaler.scale_in_policy.idle_for_starving_jobs(at, shortage))

        # The previous deletion is first given time to take effect.
        assert not deleted_for_starving_jobs(now + 1.0)
        assert (
            deleted_for_starving_jobs(now + constants.DELETED_FOR_STARVING_JOB_INTERVAL_S + 0.1)
            == constants.MAX_DELETED_FOR_STARVING_JOB
        )  # a little later than the interval, since sums of floats are not exact
        autoscaler.note_unplaced(
            plan_with_unplaced(JobView(spec(id="j-2"), 1, is_starving=True), 1)
        )
        assert not deleted_for_starving_jobs(
            now + 3 * constants.DELETED_FOR_STARVING_JOB_INTERVAL_S
        )  # this starving job can use the idle machines itself

    run_test(test)


def test_a_machine_that_can_take_no_work_yet_is_not_idle() -> None:
    """Regression: idle machines were held for less time than passes until their second heartbeat.
    They were deleted before they could take work, and others were provisioned, endlessly."""

    async def test(autoscaler: Autoscaler, workers: Workers, cloud: FakeCloud) -> None:
        now = asyncio.get_running_loop().time()
        workers.handle_heartbeat(make_heartbeat(1, 1, 0, machine="m-1"), now)
        assert not autoscaler.scale_in.machines_to_delete(now + 4.0)
        workers.handle_heartbeat(
            make_heartbeat(1, 2, workers.lowest_fencing_token, machine="m-1"), now + 5.0
        )
        assert [m.name for m in autoscaler.scale_in.machines_to_delete(now + 5.1)] == ["m-1"]

    run_test(test, idle_hold_s=1.0)
