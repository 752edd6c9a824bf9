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
from peathall.protocol.codec import json_size, struct_to_builtins
from peathall.protocol.jobs import JobStatus
from peathall.protocol.state_service import Put
from peathall.store.errors import InvalidTransactionError
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
        block_size = records.tasks_per_block(self.writer.value_limit)
        block = task // block_size
        record = records.done_record(job.done, block, block_size)
        key = records.done_key(job.spec.id, block, block_size)
        mutation = Mutation({}, [Put(key, struct_to_builtins(record))])
        mutation.done.add_done_callback(lambda done: self._divide_if_rejected(job, record, done))
        return mutation.then(lambda: self._mark_stored(job, key, record))

    def _divide_if_rejected(
        self, job: Job, record: records.DoneRecord, done: asyncio.Future[int]
    ) -> None:
        """Store a block that was too large again in smaller blocks. The writer lowers its limit
        when the service rejects a value."""
        if done.cancelled() or not isinstance(done.exception(), InvalidTransactionError):
            return
        if json_size(struct_to_builtins(record)) > self.writer.value_limit:
            self.note_done(job)

    def _mark_stored(self, job: Job, key: str, record: records.DoneRecord) -> None:
        job.done_keys.add(key)
        for low, high in record.done:
            job.stored_done.add(low, high)
        if job.done.first_outside(job.stored_done) is not None:
            self.note_done(job)
