"""What a leader needs of the optional features, cells and duties.

Each feature has a null object, so that the leader does not ask at every use whether the feature is
enabled: `peathall.cells.disabled.NoCells` and `peathall.duties.disabled.NoDuties`.
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


class HomeJobs(Protocol):
    """Jobs of this cell that run in other cells."""

    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all of the job must be gone within `cancel_s` from now, in whatever cell."""


class RemoteCellJobs(Protocol):
    """Jobs of other cells that run in this one."""

    def finish(self, job: Job) -> None:
        """All tasks of the job are done."""

    def stop_expired(self, now: float) -> None:
        """Stop the jobs whose lease from their home has expired."""


class LeaderCells(Protocol):
    """Other cells, as one leader deals with them."""

    @property
    def home(self) -> HomeJobs:
        """Jobs of this cell that run in other cells."""

    @property
    def borrower(self) -> RemoteCellJobs:
        """Jobs of other cells that run in this one."""

    async def read_records(self, store: StoreClient) -> Any:
        """The records of handoffs, for `load` and `load_handoffs` only; StoreError."""

    def load(self, records: Any) -> None:
        """Load the borrowed jobs: before the records of jobs."""

    def load_handoffs(self, records: Any) -> None:
        """Load the handoffs to other cells: after the records of jobs."""

    async def request_leases(self) -> None:
        """Ask for the leases of the borrowed jobs, before anything is answered."""

    def loops(self) -> Iterable[Coroutine[Any, Any, None]]:
        """What runs as long as the term does."""

    def tick(self, now: float) -> None:
        """Once a second: leases and reservations."""

    def close(self) -> None:
        """The term is over."""

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Keys and versions on which a user's job of that name may be accepted."""

    def note_unplaced(self, plan: Plan) -> None:
        """A round did not place these tasks."""

    def home_of(self, job_id: str) -> str | None:
        """The other cell whose job this is, or None."""

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """The response of the job's home cell to a user."""


class LeaderDuties(Protocol):
    """Work that the leader delegates to the holders of duties, for one term.

    An attribute is None if the leader does that work itself.
    """

    @property
    def cloud(self) -> CloudActions | None:
        """Provisions and deletes machines."""

    @property
    def compaction(self) -> DeferredWriter | None:
        """Writes the compacted records of rounds."""

    @property
    def cleanup(self) -> DeferredWriter | None:
        """Deletes the records of archived jobs."""

    async def pending_deletions(self) -> set[str]:
        """Machines in deletions that are not known to be finished; StoreError."""

    def loops(self, on_retired: Callable[[], None]) -> Iterable[Coroutine[Any, Any, None]]:
        """What runs as long as the term does. `on_retired`: duties have been taken out of use,
        and the leader acts on the cloud itself from now on."""
