"""A follower's view of the tasks that a leader has placed on machines, from the rounds' records."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import Any

from peathall import constants
from peathall.placement.round_entries import from_record
from peathall.placement.rounds import ROUND_PREFIX
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError
from peathall.store.followed_records import FollowedRecords

log = logging.getLogger("peathall.placement")


class PlacedTasks:
    """Counts each job's tasks that the stored rounds name.

    A task counts from the decision to start it until the record of its round is deleted or
    compacted, so that it may still be fetching its image, or have ended a little earlier.
    """

    def __init__(self, store: StoreClient) -> None:
        self._loop = asyncio.get_running_loop()
        self._records = FollowedRecords(store, ROUND_PREFIX, self)
        self._refreshed_at = -1e9
        self._by_job: Counter[str] = Counter()
        self._by_record: dict[str, Counter[str]] = {}  # record key -> tasks of each job

    async def refresh(self) -> None:
        """Read what has changed, unless that was done a moment ago. If the state service can't be
        read, the counts stay as they are."""
        if self._loop.time() - self._refreshed_at < constants.PLACED_TASKS_MAX_AGE_S:
            return
        try:
            await self._records.refresh()
        except StoreError as exc:
            log.debug("placed tasks not read, counts are older: %s", exc)
        else:
            self._refreshed_at = self._loop.time()

    def count(self, job_id: str) -> int:
        """Number of tasks of the job that the records name."""
        return self._by_job[job_id]

    def clear(self) -> None:
        """As RecordIndex.clear."""
        self._by_job.clear()
        self._by_record.clear()

    def apply(self, key: str, value: Any) -> None:
        """As RecordIndex.apply."""
        for job_id, count in self._by_record.pop(key, Counter[str]()).items():
            self._by_job[job_id] -= count
            if not self._by_job[job_id]:
                del self._by_job[job_id]
        if value is None:
            return
        counts: Counter[str] = Counter()
        for entry in from_record(value):
            counts[entry.job] += sum(high - low for low, high in entry.tasks)
        self._by_record[key] = counts
        self._by_job.update(counts)
