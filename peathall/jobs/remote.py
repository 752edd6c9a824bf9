"""What the jobs of this cell need to know of other cells."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job


class RemoteJobs(Protocol):
    """Jobs that run in another cell, and jobs that are borrowed from one."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all tasks of the job, in whatever cell, are stopped within `cancel_s` from now.

        Asked again until it is so.
        """

    def finish_borrowed(self, job: Job) -> None:
        """All tasks of a borrowed job are done."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Further conditions for accepting a job of this name: keys and their versions."""


class NoRemoteJobs:
    """A deployment without other cells."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Always: all tasks of the job are in this cell."""
        return True

    def finish_borrowed(self, job: Job) -> None:
        """Never called: no job is borrowed."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """No further conditions."""
        return {}
