"""A follower's cache of the records of live jobs.

The first use scans all records. Each later refresh reads only the changes since the previous one,
in one request that serves all waiting callers.
"""

from __future__ import annotations

from typing import Any

from peathall.jobs import records
from peathall.store.client import StoreClient
from peathall.store.single_flight import SingleFlightRead


class LiveJobIndex:
    """Ids of the live jobs, and the final statuses of those that are not archived yet."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.record_counts: dict[str, int] = {}  # job id -> number of records with the job
        self.final_statuses: dict[str, records.FinalRecord] = {}  # by job id
        self._revision: int | None = None  # of the cached records; None: a scan is needed
        self._jobs_by_record: dict[str, list[str]] = {}  # record key -> job ids
        self._jobs_by_final_record: dict[str, list[str]] = {}  # likewise, for final statuses
        self._reading = SingleFlightRead(self._read)

    async def refresh(self) -> None:
        """Apply everything that was stored before this call; raises StoreError on failure."""
        await self._reading.refresh()

    async def _read(self) -> None:
        if self._revision is None or not await self._apply_changes(self._revision):
            items, revision = await self.store.scan(records.LIVE_PREFIX)
            self._clear()
            for item in items:
                self._apply(item.key, item.value)
            # The pages of a scan may be read at different revisions, so the changes since the
            # first page are applied as well.
            await self._apply_changes(revision)

    def _clear(self) -> None:
        self._revision = None
        self.record_counts = {}
        self.final_statuses = {}
        self._jobs_by_record = {}
        self._jobs_by_final_record = {}

    async def _apply_changes(self, revision: int) -> bool:
        """Apply the changes after the revision; returns False if the state service no longer
        has all of them."""
        changes = await self.store.changes_since(records.LIVE_PREFIX, revision)
        if changes is None:
            return False
        self._revision, events = changes
        for event in events:
            self._apply(event.key, None if event.deleted else event.value)
        return True

    def _apply(self, key: str, value: Any) -> None:
        """Apply the new value of a record; None: the record was deleted."""
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
