"""A follower's cache of the records of live jobs."""

from __future__ import annotations

from typing import Any

from peathall.jobs import records
from peathall.store.client import StoreClient
from peathall.store.followed_records import FollowedRecords


class LiveJobIndex:
    """Ids of the live jobs, and the final statuses of those that are not archived yet."""

    def __init__(self, store: StoreClient) -> None:
        self.record_counts: dict[str, int] = {}  # job id -> number of records with the job
        self.final_statuses: dict[str, records.FinalRecord] = {}  # by job id
        self._jobs_by_record: dict[str, list[str]] = {}  # record key -> job ids
        self._jobs_by_final_record: dict[str, list[str]] = {}  # likewise, for final statuses
        self._records = FollowedRecords(store, records.LIVE_PREFIX, self)

    async def refresh(self) -> None:
        """Apply everything that was stored before this call; raises StoreError on failure."""
        await self._records.refresh()

    def clear(self) -> None:
        """As RecordIndex.clear."""
        self.record_counts = {}
        self.final_statuses = {}
        self._jobs_by_record = {}
        self._jobs_by_final_record = {}

    def apply(self, key: str, value: Any) -> None:
        """As RecordIndex.apply."""
        if key.startswith(records.FINAL_STATUS_PREFIX):
            self._apply_final_statuses(key, value)
        else:
            self._apply_jobs(key, value)

    def _apply_jobs(self, key: str, value: Any) -> None:
        if value is None:
            job_records: list[dict[str, Any]] = []
        else:
            job_records = [value] if key.startswith(records.SINGLE_JOB_PREFIX) else value["jobs"]
        job_ids = [record["id"] for record in job_records]
        for job_id in job_ids:
            self.record_counts[job_id] = self.record_counts.get(job_id, 0) + 1
        for job_id in self._jobs_by_record.pop(key, ()):
            self.record_counts[job_id] -= 1
            if not self.record_counts[job_id]:
                del self.record_counts[job_id]
        if job_ids:
            self._jobs_by_record[key] = job_ids

    def _apply_final_statuses(self, key: str, value: Any) -> None:
        for job_id in self._jobs_by_final_record.pop(key, ()):
            self.final_statuses.pop(job_id, None)
        if value is not None:
            entries = records.read_final_statuses(value)
            self._jobs_by_final_record[key] = [entry.job for entry in entries]
            for entry in entries:
                self.final_statuses[entry.job] = records.FinalRecord(entry.status, entry.done)
