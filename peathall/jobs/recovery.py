"""Loads the stored jobs after a failover."""

from __future__ import annotations

from collections.abc import Iterator

from peathall.cluster.state import ClusterState
from peathall.jobs import records
from peathall.jobs.archive import JobArchive
from peathall.jobs.final_status import FinalStatuses
from peathall.jobs.registry import JobRegistry
from peathall.protocol.state_service import KeyValue
from peathall.store.deferred_writes import DeferredWriter
from peathall.store.writer import Writer


class JobRecovery:
    """Rebuilds a new leader's jobs from the records in the state service."""

    def __init__(
        self,
        cluster: ClusterState,
        writer: Writer,
        cleanup: DeferredWriter,
        registry: JobRegistry,
        final_statuses: FinalStatuses,
        archive: JobArchive,
    ) -> None:
        self.cluster = cluster
        self.writer = writer
        self.cleanup = cleanup
        self.registry = registry
        self.final_statuses = final_statuses
        self.archive = archive

    def load(self, live: list[KeyValue], done: list[KeyValue]) -> Iterator[None]:
        """Register all live jobs with their final statuses and done tasks.

        `live` are the records below LIVE_PREFIX, `done` those below DONE_TASKS_PREFIX. The caller
        may run other coroutines at each yield.
        """
        for item in live:
            self.writer.versions[item.key] = item.version
        # Jobs are loaded before their final statuses. Shared records are loaded before single-job
        # records: of two records that contain a job, the shared one is kept.
        for item in live:
            if item.key.startswith(records.SHARED_JOBS_PREFIX):
                for record in item.value["jobs"]:
                    self.registry.register(record, item.key)
                yield
        for item in live:
            if item.key.startswith(records.SINGLE_JOB_PREFIX):
                self.registry.register(item.value, item.key)
                yield
        for item in live:
            if item.key.startswith(records.FINAL_STATUS_PREFIX):
                self._load_final_statuses(item)
                yield
        for item in done:
            self._load_done_tasks(item)
            yield

    def _load_final_statuses(self, item: KeyValue) -> None:
        for entry in records.read_final_statuses(item.value):
            job = self.cluster.jobs.get(entry.job)
            if job is not None:
                self.final_statuses.apply(job, entry.status, item.key)
        if not self.archive.is_final_record_needed(item.key):
            self.cleanup.defer_delete(item.key)

    def _load_done_tasks(self, item: KeyValue) -> None:
        self.writer.versions[item.key] = item.version
        job = self.cluster.jobs.get(records.job_of_done_key(item.key))
        if job is None:
            self.cleanup.defer_delete(item.key)
            return
        job.done_keys.add(item.key)
        for low, high in records.read_done(item.value).done:
            job.done.add(low, high)
            job.stored_done.add(low, high)
            job.pending.remove(low, high)
