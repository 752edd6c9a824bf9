"""Which record holds which job: second records of a job, records too large, and archiving.

A job is archived once it is over and no attempt of it can exist: its final state is written to
`past/` and the job is taken out of its record, in one commit.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from peathall import constants
from peathall.cluster.job import Job
from peathall.cluster.state import ClusterState
from peathall.jobs import records
from peathall.jobs.background import BackgroundTasks
from peathall.protocol.codec import json_size
from peathall.protocol.jobs import spec_to_record
from peathall.store.client import Delete, Put, StoreClient, StoreError
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.writer import DeferredWriter, Mutation, Writer

log = logging.getLogger("peathall.jobs")


def final_value(job: Job) -> Any:
    """What is stored of a job that is over."""
    return records.to_value(records.FinalRecord(job.status, len(job.done)))


class JobArchive:
    """Records of live jobs, and their way to the records of jobs that are over."""

    def __init__(
        self,
        cluster: ClusterState,
        changes_at_once: int,
        store: StoreClient,
        writer: Writer,
        new_jobs: SharedRecordWriter,
        background: BackgroundTasks,
        cleanup: DeferredWriter,
    ) -> None:
        self.cleanup = cleanup  # who archives, and drops what nothing needs
        self.cluster = cluster
        self.changes_at_once = changes_at_once
        self.store = store
        self.writer = writer
        self.new_jobs = new_jobs
        self.background = background
        # Record -> its jobs that are not archived, in order.
        self.jobs_by_record: dict[str, dict[str, None]] = {}
        self.ends_left: dict[str, set[str]] = {}  # record of final states -> the same
        self.archiving: set[str] = set()  # records that are being written without some jobs
        self.dividing: set[str] = set()  # records that have become too large, see _divide()
        self.duplicates: dict[str, str] = {}  # job -> a second record that holds it, to be trimmed

    def add(self, job: Job, record_key: str) -> None:
        """The job is held by this record."""
        job.record_key = record_key
        self.jobs_by_record.setdefault(record_key, {})[job.spec.id] = None

    def add_duplicate(self, job: Job, record_key: str) -> None:
        """A second record holds the job: accepted here and, while no answer of ours got through,
        elsewhere as well. The one that holds it alone goes; of two that hold others too, one is
        written anew."""
        duplicate = record_key
        if job.record_key.startswith(records.JOB) and not record_key.startswith(records.JOB):
            duplicate = job.record_key
            del self.jobs_by_record[duplicate]
            self.add(job, record_key)
        self.duplicates[job.spec.id] = duplicate
        self.cleanup.defer(f"duplicate {duplicate}", lambda: self._trim(duplicate))

    def add_end(self, job: Job, record_key: str) -> None:
        """This record holds the job's final state."""
        job.final_record_key = record_key
        self.ends_left.setdefault(record_key, set()).add(job.spec.id)

    def _divide(self, record_key: str, here: list[Job]) -> None:
        """A record from a time of larger values can't be written as it is any more: most of its
        jobs get records of their own first, and then it is written without them. Until then they
        stand in two, which harms nobody, whoever leads."""
        if record_key in self.dividing:
            return
        self.dividing.add(record_key)
        limit = self.writer.value_limit - json_size({"jobs": []})
        sizes = [json_size(spec_to_record(job.spec)) + 1 for job in here]
        # One that no record can hold any more stays where it is until it is over.
        room = limit - sum(size for size in sizes if size > limit)
        moving = []
        for job, size in zip(here, sizes, strict=True):
            if size <= room:
                room -= size
            elif size <= limit:
                moving.append(job)
        self.background.spawn(self._move(record_key, moving))

    async def _move(self, record_key: str, jobs: list[Job]) -> None:
        try:
            entries = [self.new_jobs.add(spec_to_record(job.spec)) for job in jobs]
            for job, stored in zip(jobs, entries, strict=True):
                key = await stored
                del self.jobs_by_record[record_key][job.spec.id]
                job.record_key = key
                self.jobs_by_record.setdefault(key, {})[job.spec.id] = None
                self.duplicates[job.spec.id] = record_key
            self.cleanup.defer(f"duplicate {record_key}", lambda: self._trim(record_key))
        finally:
            self.dividing.discard(record_key)

    def _trim(self, key: str) -> Mutation | None:
        """A record without the jobs that have their record_key elsewhere."""
        if key in self.archiving:
            return None  # written without them anyway; offered again once that is done
        rest = [spec_to_record(self.cluster.jobs[i].spec) for i in self.jobs_by_record.get(key, ())]
        if rest and json_size({"jobs": rest}) > self.writer.value_limit:
            return None  # offered again when one of them is archived
        change = Mutation({}, [Put(key, {"jobs": rest}) if rest else Delete(key)])
        return change.then(lambda: self._trimmed(key))

    def _trimmed(self, key: str) -> None:
        for job_id in [job_id for job_id, duplicate in self.duplicates.items() if duplicate == key]:
            del self.duplicates[job_id]
            if job_id in self.cluster.jobs:
                self.archive_if_over(self.cluster.jobs[job_id])

    def archive_if_over(self, job: Job) -> None:
        """Offer to archive the job, if nothing of it is left."""
        if self.can_go(job) and self.cluster.jobs.get(job.spec.id) is job:
            self.cleanup.defer(job.record_key, lambda: self._archive_change(job.record_key))

    def can_go(self, job: Job) -> bool:
        """Whether it may be archived: while a second record holds it, or is about to, a new leader
        that reads that one would bring it back to life."""
        alone = job.spec.id not in self.duplicates and job.record_key not in self.dividing
        here = not (job.on_hold or job.borrowed)
        return job.is_final and not job.attempts and not job.write_pending and alone and here

    def _archive_change(self, record_key: str) -> Mutation | None:
        """Some of a record's jobs that are over, and the record without them."""
        if record_key in self.archiving:
            return None  # looked after again once that is done
        here = [self.cluster.jobs[job_id] for job_id in self.jobs_by_record.get(record_key, ())]
        over: list[Job] = []
        ops_left = self.changes_at_once - 1  # one is for the record itself
        for job in filter(self.can_go, here):
            duplicate = records.JOB + job.spec.id
            ops_left -= 1 + (duplicate in self.writer.versions and duplicate != record_key)
            if ops_left < 0 or len(over) == constants.ARCHIVE_AT_ONCE:
                break
            over.append(job)
        if not over:
            return None
        rest = [spec_to_record(job.spec) for job in here if job not in over]
        if rest and json_size({"jobs": rest}) > self.writer.value_limit:
            self._divide(record_key, here)
            return None  # looked after again once what is left of the record fits
        ops: list[Put | Delete] = [
            Put(records.PAST + job.spec.id, final_value(job)) for job in over
        ]
        ops.append(Put(record_key, {"jobs": rest}) if rest else Delete(record_key))
        # Another controller may have accepted it as well: that record would bring the job back
        # to life after it has been archived. One that we don't know of fails the change.
        keys = [records.JOB + job.spec.id for job in over]
        duplicates = {key: 0 for key in keys if key not in self.writer.versions}
        ops += [Delete(key) for key in keys if key in self.writer.versions and key != record_key]
        self.archiving.add(record_key)
        for job in over:
            job.write_pending = True
        change = Mutation(duplicates, ops)
        change.done.add_done_callback(lambda done: self._archived(record_key, over, done))
        return change

    def _archived(self, record_key: str, over: list[Job], done: asyncio.Future[int]) -> None:
        self.archiving.discard(record_key)
        if record_key in self.duplicates.values():
            self.cleanup.defer(f"duplicate {record_key}", lambda: self._trim(record_key))
        for job in over:
            job.write_pending = False
        if done.cancelled() or done.exception() is not None:
            for job in over:
                self.background.spawn(self._reread_records(job.spec.id))
            return
        for job in over:
            job_id = job.spec.id
            self.writer.versions.pop(records.PAST + job_id, None)  # never written again
            self.cluster.note_archived(job_id, job.status)
            del self.cluster.jobs[job_id]
            del self.jobs_by_record[record_key][job_id]
            self.ends_left[job.final_record_key].discard(job_id)
            if not self.ends_left[job.final_record_key]:
                del self.ends_left[job.final_record_key]
                self.cleanup.defer_delete(job.final_record_key)
            for key in job.done_keys:
                self.cleanup.defer_delete(key)
        if not self.jobs_by_record[record_key]:
            del self.jobs_by_record[record_key]

    async def _reread_records(self, job_id: str) -> None:
        """Archiving it failed: learn what stands in the store before it is tried again."""
        try:
            for key in (records.JOB + job_id, records.PAST + job_id):
                item = await self.store.get(key)
                if item is None:
                    self.writer.versions.pop(key, None)
                else:
                    self.writer.versions[key] = item.version
        except StoreError as exc:
            log.debug("reading the records of %s: %s", job_id, exc)
