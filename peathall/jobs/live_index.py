"""What the state service holds of jobs that are not archived, as another controller knows it.

Read when it is needed, and from then on kept by its news: one request tells all that has
changed, and serves everyone who waits for it.
"""

from __future__ import annotations

from typing import Any

from peathall.jobs import records
from peathall.store.client import SingleFlightRead, StoreClient


class LiveJobIndex:
    """What a follower remembers of the records of live jobs."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.revision: int | None = None  # up to which the rest is known; None: read it all
        self.jobs: dict[str, list[str]] = {}  # key -> jobs in that record
        self.held: dict[str, int] = {}  # job -> number of records that hold it
        self.ends: dict[str, records.FinalRecord] = {}  # by job
        self.ended: dict[str, list[str]] = {}  # key -> jobs whose final state is in it
        self.reading = SingleFlightRead(self._read)

    async def refresh(self) -> None:
        """What is known afterwards is no older than this call."""
        await self.reading.refresh()

    async def _read(self) -> None:
        if self.revision is None or not await self._catch_up(self.revision):
            items, revision = await self.store.scan(records.LIVE)
            self.revision = None
            self.jobs, self.held, self.ends, self.ended = {}, {}, {}, {}
            for item in items:
                self._apply(item.key, item.value)
            # Pages may be of different ages: what changed since the first one comes as news.
            await self._catch_up(revision)

    async def _catch_up(self, revision: int) -> bool:
        """False if the service no longer knows what changed since then."""
        news = await self.store.changes_since(records.LIVE, revision)
        if news is None:
            return False
        self.revision, changes = news
        for change in changes:
            self._apply(change.key, None if change.deleted else change.value)
        return True

    def _apply(self, key: str, value: Any) -> None:
        if key.startswith(records.ENDS):
            self._apply_ends(key, value)
        else:
            single = key.startswith(records.JOB)
            held = [] if value is None else [value] if single else value["jobs"]
            ids = [record["id"] for record in held]
            for job_id in ids:
                self.held[job_id] = self.held.get(job_id, 0) + 1
            for job_id in self.jobs.pop(key, ()):
                self.held[job_id] -= 1
                if not self.held[job_id]:
                    del self.held[job_id]
            if ids:
                self.jobs[key] = ids

    def _apply_ends(self, key: str, value: Any) -> None:
        for job_id in self.ended.pop(key, ()):
            self.ends.pop(job_id, None)
        if value is not None:
            ends = records.read_ends(value)
            self.ended[key] = [entry.job for entry in ends]
            for entry in ends:
                self.ends[entry.job] = records.FinalRecord(entry.status, entry.done)
