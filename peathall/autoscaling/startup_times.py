"""How long machines take to come up, judged by others like them."""

from __future__ import annotations

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState


class StartupTimes:
    """Which of the machines that boot are late by themselves, and not with all others."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.latest_up: dict[str, float] = {}  # machine type -> see note()

    def boot_s(self, machine: Machine) -> float:
        """The nominal boot time of its type."""
        size = self.cluster.types.get(machine.type)
        return size.boot_s if size is not None else constants.STARTUP_PATIENCE_MIN_S

    def overtaken(self, machine: Machine) -> bool:
        """Whether one like it, rented no sooner, has come up: then the delay is its own. If
        none has, the cloud is late with all, and others rented instead would be as late."""
        return machine.created_at <= self.latest_up.get(machine.type, -1e9) + constants.SAME_AGE_S

    def note(self) -> None:
        """When the latest-rented machine of each type was rented that has come up."""
        for machine in self.cluster.machines.values():
            if machine.phase is MachinePhase.UP and machine.listed_by_cloud:
                latest = self.latest_up.get(machine.type, -1e9)
                self.latest_up[machine.type] = max(latest, machine.created_at)
