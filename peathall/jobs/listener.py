"""What the jobs of a leader cause in the rest of it."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job


class JobListener(Protocol):
    """Placement and the workers, as far as jobs affect them."""

    def state_changed(self) -> None:
        """A job was accepted or is over: placement has to run again."""

    def stop_all(self, job: Job) -> None:
        """The job is being cancelled: stop its attempts and refuse starts under way."""
