"""Registers jobs with the leader from their stored records."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from peathall.cluster.job import Job
from peathall.cluster.state import ClusterState
from peathall.jobs.archive import JobArchive
from peathall.jobs.listener import JobListener
from peathall.protocol.jobs import spec_from_record


class JobRegistry:
    """Adds stored jobs to the cluster state, each job once even if several records contain it."""

    def __init__(
        self,
        cluster: ClusterState,
        archive: JobArchive,
        listener: JobListener,
        wall: Callable[[], float],
    ) -> None:
        self.cluster = cluster
        self.archive = archive
        self.listener = listener
        self.wall = wall  # wall clock: seconds, as in `JobSpec.submitted`

    def register(self, record: dict[str, Any], record_key: str) -> Job:
        """Return the job of a stored record, whichever controller wrote it; a job that is not
        known yet is added."""
        spec = spec_from_record(record)
        job = self.cluster.jobs.get(spec.id)
        if job is None:
            now = asyncio.get_running_loop().time()
            age = max(0.0, self.wall() - spec.submitted)
            job = self.cluster.jobs[spec.id] = Job(spec, now - age)
            self.archive.add(job, record_key)
            self.cluster.last_submission_at = now
            self.listener.state_changed()
        elif job.record_key != record_key:
            self.archive.add_duplicate(job, record_key)
        return job
