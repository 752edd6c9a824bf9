"""Quarantine: unhealthy machines take no new work."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from peathall.cluster.machine import Machine, MachinePhase
from peathall.workers.events import WorkerListener

log = logging.getLogger("peathall.workers")


class Quarantine:
    """Drains machines that are considered unhealthy."""

    def __init__(self, listener: WorkerListener) -> None:
        self.listener = listener

    def drain(self, machine: Machine, reason: str) -> None:
        """Let the machine take no new work; it is deleted once it has no tasks."""
        if machine.enter(MachinePhase.DRAINING):
            machine.drain_reason = reason
            log.info("machine %s is draining: %s", machine.name, reason)
            self.listener.state_changed()

    def drain_unhealthy(self, machines: Iterable[Machine]) -> None:
        """Drain machines that were found unhealthy by fault attribution."""
        for machine in machines:
            self.drain(machine, "it fails tasks that succeed elsewhere")
