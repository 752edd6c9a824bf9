"""Startup delays of machines, compared with other machines of their type."""

from __future__ import annotations

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState


class StartupTimes:
    """Distinguishes a single machine that is late to start up from a cloud that delays all."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        # Machine type -> when the most recently provisioned machine that is up was provisioned.
        self._latest_started: dict[str, float] = {}

    def nominal_s(self, machine: Machine) -> float:
        """The nominal startup time of the machine's type, in seconds."""
        machine_type = self._cluster.types.get(machine.type)
        return (
            machine_type.startup_s if machine_type is not None else constants.MIN_STARTUP_TIMEOUT_S
        )

    def later_machine_is_up(self, machine: Machine) -> bool:
        """Whether a machine of the same type that was provisioned at the same time or later is up.
        If so, only this machine is late; if not, the cloud delays all of them, and a replacement
        would be delayed as well."""
        latest = self._latest_started.get(machine.type, -1e9)
        return machine.created_at <= latest + constants.SAME_AGE_S

    def update(self) -> None:
        """Record which machines have started up."""
        for machine in self._cluster.machines.values():
            if machine.phase is MachinePhase.UP and machine.listed_by_cloud:
                latest = self._latest_started.get(machine.type, -1e9)
                self._latest_started[machine.type] = max(latest, machine.created_at)
