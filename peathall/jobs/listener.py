"""Interface through which the leader's jobs notify placement and the workers."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job


class JobListener(Protocol):
    """Receives the changes of jobs that affect placement and the workers."""

    def state_changed(self) -> None:
        """A job was accepted or reached a final status: placement has to run again."""

    def stop_all(self, job: Job) -> None:
        """The job is being cancelled: stop its attempts, and refuse starts that are in
        progress."""
