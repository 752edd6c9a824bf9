"""Interface through which the jobs of this cell depend on other cells."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job


class RemoteJobs(Protocol):
    """Tracks jobs that were handed off to another cell or borrowed from one."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all tasks of the job, in every cell, are certain to stop within `cancel_s` from
        now; called again until it returns True."""

    def finish_borrowed(self, job: Job) -> None:
        """Called when all tasks of a borrowed job are done."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Further conditions for accepting a job with this id, as key -> version."""


class NoRemoteJobs:
    """RemoteJobs of a deployment without other cells."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Always true: all tasks of the job are in this cell."""
        return True

    def finish_borrowed(self, job: Job) -> None:
        """Never called: no job is borrowed."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """No further conditions."""
        return {}
