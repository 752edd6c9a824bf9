"""Scale-out: provisions machines for the tasks that placement finds no capacity for."""

from __future__ import annotations

import asyncio

from peathall import constants
from peathall.async_tasks import wait_until_set
from peathall.autoscaling.provisioner import Provisioner
from peathall.autoscaling.scale_in import CapacityShortage
from peathall.autoscaling.scale_out import Bin, all_offers, offer_of, plan_scale_out
from peathall.autoscaling.startup_times import StartupTimes
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.placement.plan import Plan
from peathall.placement.views import JobView
from peathall.workers.health import MachineHealth


class ScaleOutLoop:
    """Keeps the demand that the latest scheduling round left, and provisions machines for it."""

    def __init__(
        self,
        cluster: ClusterState,
        health: MachineHealth,
        startup_times: StartupTimes,
        provisioner: Provisioner,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._cluster = cluster
        self._health = health
        self._startup_times = startup_times
        self._provisioner = provisioner
        self._plan_requested = asyncio.Event()
        self._unplaced: list[tuple[JobView, int]] = []  # jobs with their number of unplaced tasks
        self._free_capacity: dict[str, list[float]] = {}  # by machine name, after that round

    def note_unplaced(self, plan: Plan) -> None:
        """Store the tasks that a scheduling round could not place, and the capacity left free."""
        self._unplaced, self._free_capacity = plan.unplaced, plan.free_capacity
        if self._unplaced:
            self._plan_requested.set()

    def shortage(self, now: float) -> CapacityShortage:
        """The starving jobs, and whether the cloud has recently returned capacity errors."""
        starving = [job.spec for job, _ in self._unplaced if job.is_starving]
        return CapacityShortage(starving, self._provisioner.has_capacity_errors(now))

    async def wait(self) -> None:
        """Wait until a scheduling round has left unplaced tasks, but no longer than a tick."""
        await wait_until_set(self._plan_requested, constants.TICK_S)
        self._plan_requested.clear()

    async def step(self, list_is_known: bool) -> None:
        """Repeat unanswered requests, then plan and provision; raises CloudError.

        Nothing new is provisioned until the cloud's list has been read in this term: machines
        that an earlier leader provisioned may still be starting up.
        """
        await self._provisioner.repeat_unanswered()
        if not list_is_known or not self._unplaced:
            return
        now = self._loop.time()
        starting, free = self._bins(now)
        types = list(self._cluster.types.values())
        offers = [o for o in all_offers(types) if self._provisioner.is_available(o, now)]
        machines = plan_scale_out(self._unplaced, starting, free, offers)
        await self._provisioner.provision(machines)
        # Machines take long to start up, so planning after every round would gain nothing.
        await asyncio.sleep(constants.SCALE_OUT_PAUSE_S)

    def _bins(self, now: float) -> tuple[list[Bin], list[Bin]]:
        """The free capacity of machines that will soon be up, and of those already in use."""
        starting, free = [], []
        for machine in self._cluster.machines.values():
            offer = offer_of(machine, self._cluster.types)
            if offer is not None and self.is_expected(machine, now):
                capacity = [machine.free_cpus, machine.free_gpus, machine.free_ram]
                starting.append(Bin(offer, capacity))
            elif offer is not None and machine.name in self._free_capacity:
                free.append(Bin(offer, list(self._free_capacity[machine.name])))
        return starting, free

    def is_expected(self, machine: Machine, now: float) -> bool:
        """Whether the machine cannot take work yet, but should soon."""
        if machine.phase is MachinePhase.STARTING:
            limit_s = constants.STARTUP_LATE_FACTOR * self._startup_times.nominal_s(machine)
            late = now - machine.created_at > limit_s
            return not (late and self._startup_times.later_machine_is_up(machine))
        if not machine.listed_by_cloud:
            return False  # known only from a record or a late heartbeat, so it may be gone
        if machine.phase is MachinePhase.RECOVERED:
            silent_s = self._health.seconds_since_heartbeat(machine, now)
            return silent_s < self._health.unschedulable_after_s()
        return machine.phase is MachinePhase.UP and not machine.confirmed
