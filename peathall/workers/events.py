"""Events that this package reports to other parts of the leader."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job
from peathall.cluster.machine import Machine


class WorkerListener(Protocol):
    """Receives the events."""

    def tasks_done(self, job: Job) -> None:
        """Tasks of the job were reported done."""

    def state_changed(self) -> None:
        """A placement round is due, since what can or must be placed may have changed."""

    def images_changed(self, machine: Machine) -> None:
        """The machine has cached another image."""

    def machine_confirmed(self, machine: Machine) -> None:
        """A heartbeat of the machine carries a fencing token of this term for the first time."""

    def spot_notice_received(self, machine: Machine, now: float) -> None:
        """The cloud provider has announced that it reclaims the spot machine."""


class IgnoredEvents:
    """A listener that does nothing."""

    def tasks_done(self, job: Job) -> None:
        """Ignored."""

    def state_changed(self) -> None:
        """Ignored."""

    def images_changed(self, machine: Machine) -> None:
        """Ignored."""

    def machine_confirmed(self, machine: Machine) -> None:
        """Ignored."""

    def spot_notice_received(self, machine: Machine, now: float) -> None:
        """Ignored."""
