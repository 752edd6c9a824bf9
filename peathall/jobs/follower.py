"""Answers users' requests through the state service while the leader can't be reached.

A submission creates a record only if none exists, and a query only reads, so both are safe
whatever a leader does concurrently. A cancellation has to wait for a leader: a leader answers
queries from memory, where a cancellation by a follower would be missing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from peathall import constants
from peathall.config.platform import Params
from peathall.jobs import records, responses
from peathall.jobs.admission import rejection_reason
from peathall.jobs.live_index import LiveJobIndex
from peathall.jobs.responses import NOT_FOUND, RETRY_LATER, JobResponse
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec, JobStatus, encode_job_status, spec_to_record
from peathall.protocol.state_service import Put
from peathall.store.client import StoreClient
from peathall.store.errors import ConflictError


class PlacedTaskCounts(Protocol):
    """Tasks that a leader has placed on machines, as far as the state service shows."""

    async def refresh(self) -> None:
        """Bring the counts up to date, if the state service can be read."""

    def count(self, job_id: str) -> int:
        """Number of tasks of the job that may be on machines."""


class NoPlacedTasks:
    """Counts no tasks: every job without a final status is reported as queued."""

    async def refresh(self) -> None:
        """Nothing to read."""

    def count(self, job_id: str) -> int:
        """Always 0."""
        return 0


class FollowerService:
    """Answers submissions and queries. While the leader is unreachable all users may poll here,
    so requests to the state service are kept few: one read updates the live jobs for all waiting
    queries, and final statuses, which never change, are cached."""

    def __init__(
        self,
        store: StoreClient,
        params: Params,
        cells: bool = False,
        placed: PlacedTaskCounts | None = None,
    ) -> None:
        self.cells = cells  # whether there may be borrowed jobs in the state service
        self.store = store
        self.params = params
        self.live = LiveJobIndex(store)
        self.placed = placed or NoPlacedTasks()
        self.types: dict[str, MachineType] = {}
        self._final_responses: OrderedDict[str, JobResponse] = OrderedDict()  # oldest first

    def set_types(self, types: Iterable[MachineType]) -> None:
        """Set all machine types; until then, new jobs are answered with RETRY_LATER."""
        self.types = {machine_type.name: machine_type for machine_type in types}

    async def query(self, job_id: str) -> JobResponse:
        """The response to a query; raises StoreError on failure."""
        final = self._final_responses.get(job_id)
        if final is not None:
            return final
        await self.live.refresh()
        return await self._find(job_id) or NOT_FOUND

    async def accept(self, spec: JobSpec) -> JobResponse:
        """Store the job unless it is known, and return the response to the user.

        Raises StoreError if it is unknown whether the job is stored.
        """
        final = self._final_responses.get(spec.id)
        if final is not None:
            return final
        await self.live.refresh()
        if spec.id not in self.live.record_counts:
            if not self.types:
                return await self._find(spec.id) or RETRY_LATER
            reason = rejection_reason(spec, self.types, self.params)
            if reason is not None:
                return await self._find(spec.id) or responses.rejected(reason)
            try:
                await self._create(spec)
                return responses.accepted(spec.id)
            except ConflictError:
                await self.live.refresh()  # accepted earlier, perhaps already archived
        return await self._find(spec.id) or RETRY_LATER

    async def _create(self, spec: JobSpec) -> None:
        """Store the job; raises ConflictError if it was accepted by a follower, archived or
        borrowed."""
        prefixes = [
            records.SINGLE_JOB_PREFIX,
            records.ARCHIVE_PREFIX,
            *([records.BORROWED_PREFIX] if self.cells else []),
        ]
        await self.store.commit(
            {prefix + spec.id: 0 for prefix in prefixes},
            [Put(records.SINGLE_JOB_PREFIX + spec.id, spec_to_record(spec))],
        )

    async def _find(self, job_id: str) -> JobResponse | None:
        """The job's status from the live jobs as last read, or else from the archive; None if it
        is in neither.

        One transaction archives a job and removes it from the live jobs, so an accepted job that is
        not live is archived.
        """
        if job_id in self.live.record_counts:
            final = self.live.final_statuses.get(job_id)
            if final is not None:
                return self._cache_final(job_id, final)
            return await self._live_response(job_id)
        archived = await self.store.get(records.ARCHIVE_PREFIX + job_id)
        if archived is None:
            borrowed = (
                self.cells and await self.store.get(records.BORROWED_PREFIX + job_id) is not None
            )
            return RETRY_LATER if borrowed else None  # only a leader can ask the job's home cell
        return self._cache_final(job_id, records.read_final(archived.value))

    async def _live_response(self, job_id: str) -> JobResponse:
        """The response for a live job: tasks that the leader has placed count as running, since
        only the leader hears whether they have begun."""
        await self.placed.refresh()
        running = self.placed.count(job_id)
        status = JobStatus.RUNNING if running else JobStatus.QUEUED
        return responses.found(encode_job_status(job_id, status, running=running))

    def _cache_final(self, job_id: str, final: records.FinalRecord) -> JobResponse:
        response = responses.found(encode_job_status(job_id, final.status, final.done))
        self._final_responses[job_id] = response
        self._final_responses.move_to_end(job_id)
        if len(self._final_responses) > constants.FINAL_STATUS_CACHE_JOBS:
            self._final_responses.popitem(last=False)
        return response
