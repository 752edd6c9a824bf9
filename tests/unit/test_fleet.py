"""Renting, listing and returning by the hundred, against a stand-in of the cloud."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from peathall import constants
from peathall.autoscaling.actions import CloudError, ProvisionRequest
from peathall.autoscaling.autoscaler import Autoscaler
from peathall.cluster.machine import Machine, MachinePhase
from peathall.placement.views import JobView
from peathall.protocol.cloud import ListedMachine, MachineState
from peathall.workers.service import Workers
from tests.unit.test_planner import spec
from tests.unit.test_workers import new_fleet, new_workers, report


class Cloud:
    """Answers after a moment; keeps what it was asked."""

    def __init__(self) -> None:
        self.deleted: list[list[str]] = []
        self.rented: list[tuple[str, int]] = []
        self.at_once = self.most_at_once = 0
        self.doubt = False

    async def delete(self, machines: list[str]) -> None:
        self.deleted.append(machines)

    async def provision(self, rental: ProvisionRequest) -> list[str]:
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        await asyncio.sleep(0)
        self.at_once -= 1
        if self.doubt:
            raise CloudError("no answer", sent=True)
        self.rented.append((rental.request, rental.count))
        return [f"{rental.request}/{n}" for n in range(rental.count)]


def play(test: Callable[[Autoscaler, Workers, Cloud], Awaitable[None]]) -> None:
    async def run() -> None:
        workers, cloud = new_workers(asyncio.get_running_loop().time()), Cloud()
        await test(new_fleet(workers, cloud), workers, cloud)

    asyncio.run(run())


def listed(
    number: int, state: MachineState = MachineState.RUNNING, age: float = 500.0
) -> ListedMachine:
    return ListedMachine(f"m-{number}", "", "g", "a", False, state, age)


def add(workers: Workers, number: int, now: float) -> Machine:
    """A machine that is up and has heard us."""
    for seq in (1, 2):
        workers.handle_heartbeat(report(1, seq, workers.base, machine=f"m-{number}"), now)
    return workers.cluster.machines[f"m-{number}"]


def test_hundreds_of_machines_are_rented_at_once_in_full_batches() -> None:
    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        fleet.listed_once = True
        fleet.unplaced = [
            (JobView(spec(id="j-1", tasks=260, cpus=8.0, gpus=0.0, ram=1.0), 260), 260)
        ]
        await fleet._scale_out()
        assert sorted(count for _, count in cloud.rented) == [10, 50, 50, 50, 50, 50]
        assert len({request for request, _ in cloud.rented}) == 6
        assert cloud.most_at_once == 6
        await fleet._scale_out()
        assert len(cloud.rented) == 6  # those that are coming are enough

    play(test)


def test_rentals_without_an_answer_are_repeated_before_any_other() -> None:
    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        fleet.listed_once = True
        fleet.unplaced = [(JobView(spec(id="j-1", tasks=70, cpus=8.0, gpus=0.0, ram=1.0), 70), 70)]
        cloud.doubt = True
        for _ in range(3):
            try:
                await fleet._scale_out()
            except CloudError:
                pass
        names = {request for request, _, _ in fleet.unsure}
        assert len(names) == len(fleet.unsure) == 2
        cloud.doubt = False
        await fleet._scale_out()
        assert {request for request, _ in cloud.rented} == names
        assert not fleet.unsure

    play(test)


def test_a_deletion_never_names_more_than_the_protocol_allows() -> None:
    """With 80 idle machines and 40 that failed, one request of 120 was refused for ever."""

    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        fleet.returns.idle_hold_s = 0.0
        now = asyncio.get_running_loop().time()
        for number in range(230):
            add(workers, number, now - 1.0)
        fleet._compare([listed(n, MachineState.FAILED) for n in range(300, 390)], now)
        await fleet._scale_in()
        assert not fleet.failed
        assert not workers.cluster.machines
        assert max(map(len, cloud.deleted)) == constants.DELETE_MAX
        assert len({name for names in cloud.deleted for name in names}) == 230 + 90

    play(test)


def test_after_a_take_over_a_listed_machine_is_not_judged_by_its_age() -> None:
    """It runs, idle, and reports within seconds; its age once made it 'never came up'."""

    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        now = workers.failover_at
        add(workers, 1, now + 1.0)
        fleet._compare([listed(1), listed(2), listed(3, MachineState.STARTING, 20.0)], now + 1.0)
        assert not fleet._to_delete(now + 1.0)
        idle = workers.cluster.machines["m-2"]
        assert idle.phase is MachinePhase.RECOVERED
        assert fleet._wakes(idle, now + 2.0)  # counted on, rather than rented anew
        for second in range(1, 16):
            workers.tick(now + second)
            for number in (1, 2) if second < 5 else (1,):
                machine = workers.cluster.machines[f"m-{number}"]
                seq = machine.sequence + 1
                workers.handle_heartbeat(
                    report(1, seq, workers.fencing_token, machine=machine.name), now + second
                )
        assert idle.is_schedulable
        assert "m-4" not in workers.cluster.machines
        # One that stays silent was perhaps deleted by the leader before; it goes by its silence.
        fleet._compare([listed(n, age=400.0) for n in (1, 2, 4)], now + 15.0)
        for second in range(16, 31):
            workers.tick(now + second)
            for number in (1, 2):
                machine = workers.cluster.machines[f"m-{number}"]
                seq = machine.sequence + 1
                workers.handle_heartbeat(
                    report(1, seq, workers.fencing_token, machine=machine.name), now + second
                )
        assert [m.name for m in fleet._to_delete(now + 30.0)] == ["m-4"]

    play(test)


def test_a_leader_that_stood_still_does_not_blame_the_machines() -> None:
    """Frozen for 28 s it wakes to a fleet that all looks silent. An outage of the state service
    keeps its lease, so it may act; as soon as a third had reported, the others were deleted."""

    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        now = workers.failover_at
        machines = [add(workers, number, now + 1.0) for number in range(10)]
        workers.tick(now + 1.0)
        woke = now + 29.0
        for machine in machines[:4]:
            workers.handle_heartbeat(
                report(1, 3, workers.fencing_token, machine=machine.name), woke
            )
        assert not fleet._to_delete(woke + 0.1)
        assert not workers.health.is_partitioned(woke + 0.1)
        for second in range(1, 17):
            workers.tick(woke + second)
            for machine in machines[:9]:
                seen = report(1, machine.sequence + 1, workers.fencing_token, machine=machine.name)
                workers.handle_heartbeat(seen, woke + second)
        assert [m.name for m in fleet._to_delete(woke + 16.5)] == [machines[9].name]

    play(test)


def test_idle_machines_make_way_for_a_job_that_is_refused_others() -> None:
    """They were held for five minutes for teams with guarantees, in a cloud that was full."""

    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        now = workers.failover_at
        for number in range(2 * constants.RETURNED_FOR_STARVING_JOB):
            add(workers, number, now)
            workers.cluster.machines[f"m-{number}"].idle_since = (
                now - constants.RETURNED_FOR_STARVING_JOB_IDLE_S - number + 1
            )
        job = JobView(spec(id="j-1", zone="b"), 1, is_starving=True)
        fleet.unplaced = [(job, 1)]
        assert not fleet._to_delete(now)  # nothing was refused
        fleet.refused[("g", "b", False)] = now + 200.0
        assert len(fleet._to_delete(now)) == constants.RETURNED_FOR_STARVING_JOB

        def way_made(at: float) -> int:
            return len(fleet.returns._make_way(at, fleet._shortage(at)))

        assert not way_made(now + 1.0)  # first it must show whether that helps
        assert (
            way_made(now + constants.RETURNED_FOR_STARVING_JOB_GAP_S + 0.1)
            == constants.RETURNED_FOR_STARVING_JOB
        )  # sums are not exact
        fleet.unplaced = [(JobView(spec(id="j-2"), 1, is_starving=True), 1)]
        assert not way_made(
            now + 3 * constants.RETURNED_FOR_STARVING_JOB_GAP_S
        )  # it could use them itself

    play(test)


def test_a_machine_that_can_take_no_work_yet_is_not_idle() -> None:
    """It was held for less than its second report takes: it was returned before any work could
    come, another was rented, and so on without end."""

    async def test(fleet: Autoscaler, workers: Workers, cloud: Cloud) -> None:
        fleet.returns.idle_hold_s = 1.0
        now = asyncio.get_running_loop().time()
        workers.handle_heartbeat(report(1, 1, 0, machine="m-1"), now)
        assert not fleet._to_delete(now + 4.0)
        workers.handle_heartbeat(report(1, 2, workers.base, machine="m-1"), now + 5.0)
        assert [m.name for m in fleet._to_delete(now + 5.1)] == ["m-1"]

    play(test)
