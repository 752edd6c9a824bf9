"""Interfaces between a leader and the optional features, cells and duties.

Each feature has a null object (`peathall.cells.disabled.NoCells`,
`peathall.duties.disabled.NoDuties`), so that the leader does not check at every use whether the
feature is enabled.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

from peathall.autoscaling.actions import CloudActions
from peathall.cluster.job import Job
from peathall.jobs.responses import JobResponse
from peathall.placement.plan import Plan
from peathall.store.client import StoreClient
from peathall.store.deferred_writes import DeferredWriter


class LentJobs(Protocol):
    """Jobs of this cell that run in other cells."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all tasks of the job are certain to stop within `cancel_s`, in whatever cell."""


class BorrowedJobs(Protocol):
    """Jobs of other cells that run in this one."""

    def finish(self, job: Job) -> None:
        """All tasks of the job are done."""

    def stop_expired(self, now: float) -> None:
        """Stop the jobs whose lease, granted by their home cell, has expired."""


class LeaderCells(Protocol):
    """The exchange of jobs with other cells, for one term."""

    @property
    def home(self) -> LentJobs:
        """Jobs of this cell that run in other cells."""

    @property
    def borrower(self) -> BorrowedJobs:
        """Jobs of other cells that run in this one."""

    async def read_records(self, store: StoreClient) -> Any:
        """Read the records of handoffs, to be passed to `load` and `load_handoffs`.

        Raises StoreError.
        """

    def load(self, records: Any) -> None:
        """Load the borrowed jobs; called before the records of jobs are loaded."""

    def load_handoffs(self, records: Any) -> None:
        """Load the handoffs to other cells; called after the records of jobs are loaded."""

    async def request_leases(self) -> None:
        """Request the leases of the borrowed jobs, before the leader serves any request."""

    def loops(self) -> Iterable[Coroutine[Any, Any, None]]:
        """Coroutines that run until the term ends."""

    def tick(self, now: float) -> None:
        """Check leases and reservations; called once a second."""

    def close(self) -> None:
        """Release resources, since the term has ended."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Required versions of keys for accepting a user's job of that id."""

    def note_unplaced(self, plan: Plan) -> None:
        """A scheduling round did not place these tasks."""

    def home_of(self, job_id: str) -> str | None:
        """The home cell of a borrowed job; None if the job is not borrowed."""

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """Ask the job's home cell for the response to a user."""


class LeaderDuties(Protocol):
    """Work that the leader delegates to the holders of duties, for one term.

    A property is None if the leader does that work itself.
    """

    @property
    def cloud(self) -> CloudActions | None:
        """Provisioning and deletion of machines."""

    @property
    def compaction(self) -> DeferredWriter | None:
        """Writes of compacted records of scheduling rounds."""

    @property
    def cleanup(self) -> DeferredWriter | None:
        """Deletions of the records of archived jobs."""

    async def pending_deletions(self) -> set[str]:
        """Machines whose deletion may be unfinished; raises StoreError."""

    def loops(self, on_retired: Callable[[], None]) -> Iterable[Coroutine[Any, Any, None]]:
        """Coroutines that run until the term ends.

        `on_retired` is called once duties are retired: from then on the leader acts on the cloud
        itself.
        """
