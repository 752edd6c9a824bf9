"""The failing jobs, stored in one record of the state service so that they survive a failover.

The record is a hint: without it, a new leader would start all tasks of each failing job once more.
"""

from __future__ import annotations

from peathall import constants
from peathall.cluster.job import JobHealth
from peathall.cluster.state import ClusterState
from peathall.protocol.state_service import KeyValue, Put
from peathall.store.mutation import Mutation
from peathall.store.writer import Writer
from peathall.workers.faults import FaultTracker

FAILING_JOBS_KEY = "suspects"


class FailingJobsRecord:
    """Reads and writes the record of failing jobs."""

    def __init__(self, cluster: ClusterState, faults: FaultTracker, writer: Writer) -> None:
        self.cluster = cluster
        self.faults = faults
        self.writer = writer
        faults.on_failing_jobs_changed = self.schedule_write

    def load(self, record: KeyValue | None) -> None:
        """Read the record after a failover, and mark its jobs as failing."""
        if record is None:
            return
        self.writer.versions[FAILING_JOBS_KEY] = record.version
        for job_id, consecutive_failures in record.value["jobs"]:
            job = self.cluster.jobs.get(job_id)
            if job is not None and not job.done:
                self.faults.mark_failing(job, consecutive_failures)

    def schedule_write(self) -> None:
        """Schedule a deferred write of the record: the set of failing jobs has changed."""
        self.writer.defer(FAILING_JOBS_KEY, self._mutation)

    def _mutation(self) -> Mutation:
        jobs = [
            [job.spec.id, job.consecutive_failures]
            for job in self.faults.jobs_with_failures.values()
            if job.health is JobHealth.FAILING and self.cluster.jobs.get(job.spec.id) is job
        ]
        limit = min(
            constants.FAILING_JOBS_KEPT, self.writer.value_limit // constants.FAILING_JOB_BYTES
        )
        return Mutation({}, [Put(FAILING_JOBS_KEY, {"jobs": jobs[-limit:]})])
