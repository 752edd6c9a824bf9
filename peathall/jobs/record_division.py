"""Divides records of live jobs that exceed the current value size limit.

Such records were written under a higher limit. They can't be rewritten, not even with some jobs
removed, until the rest fits the current limit.
"""

from __future__ import annotations

from peathall.cluster.job import Job
from peathall.jobs.background import BackgroundTasks
from peathall.jobs.duplicates import DuplicateRemoval
from peathall.jobs.record_index import RecordIndex
from peathall.protocol.codec import json_size
from peathall.protocol.jobs import spec_to_record
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.writer import Writer


class RecordDivision:
    """Moves jobs from an oversized record to new records until the rest fits the limit.

    The new records are stored first; only then is the old record rewritten without the moved
    jobs. In between, the jobs are in two records, but they are never in none.
    """

    def __init__(
        self,
        index: RecordIndex,
        shared_records: SharedRecordWriter,
        duplicate_removal: DuplicateRemoval,
        background: BackgroundTasks,
        writer: Writer,
    ) -> None:
        self.index = index
        self.shared_records = shared_records
        self.duplicate_removal = duplicate_removal
        self.background = background
        self.writer = writer  # knows the limit of a value

    def start(self, record_key: str, jobs: list[Job]) -> None:
        """Divide the record, which contains these jobs, unless it is being divided already."""
        if record_key in self.index.dividing:
            return
        self.index.dividing.add(record_key)
        self.background.spawn(self._move(record_key, self._jobs_to_move(jobs)))

    def _jobs_to_move(self, jobs: list[Job]) -> list[Job]:
        limit = self.writer.value_limit - json_size({"jobs": []})
        sizes = [json_size(spec_to_record(job.spec)) + 1 for job in jobs]
        # A job that is too large for any record stays in this one until it is archived.
        left = limit - sum(size for size in sizes if size > limit)
        moving = []
        for job, size in zip(jobs, sizes, strict=True):
            if size <= left:
                left -= size
            elif size <= limit:
                moving.append(job)
        return moving

    async def _move(self, record_key: str, jobs: list[Job]) -> None:
        try:
            writes = [self.shared_records.add(spec_to_record(job.spec)) for job in jobs]
            for job, stored in zip(jobs, writes, strict=True):
                self.index.move(job, record_key, await stored)
            self.duplicate_removal.schedule(record_key)
        finally:
            self.index.dividing.discard(record_key)
