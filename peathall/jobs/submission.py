"""Handles submissions at the leader."""

from __future__ import annotations

from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs import records, responses
from peathall.jobs.admission import rejection_reason
from peathall.jobs.lookup import JobLookup
from peathall.jobs.registry import JobRegistry
from peathall.jobs.remote import RemoteJobs
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.protocol.jobs import JobSpec, spec_to_record
from peathall.store.errors import ConflictError
from peathall.store.shared_records import SharedRecordWriter


class JobSubmission:
    """Accepts jobs idempotently, and responds only once the job is stored."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        shared_records: SharedRecordWriter,
        lookup: JobLookup,
        registry: JobRegistry,
        remote: RemoteJobs,
    ) -> None:
        self.cluster = cluster
        self.params = params
        self.shared_records = shared_records
        self.lookup = lookup
        self.registry = registry
        self.remote = remote

    async def accept(self, spec: JobSpec) -> JobResponse:
        """Store the job unless it is known, and return the response to the user.

        Raises StoreError or LeadershipLostError if it is unknown whether the job is stored.
        """
        known = await self.lookup.find_in_memory(spec.id)
        if known is not None:
            return known
        if not self.cluster.types:
            return RETRY_LATER
        reason = rejection_reason(spec, self.cluster.types, self.params)
        if reason is not None:
            # A repeated submission of an accepted job gets the status of that job, even if the
            # repeated content is inadmissible or the job is known only to the state service.
            return await self.lookup.find_stored(spec.id) or responses.rejected(reason)
        record = spec_to_record(spec)
        stored = self.shared_records.add(record, self._conditions(spec.id))
        with self.lookup.submission_in_progress(spec.id, stored):
            try:
                record_key = await stored
            except ConflictError:
                # Another controller has accepted the job, or the job is already archived.
                return await self.lookup.find_stored(spec.id) or RETRY_LATER
        self.registry.register(record, record_key)
        return responses.accepted(spec.id)

    def _conditions(self, job_id: str) -> dict[str, int]:
        """Conditions that the job is neither archived, nor accepted by another controller, nor
        borrowed."""
        absent = {records.ARCHIVE_PREFIX + job_id: 0, records.SINGLE_JOB_PREFIX + job_id: 0}
        return absent | self.remote.accept_conditions(job_id)
