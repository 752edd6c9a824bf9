"""Views of the machines that accept new tasks, and of those that are starting."""

from __future__ import annotations

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.placement.context import RoundContext
from peathall.placement.reservations import Reservations
from peathall.placement.victims import Victims
from peathall.placement.views import MachineDetail, MachineView
from peathall.workers.workers import Workers

# Heartbeats arrive up to a quarter of an interval late.
LATE_HEARTBEAT_FACTOR = 1.25


class MachineViews:
    """Builds the views. A machine's details are loaded only when a decision depends on them."""

    def __init__(
        self,
        cluster: ClusterState,
        workers: Workers,
        reservations: Reservations,
        victims: Victims,
        context: RoundContext,
        report_s: float,
    ) -> None:
        """`report_s` is the heartbeat interval in seconds."""
        self.cluster = cluster
        self.workers = workers
        self.reservations = reservations
        self.victims = victims
        self.context = context
        self.max_heartbeat_interval_s = report_s * LATE_HEARTBEAT_FACTOR

    def schedulable(self) -> list[MachineView]:
        """Machines that accept new tasks."""
        reserved = self.reservations.capacity()
        return [
            self._view(machine, reserved.get(machine.name))
            for machine in self.cluster.machines.values()
            if self.is_schedulable(machine, self.context.now)
        ]

    def starting(self, now: float) -> list[tuple[float, MachineView]]:
        """Machines that are starting, each with the expected seconds until it is up."""
        return [
            (max(1.0, self.cluster.types[machine.type].startup_s - (now - machine.created_at)),
             self._view(machine, None))
            for machine in self.cluster.machines.values()
            if machine.phase is MachinePhase.STARTING and machine.cpus > 0
        ]  # fmt: skip

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Whether the machine accepts new tasks: it is up, acknowledges this leader's responses,
        and its last heartbeat is recent."""
        health = self.workers.health
        silent_s = health.seconds_since_heartbeat(machine, now)
        return (
            machine.is_schedulable
            and machine.cpus > 0
            and silent_s < health.unschedulable_after_s()
        )

    def _view(self, machine: Machine, reserved: list[float] | None) -> MachineView:
        free = (machine.free_cpus, machine.free_gpus, machine.free_ram)
        if reserved is not None:
            free = (free[0] - reserved[0], free[1] - reserved[1], free[2] - reserved[2])
        silent_s = self.workers.health.seconds_since_heartbeat(machine, self.context.now)
        return MachineView(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            (machine.cpus, machine.gpus, machine.ram),
            free,
            machine.images,
            int(silent_s / self.max_heartbeat_interval_s),
            lambda: self._detail(machine),
            max(0, constants.MACHINE_TASKS_MAX - self.workers.reported_task_count(machine)),
            machine.replicas,
        )

    def _detail(self, machine: Machine) -> MachineDetail:
        cpus = gpus = ram = 0.0
        for attempt in machine.attempts.values():
            if attempt.is_ending:
                spec = attempt.job.spec
                cpus, gpus, ram = cpus + spec.cpus, gpus + spec.gpus, ram + spec.ram
        victims = self.victims.on_machine(machine, self.context.now)
        return MachineDetail(machine.fetching(), (cpus, gpus, ram), victims)
