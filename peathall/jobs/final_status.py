"""Stores final statuses of jobs before they are visible to anyone."""

from __future__ import annotations

import logging

from peathall.cluster.job import Job, JobPhase
from peathall.jobs import records
from peathall.jobs.archive import JobArchive
from peathall.jobs.listener import JobListener
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.jobs import JobStatus
from peathall.store.shared_records import SharedRecordWriter

log = logging.getLogger("peathall.jobs")


class FinalStatuses:
    """Stores final statuses and applies them to jobs."""

    def __init__(
        self, shared_records: SharedRecordWriter, archive: JobArchive, listener: JobListener
    ) -> None:
        self.shared_records = shared_records
        self.archive = archive
        self.listener = listener

    async def store(self, job: Job, status: JobStatus) -> None:
        """Store the final status, DONE or CANCELLED, and apply it once it is stored.

        During the write, `job.finalizing` is its future. Raises the error of a failed write, such
        as LeadershipLostError; the job then keeps its phase.
        """
        entry = records.FinalStatusEntry(job.spec.id, status, len(job.done))
        job.finalizing = self.shared_records.add(struct_to_builtins(entry))
        try:
            record_key = await job.finalizing
        finally:
            job.finalizing = None
        self.apply(job, status, record_key)
        log.info("job %s: final status %s stored", job.spec.id, status.name.lower())
        self.archive.archive_if_possible(job)
        self.listener.state_changed()

    def apply(self, job: Job, status: JobStatus, record_key: str) -> None:
        """Apply a final status that is stored in the record with this key."""
        if status is JobStatus.DONE:
            job.mark_all_done()
            job.enter(JobPhase.DONE)
        else:
            job.enter(JobPhase.CANCELLED)
        self.archive.add_final_status(job, record_key)
