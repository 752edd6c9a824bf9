"""Null implementation of the `cells` component, used when the operator has not enabled it.

It imports no other module of this package, so that a controller without cells does not spend
memory on them.
"""

from __future__ import annotations

from collections.abc import Coroutine, Iterable
from typing import Any

from peathall.cluster.job import Job
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.placement.plan import Plan
from peathall.store.client import StoreClient


class NoHandoffs:
    """Null implementation of `HomeHandoffs`: no job of this cell runs in another one."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Always true: all tasks of the job are in this cell."""
        return True


class NoBorrowedJobs:
    """Null implementation of `BorrowedJobs`: no job of another cell runs in this one."""

    def finish(self, job: Job) -> None:
        """Nothing to do."""

    def stop_expired(self, now: float) -> None:
        """Nothing to do."""


class NoCells:
    """Null implementation of `CellLeader`: there are no other cells."""

    def __init__(self) -> None:
        self.home = NoHandoffs()
        self.borrower = NoBorrowedJobs()

    async def read_records(self, store: StoreClient) -> None:
        """There are no records, so nothing is read from the state service."""

    def load(self, records: None) -> None:
        """Nothing to do."""

    def load_handoffs(self, records: None) -> None:
        """Nothing to do."""

    async def request_leases(self) -> None:
        """Nothing to do."""

    def loops(self) -> Iterable[Coroutine[Any, Any, None]]:
        """No coroutines."""
        return ()

    def tick(self, now: float) -> None:
        """Nothing to do."""

    def close(self) -> None:
        """Nothing to do."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """No conditions: no job of another cell can have the same id."""
        return {}

    def note_unplaced(self, plan: Plan) -> None:
        """Nothing to do: there is no cell that the jobs could be handed off to."""

    def home_of(self, job_id: str) -> str | None:
        """None: no job is borrowed."""
        return None

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """RETRY_LATER; never called, since no job is borrowed."""
        return RETRY_LATER
