"""Stores done tasks as they are reported, and the job's completion once all are done."""

from __future__ import annotations

import asyncio

from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.jobs import records
from peathall.jobs.archive import JobArchive
from peathall.jobs.background import BackgroundTasks
from peathall.jobs.final_status import FinalStatuses
from peathall.jobs.remote import RemoteJobs
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.jobs import JobStatus
from peathall.protocol.state_service import Put
from peathall.store.mutation import Mutation
from peathall.store.writer import Writer


class JobCompletion:
    """Stores which tasks are done. Users see a task as done only once that is stored."""

    def __init__(
        self,
        cluster: ClusterState,
        writer: Writer,
        final_statuses: FinalStatuses,
        archive: JobArchive,
        background: BackgroundTasks,
        remote: RemoteJobs,
    ) -> None:
        self.cluster = cluster
        self.writer = writer
        self.final_statuses = final_statuses
        self.archive = archive
        self.background = background
        self.remote = remote
        self.block_size = records.tasks_per_block(writer.limits.value_kb)  # tasks of one record

    def note_done(self, job: Job) -> None:
        """Store the tasks of the job that were reported done, or the job's completion if all are
        done."""
        if job.write_pending or job.phase is not JobPhase.ACTIVE:
            return
        if len(job.done) < job.spec.tasks:
            self.writer.defer(
                records.DONE_TASKS_PREFIX + job.spec.id,
                lambda: self._make_mutation(job),
                bounded=True,
            )
        elif job.borrowed:
            self.remote.finish_borrowed(job)
        else:
            job.write_pending = True
            self.background.spawn(self._store_completion(job))

    async def _store_completion(self, job: Job) -> None:
        try:
            while job.phase is JobPhase.ACTIVE:
                if job.finalizing is not None:
                    await asyncio.wait([job.finalizing])
                else:
                    await self.final_statuses.store(job, JobStatus.DONE)
        finally:
            job.write_pending = False
        self.archive.archive_if_possible(job)

    def _make_mutation(self, job: Job) -> Mutation | None:
        """Mutation that writes the first block with an unstored done task; None if there is none.
        `_mark_stored` schedules the next block."""
        task = job.done.first_outside(job.stored_done)
        is_live = self.cluster.jobs.get(job.spec.id) is job  # a borrowed job may have ended
        if task is None or not is_live or job.phase is not JobPhase.ACTIVE:
            return None
        block = task // self.block_size
        record = records.done_record(job.done, block, self.block_size)
        key = records.done_key(job.spec.id, block, self.block_size)
        mutation = Mutation({}, [Put(key, struct_to_builtins(record))])
        return mutation.then(lambda: self._mark_stored(job, key, record))

    def _mark_stored(self, job: Job, key: str, record: records.DoneRecord) -> None:
        job.done_keys.add(key)
        for low, high in record.done:
            job.stored_done.add(low, high)
        if job.done.first_outside(job.stored_done) is not None:
            self.note_done(job)
