"""How long machines take to start up, compared with others of their type."""

from __future__ import annotations

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState


class StartupTimes:
    """Tells a machine that is itself late to start up from a cloud that is late with all."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        # Machine type -> when the latest provisioned of its machines that are up was provisioned.
        self._latest_started: dict[str, float] = {}

    def nominal_s(self, machine: Machine) -> float:
        """The nominal startup time of the machine's type, in seconds."""
        machine_type = self._cluster.types.get(machine.type)
        return (
            machine_type.startup_s if machine_type is not None else constants.STARTUP_PATIENCE_MIN_S
        )

    def later_one_started(self, machine: Machine) -> bool:
        """Whether a machine of this type that was provisioned no sooner has started up. Then the
        delay is this machine's own; if not, the cloud is late with all of them, and a machine
        provisioned in its place would be as late."""
        latest = self._latest_started.get(machine.type, -1e9)
        return machine.created_at <= latest + constants.SAME_AGE_S

    def update(self) -> None:
        """Take in which machines have started up."""
        for machine in self._cluster.machines.values():
            if machine.phase is MachinePhase.UP and machine.listed_by_cloud:
                latest = self._latest_started.get(machine.type, -1e9)
                self._latest_started[machine.type] = max(latest, machine.created_at)
