"""Removes a job from one of two records that contain it.

A job is in two records if the leader accepted it and, while the leader's responses did not get
through, another controller accepted it as well; or while an oversized record is being divided.
"""

from __future__ import annotations

from collections.abc import Callable

from peathall.cluster.job import Job
from peathall.cluster.state import ClusterState
from peathall.jobs.record_index import RecordIndex
from peathall.jobs.records import rewrite_or_delete
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import Put
from peathall.store.deferred_writes import DeferredWriter
from peathall.store.mutation import Mutation
from peathall.store.writer import Writer


class DuplicateRemoval:
    """Rewrites records without the jobs that are also in another record."""

    def __init__(
        self,
        cluster: ClusterState,
        index: RecordIndex,
        cleanup: DeferredWriter,
        writer: Writer,
        on_removed: Callable[[Job], None],
    ) -> None:
        self.cluster = cluster
        self.index = index
        self.cleanup = cleanup
        self.writer = writer  # knows the limit of a value
        self.on_removed = on_removed  # called with each job that is now in one record only

    def schedule(self, record_key: str) -> None:
        """Rewrite the record without its duplicates, or delete it if no job is left, once the
        rate limit has spare capacity."""
        self.cleanup.defer(f"duplicate {record_key}", lambda: self._make_mutation(record_key))

    def _make_mutation(self, record_key: str) -> Mutation | None:
        if record_key in self.index.archiving:
            return None  # JobArchive schedules the removal again after its write
        held = self.index.jobs_by_record.get(record_key, ())
        operation = rewrite_or_delete(
            record_key, [self.cluster.jobs[job_id].spec for job_id in held]
        )
        if isinstance(operation, Put) and json_size(operation.value) > self.writer.value_limit:
            return None  # scheduled again once a job of the record is archived
        return Mutation({}, [operation]).then(lambda: self._removed(record_key))

    def _removed(self, record_key: str) -> None:
        for job_id in self.index.clear_duplicates(record_key):
            if job_id in self.cluster.jobs:
                self.on_removed(self.cluster.jobs[job_id])
