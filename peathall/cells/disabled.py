"""Stands in for the cells of a leader when the operator has not enabled them.

It imports nothing of the other modules of this package: a controller without cells must not spend
the memory for them.
"""

from __future__ import annotations

from collections.abc import Coroutine, Iterable
from typing import Any

from peathall.cluster.job import Job
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.placement.plan import Plan
from peathall.store.client import StoreClient


class NoHandoffs:
    """No job of this cell runs in another one."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Yes: all of the job is in this cell."""
        return True


class NoBorrowedJobs:
    """No job of another cell runs in this one."""

    def finish(self, job: Job) -> None:
        """Nothing to do."""

    def stop_expired(self, now: float) -> None:
        """Nothing to do."""


class NoCells:
    """There are no other cells."""

    def __init__(self) -> None:
        self.home = NoHandoffs()
        self.borrower = NoBorrowedJobs()

    async def read_records(self, store: StoreClient) -> None:
        """No records are kept; the state service is not asked."""

    def load(self, records: None) -> None:
        """Nothing to do."""

    def load_handoffs(self, records: None) -> None:
        """Nothing to do."""

    async def request_leases(self) -> None:
        """Nothing to do."""

    def loops(self) -> Iterable[Coroutine[Any, Any, None]]:
        """Nothing runs."""
        return ()

    def tick(self, now: float) -> None:
        """Nothing to do."""

    def close(self) -> None:
        """Nothing to do."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """None: no job of another cell can have the name."""
        return {}

    def note_unplaced(self, plan: Plan) -> None:
        """Nothing to do: no other cell could run the tasks."""

    def home_of(self, job_id: str) -> str | None:
        """None: every job is of this cell."""
        return None

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """RETRY_LATER: no job has another home, so nobody asks."""
        return RETRY_LATER
