"""Which jobs may be mistaken, kept in the state service across take-overs, all in one record.

Only a hint: a new leader that does not know it starts such a job once in full.
"""

from __future__ import annotations

from peathall import constants
from peathall.cluster.job import JobHealth
from peathall.cluster.state import ClusterState
from peathall.store.client import KeyValue, Put
from peathall.store.writer import Mutation, Writer
from peathall.workers.faults import FaultTracker

FAILING_JOBS_KEY = "suspects"


class FailingJobsRecord:
    """The record of jobs that may be mistaken."""

    def __init__(self, cluster: ClusterState, faults: FaultTracker, writer: Writer) -> None:
        self.cluster = cluster
        self.faults = faults
        self.writer = writer
        faults.on_failing_jobs_changed = self.changed

    def load(self, item: KeyValue | None) -> None:
        """After a take-over: which were."""
        if item is None:
            return
        self.writer.versions[FAILING_JOBS_KEY] = item.version
        for job_id, consecutive_failures in item.value["jobs"]:
            job = self.cluster.jobs.get(job_id)
            if job is not None and not job.done:
                self.faults.mark_failing(job, consecutive_failures)

    def changed(self) -> None:
        """Written when nothing that matters more waits; as seldom as the set changes."""
        self.writer.defer(FAILING_JOBS_KEY, self._change)

    def _change(self) -> Mutation:
        found = [
            [job.spec.id, job.consecutive_failures]
            for job in self.faults.watched.values()
            if job.health is JobHealth.FAILING and self.cluster.jobs.get(job.spec.id) is job
        ]
        most = min(
            constants.FAILING_JOBS_KEPT, self.writer.value_limit // constants.FAILING_JOB_BYTES
        )
        return Mutation({}, [Put(FAILING_JOBS_KEY, {"jobs": found[-most:]})])
