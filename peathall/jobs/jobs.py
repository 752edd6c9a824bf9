"""The leader's jobs: wires the components of the package together for one term."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs import records
from peathall.jobs.archive import JobArchive
from peathall.jobs.background import BackgroundTasks
from peathall.jobs.cancellation import JobCancellation
from peathall.jobs.completion import JobCompletion
from peathall.jobs.external import ExternalJobs
from peathall.jobs.final_status import FinalStatuses
from peathall.jobs.listener import JobListener
from peathall.jobs.lookup import JobLookup
from peathall.jobs.recovery import JobRecovery
from peathall.jobs.registry import JobRegistry
from peathall.jobs.remote import NoRemoteJobs, RemoteJobs
from peathall.jobs.responses import JobResponse, current_status
from peathall.jobs.submission import JobSubmission
from peathall.protocol.jobs import JobSpec
from peathall.protocol.state_service import KeyValue
from peathall.store.client import StoreClient
from peathall.store.deferred_writes import DeferredWriter
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.writer import Writer


class Jobs:
    """Accepts, queries and cancels jobs, and keeps their records in the state service."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        store: StoreClient,
        writer: Writer,
        listener: JobListener,
        wall: Callable[[], float],
        cleanup: DeferredWriter | None = None,
        remote: RemoteJobs | None = None,
    ) -> None:
        """Without `cleanup`, the writer archives jobs and deletes old records; without `remote`,
        there are no other cells."""
        self.cluster = cluster
        self.store = store
        self.writer = writer
        self.listener = listener
        remote = remote or NoRemoteJobs()
        cleanup = cleanup or writer
        self.background = BackgroundTasks()
        self._job_records = SharedRecordWriter(
            writer, cluster.term, records.SHARED_JOBS_PREFIX, "jobs"
        )
        self._final_records = SharedRecordWriter(
            writer, cluster.term, records.FINAL_STATUS_PREFIX, "ends"
        )
        self.archive = JobArchive(
            cluster, store, writer, cleanup, self._job_records, self.background
        )
        self._registry = JobRegistry(cluster, self.archive, listener, wall)
        final_statuses = FinalStatuses(self._final_records, self.archive, listener)
        self._recovery = JobRecovery(
            cluster, writer, cleanup, self._registry, final_statuses, self.archive
        )
        self._external = ExternalJobs(cluster, store, writer, self._registry)
        self._lookup = JobLookup(cluster, store, self._external)
        self._submission = JobSubmission(
            cluster, params, self._job_records, self._lookup, self._registry, remote
        )
        self._cancellation = JobCancellation(
            cluster, self._lookup, final_statuses, listener, remote
        )
        self._completion = JobCompletion(
            cluster, writer, final_statuses, self.archive, self.background, remote
        )

    # --- after a failover ----------------------------------------------------
    def load(self, live: list[KeyValue], done: list[KeyValue], revision: int) -> Iterator[None]:
        """Rebuild all jobs from the records of live jobs, read at `revision` or later, and the
        records of done tasks. The caller may run other coroutines at each yield."""
        self._external.start_after(revision)
        yield from self._recovery.load(live, done)

    def register(self, record: dict[str, Any], record_key: str) -> Job:
        """Return the job of a stored record, whichever controller wrote it; a job that is not
        known yet is added."""
        return self._registry.register(record, record_key)

    def resume_unfinished(self) -> None:
        """Once all jobs are loaded, continue completions, cancellations and archiving that an
        earlier leader left unfinished."""
        for job in list(self.cluster.jobs.values()):
            if job.phase is JobPhase.ACTIVE:
                if len(job.done) >= job.spec.tasks:
                    self.note_done(job)
            else:
                if job.phase is JobPhase.CANCELLED:
                    self.listener.stop_all(job)
                self.archive.archive_if_possible(job)

    # --- requests of users ---------------------------------------------------
    async def accept(self, spec: JobSpec) -> JobResponse:
        """Accept a submission; returns once the job is stored. Raises the error of a failed
        write."""
        return await self._submission.accept(spec)

    def cached_response(self, job_id: str) -> JobResponse | None:
        """The response to a query from memory, as for nearly all queries; None if the job is not
        in memory or its final status is being written."""
        job = self.cluster.jobs.get(job_id)
        return current_status(job) if job is not None and job.finalizing is None else None

    async def query(self, job_id: str) -> JobResponse:
        """The response to a query that `cached_response` can't answer. Raises the error of a
        failed read."""
        return await self._lookup.query(job_id)

    async def cancel(self, job_id: str) -> JobResponse:
        """Cancel a job; returns once the cancellation is stored, or with RETRY_LATER while another
        cell may still run tasks of it. Raises the error of a failed write."""
        return await self._cancellation.cancel(job_id)

    def knows(self, job_id: str) -> bool:
        """Whether, as far as memory shows, a user of this cell has submitted a job with this id."""
        return self._lookup.knows(job_id)

    # --- during the term -----------------------------------------------------
    def note_done(self, job: Job) -> None:
        """Store the tasks of the job that were reported done."""
        self._completion.note_done(job)

    def retry_finalization(self, job: Job) -> None:
        """Retry storing the job's final status or archiving the job; called every second."""
        if job.is_final:
            self.archive.archive_if_possible(job)
        elif job.phase is JobPhase.CANCELLING:
            if job.finalizing is None:
                self.background.spawn(self._cancellation.stop_and_store(job))
        elif len(job.done) >= job.spec.tasks:
            self.note_done(job)

    async def watch_external_jobs(self) -> None:
        """Watch for jobs that other controllers accept and register them, until cancelled."""
        await self._external.watch_until_cancelled()

    def close(self) -> None:
        """End of the term: cancel pending writes and background tasks."""
        self._job_records.close()
        self._final_records.close()
        self.background.close()
