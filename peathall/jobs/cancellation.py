"""Handles cancellations at the leader."""

from __future__ import annotations

import asyncio

from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.jobs.final_status import FinalStatuses
from peathall.jobs.listener import JobListener
from peathall.jobs.lookup import JobLookup
from peathall.jobs.remote import RemoteJobs
from peathall.jobs.responses import NOT_FOUND, RETRY_LATER, JobResponse, current_status
from peathall.protocol.jobs import JobStatus


class JobCancellation:
    """Cancels jobs idempotently, and responds only once the cancellation is stored."""

    def __init__(
        self,
        cluster: ClusterState,
        lookup: JobLookup,
        final_statuses: FinalStatuses,
        listener: JobListener,
        remote: RemoteJobs,
    ) -> None:
        self.cluster = cluster
        self.lookup = lookup
        self.final_statuses = final_statuses
        self.listener = listener
        self.remote = remote

    async def cancel(self, job_id: str) -> JobResponse:
        """Cancel the job and return the response to the user.

        Raises StoreError or LeadershipLostError if it is unknown whether the cancellation is
        stored.
        """
        if job_id not in self.cluster.jobs:
            known = await self.lookup.find(job_id)
            if known is None:
                return NOT_FOUND
            if job_id not in self.cluster.jobs:
                return known  # archived
        job = self.cluster.jobs[job_id]
        await self.stop_and_store(job)
        return current_status(job) if job.is_final else RETRY_LATER

    async def stop_and_store(self, job: Job) -> None:
        """Stop the job's tasks and store the cancellation.

        Returns without storing it while another cell may run a task for longer than a cancellation
        may take; `Jobs.retry_finalization` tries again every second.
        """
        while not job.is_final:
            if job.finalizing is not None:
                await asyncio.wait([job.finalizing])
                continue
            # The tasks are stopped before the write is confirmed. The response to the write may be
            # lost while another controller reads the stored cancellation and confirms it to the
            # user; and each heartbeat response without the stop command extends a worker's lease.
            job.enter(JobPhase.CANCELLING)
            self.listener.stop_all(job)
            if not self.remote.may_confirm_cancel(job):
                return
            await self.final_statuses.store(job, JobStatus.CANCELLED)
