"""What the workers' reports tell the other slices of a leader."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job
from peathall.cluster.machine import Machine


class WorkerListener(Protocol):
    """Who is told."""

    def tasks_done(self, job: Job) -> None:
        """Tasks of the job were reported done."""

    def state_changed(self) -> None:
        """Something may start now, or must be decided anew."""

    def images_changed(self, machine: Machine) -> None:
        """The machine has cached another image."""

    def machine_confirmed(self, machine: Machine) -> None:
        """The machine has reported under this term's token for the first time."""

    def spot_notice_received(self, machine: Machine, now: float) -> None:
        """The cloud has announced that it takes the machine back."""


class IgnoredEvents:
    """Nobody is told."""

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
