"""What the jobs slice asks of other cells; without cells, nothing is anywhere else."""

from __future__ import annotations

from typing import Protocol

from peathall.cluster.job import Job


class RemoteJobs(Protocol):
    """Who knows of jobs that run in another cell, or that another cell's users submitted."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all of the job must be gone within `cancel_s` from now, wherever it is. Asked
        again until it is so."""

    def finish_borrowed(self, job: Job) -> None:
        """All tasks of a job of another cell are done."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Further conditions on which a job of this name may be accepted: keys and versions."""


class NoRemoteJobs:
    """There are no other cells."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """All of it is here."""
        return True

    def finish_borrowed(self, job: Job) -> None:
        """No job is borrowed."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """None."""
        return {}
