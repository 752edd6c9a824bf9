"""Looks up jobs at the leader, first in memory and then in the state service."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from peathall.cluster.state import ClusterState
from peathall.jobs import records
from peathall.jobs.external import ExternalJobs
from peathall.jobs.responses import NOT_FOUND, JobResponse, current_status, found
from peathall.protocol.jobs import encode_job_status
from peathall.store.client import StoreClient


class JobLookup:
    """Answers queries. Responses never contradict earlier ones, even of other controllers."""

    def __init__(self, cluster: ClusterState, store: StoreClient, external: ExternalJobs) -> None:
        self.cluster = cluster
        self.store = store
        self.external = external
        self._submissions: dict[str, asyncio.Future[str]] = {}  # job id -> write of its record

    @contextmanager
    def submission_in_progress(self, job_id: str, stored: asyncio.Future[str]) -> Iterator[None]:
        """Context in which lookups of the job wait until its record is stored."""
        self._submissions[job_id] = stored
        try:
            yield
        finally:
            self._submissions.pop(job_id, None)

    def knows(self, job_id: str) -> bool:
        """Whether, as far as memory shows, a user of this cell has submitted a job with this id."""
        job = self.cluster.jobs.get(job_id)
        submitted_here = job is not None and not job.borrowed
        return submitted_here or job_id in self._submissions or job_id in self.cluster.archived

    async def query(self, job_id: str) -> JobResponse:
        """The response to a query, after waiting for writes of the job that are in progress;
        raises StoreError on failure."""
        return await self.find(job_id) or NOT_FOUND

    async def find(self, job_id: str) -> JobResponse | None:
        """The job's status from memory or else the state service; None if neither has the job."""
        return await self.find_in_memory(job_id) or await self.find_stored(job_id)

    async def find_in_memory(self, job_id: str) -> JobResponse | None:
        """The job's status after waiting for writes of the job that are in progress; None if
        memory does not have the job."""
        stored = self._submissions.get(job_id)
        if stored is not None:
            await asyncio.wait([stored])
        job = self.cluster.jobs.get(job_id)
        if job is not None and job.finalizing is not None:
            # The final status may already be stored, and another controller may have sent it to
            # the user: an older status from memory would contradict that response.
            await asyncio.wait([job.finalizing])
            job = self.cluster.jobs.get(job_id)
        if job is not None:
            return current_status(job)
        status = self.cluster.archived.get(job_id)
        if status is not None:
            return found(encode_job_status(job_id, status))
        return None

    async def find_stored(self, job_id: str) -> JobResponse | None:
        """The job's status from the state service; memory is updated with what is read. None if
        the job is not stored."""
        await self.external.refresh()
        known = await self.find_in_memory(job_id)
        if known is not None:
            return known
        item = await self.store.get(records.ARCHIVE_PREFIX + job_id)
        if item is None:
            return None
        final = records.read_final(item.value)
        self.cluster.note_archived(job_id, final.status)
        return found(encode_job_status(job_id, final.status, final.done))
