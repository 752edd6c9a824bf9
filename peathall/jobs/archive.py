"""Archives ended jobs.

A job is archived once its final status is stored and none of its attempts can still exist: one
transaction writes its final status below `past/` and removes the job from its live record.
"""

from __future__ import annotations

import asyncio
import logging

from peathall import constants
from peathall.cluster.job import Job
from peathall.cluster.state import ClusterState
from peathall.jobs import records
from peathall.jobs.background import BackgroundTasks
from peathall.jobs.duplicates import DuplicateRemoval
from peathall.jobs.record_division import RecordDivision
from peathall.jobs.record_index import RecordIndex
from peathall.protocol.codec import json_size, struct_to_builtins
from peathall.protocol.state_service import Delete, Put
from peathall.store.client import StoreClient
from peathall.store.deferred_writes import DeferredWriter
from peathall.store.errors import StoreError
from peathall.store.mutation import Mutation
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.writer import Writer

log = logging.getLogger("peathall.jobs")


class JobArchive:
    """Moves jobs from the records of live jobs to those of archived jobs."""

    def __init__(
        self,
        cluster: ClusterState,
        store: StoreClient,
        writer: Writer,
        cleanup: DeferredWriter,
        shared_records: SharedRecordWriter,
        background: BackgroundTasks,
    ) -> None:
        self.cluster = cluster
        self.store = store
        self.writer = writer  # its `versions` are the known record versions
        self.cleanup = cleanup  # writes the archive and deletes unneeded records
        self.background = background
        self.index = RecordIndex()
        self.duplicate_removal = DuplicateRemoval(
            cluster, self.index, cleanup, writer, self.archive_if_possible
        )
        self.division = RecordDivision(
            self.index, shared_records, self.duplicate_removal, background, writer
        )

    def add(self, job: Job, record_key: str) -> None:
        """Note that the job is in this record."""
        self.index.add(job, record_key)

    def add_duplicate(self, job: Job, record_key: str) -> None:
        """Note that the job is in a second record, and schedule its removal from one of the
        two."""
        self.duplicate_removal.schedule(self.index.add_duplicate(job, record_key))

    def add_final_status(self, job: Job, record_key: str) -> None:
        """Note that the job's final status is in this record."""
        self.index.add_final_status(job, record_key)

    def is_final_record_needed(self, record_key: str) -> bool:
        """Whether the record contains the final status of a job that is not archived yet."""
        return self.index.is_final_record_needed(record_key)

    def archive_if_possible(self, job: Job) -> None:
        """Schedule archiving of the job if `can_archive` allows it."""
        if self.can_archive(job) and self.cluster.jobs.get(job.spec.id) is job:
            self.cleanup.defer(job.record_key, lambda: self._make_mutation(job.record_key))

    def can_archive(self, job: Job) -> bool:
        """Whether the job has ended here and only one record contains it: a second record would
        make the job live again at the next leader."""
        in_one_record = (
            job.spec.id not in self.index.duplicates and job.record_key not in self.index.dividing
        )
        runs_here = not (job.on_hold or job.borrowed)
        has_ended = job.is_final and not job.attempts and not job.write_pending
        return has_ended and in_one_record and runs_here

    def _make_mutation(self, record_key: str) -> Mutation | None:
        """Mutation that archives as many jobs of the record as one transaction allows; None if
        there is none to archive now."""
        if record_key in self.index.archiving:
            return None  # tried again by `Jobs.retry_finalization`, every second
        jobs = [
            self.cluster.jobs[job_id] for job_id in self.index.jobs_by_record.get(record_key, ())
        ]
        archivable = self._select_jobs(record_key, jobs)
        if not archivable:
            return None
        rest = records.rewrite_or_delete(
            record_key, [job.spec for job in jobs if job not in archivable]
        )
        if isinstance(rest, Put) and json_size(rest.value) > self.writer.value_limit:
            self.division.start(record_key, jobs)
            return None  # tried again once the rest of the record fits
        self.index.archiving.add(record_key)
        for job in archivable:
            job.write_pending = True
        mutation = self._archiving_mutation(record_key, archivable, rest)
        mutation.done.add_done_callback(
            lambda done: self._archiving_settled(record_key, archivable, done)
        )
        return mutation

    def _select_jobs(self, record_key: str, jobs: list[Job]) -> list[Job]:
        """The first jobs that can be archived within the limits of one transaction."""
        chosen: list[Job] = []
        operations_left = self.writer.limits.max_operations - 1  # one rewrites the record
        for job in filter(self.can_archive, jobs):
            external = records.SINGLE_JOB_PREFIX + job.spec.id
            operations_left -= 1 + (external in self.writer.versions and external != record_key)
            if operations_left < 0 or len(chosen) == constants.ARCHIVE_BATCH_JOBS:
                break
            chosen.append(job)
        return chosen

    def _archiving_mutation(
        self, record_key: str, archivable: list[Job], rest: Put | Delete
    ) -> Mutation:
        """Mutation that writes the final statuses and applies `rest`, which removes the jobs from
        their record.

        Another controller may also have accepted one of the jobs, and its record would make the job
        live again. If that record is known, the mutation deletes it; otherwise the mutation is
        conditional on its absence.
        """
        known = self.writer.versions
        external = [records.SINGLE_JOB_PREFIX + job.spec.id for job in archivable]
        operations: list[Put | Delete] = [
            Put(
                records.ARCHIVE_PREFIX + job.spec.id,
                struct_to_builtins(records.FinalRecord(job.status, len(job.done))),
            )
            for job in archivable
        ]
        operations.append(rest)
        operations += [Delete(key) for key in external if key in known and key != record_key]
        return Mutation({key: 0 for key in external if key not in known}, operations)

    def _archiving_settled(
        self, record_key: str, archivable: list[Job], done: asyncio.Future[int]
    ) -> None:
        self.index.archiving.discard(record_key)
        if record_key in self.index.duplicates.values():
            self.duplicate_removal.schedule(record_key)
        for job in archivable:
            job.write_pending = False
        if done.cancelled() or done.exception() is not None:
            for job in archivable:
                self.background.spawn(self._reread_versions(job.spec.id))
            return
        for job in archivable:
            self._remove_archived(job, record_key)
        if not self.index.jobs_by_record[record_key]:
            del self.index.jobs_by_record[record_key]

    def _remove_archived(self, job: Job, record_key: str) -> None:
        """Remove an archived job from memory, and delete the records that only it needed."""
        job_id = job.spec.id
        self.writer.versions.pop(records.ARCHIVE_PREFIX + job_id, None)  # never written again
        self.cluster.note_archived(job_id, job.status)
        del self.cluster.jobs[job_id]
        del self.index.jobs_by_record[record_key][job_id]
        if self.index.remove_final_status(job):
            self.cleanup.defer_delete(job.final_record_key)
        for key in job.done_keys:
            self.cleanup.defer_delete(key)

    async def _reread_versions(self, job_id: str) -> None:
        """After archiving failed: read the versions of the job's records for the next try."""
        try:
            for key in (records.SINGLE_JOB_PREFIX + job_id, records.ARCHIVE_PREFIX + job_id):
                item = await self.store.get(key)
                if item is None:
                    self.writer.versions.pop(key, None)
                else:
                    self.writer.versions[key] = item.version
        except StoreError as exc:
            log.debug(
                "job %s: could not reread its records after failed archiving: %s", job_id, exc
            )
