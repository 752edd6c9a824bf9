"""Quarantine: unhealthy machines take no new work."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.workers.events import WorkerListener

log = logging.getLogger("peathall.workers")


class Quarantine:
    """Drains machines that are considered unhealthy. All times are monotonic, in seconds."""

    def __init__(self, listener: WorkerListener) -> None:
        self.listener = listener
        self._ends_at: dict[Machine, float] = {}  # when a machine that still has tasks returns

    def drain(self, machine: Machine, reason: str, now: float) -> None:
        """Let the machine take no new work; it is deleted once it has no tasks."""
        if machine.enter(MachinePhase.DRAINING):
            machine.drain_reason = reason
            self._ends_at[machine] = now + constants.QUARANTINE_S
            log.info("machine %s is draining: %s", machine.name, reason)
            self.listener.state_changed()

    def drain_unhealthy(self, machines: Iterable[Machine], now: float) -> None:
        """Drain machines that were found unhealthy by fault attribution."""
        for machine in machines:
            self.drain(machine, "it fails tasks that succeed elsewhere", now)

    def tick(self, now: float) -> None:
        """Let machines take work again that could not be emptied in time; called each second.

        Their tasks may never end, and the cloud may have no machine to which replicas could move.
        The failures counted against such a machine stay: one more failure drains it again.
        """
        for machine in [m for m, ends_at in self._ends_at.items() if now >= ends_at]:
            del self._ends_at[machine]
            if machine.attempts and machine.end_draining():
                log.info(
                    "machine %s takes work again: it was unhealthy and still has %d tasks",
                    machine.name,
                    len(machine.attempts),
                )
                self.listener.state_changed()
