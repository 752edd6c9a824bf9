"""Jobs that other controllers accepted while they could not reach the leader."""

from __future__ import annotations

import asyncio
import logging

from peathall import constants
from peathall.cluster.state import ClusterState
from peathall.jobs import records
from peathall.jobs.registry import JobRegistry
from peathall.protocol.state_service import KeyValue, WatchEvent
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError
from peathall.store.single_flight import SingleFlightRead
from peathall.store.writer import Writer

log = logging.getLogger("peathall.jobs")


class ExternalJobs:
    """Follows the records that only other controllers write, by a watch and on demand."""

    def __init__(
        self, cluster: ClusterState, store: StoreClient, writer: Writer, registry: JobRegistry
    ) -> None:
        self.cluster = cluster
        self.store = store
        self.writer = writer
        self.registry = registry
        self.revision = 0  # revision up to which the records are known
        self._reading = SingleFlightRead(self._read)

    def start_at(self, revision: int) -> None:
        """All records up to this revision have been loaded."""
        self.revision = revision

    async def follow(self) -> None:
        """Register external jobs as they are stored, until cancelled."""
        while True:
            try:
                await self._register(await self.store.watch(records.JOB, self.revision))
            except StoreError as exc:
                log.debug("watching the records of external jobs failed: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)

    async def refresh(self) -> None:
        """Register all external jobs that were stored before this call; StoreError on failure."""
        await self._reading.refresh()

    async def _read(self) -> None:
        await self._register(await self.store.changes_since(records.JOB, self.revision))

    async def _register(self, changes: tuple[int, list[WatchEvent]] | None) -> None:
        """Apply the result of a watch; None if the service no longer knows that far back."""
        if changes is None:
            items, self.revision = await self.store.scan(records.JOB)
        else:
            revision, events = changes
            items = [
                KeyValue(event.key, event.value, event.version)
                for event in events
                if not event.deleted
            ]
            self.revision = max(self.revision, revision)
        for item in items:
            # The writer of the record made it conditional on the job not being archived, and
            # only this leader archives jobs.
            if item.key.removeprefix(records.JOB) not in self.cluster.archived:
                self.writer.versions[item.key] = item.version
                self.registry.register(item.value, item.key)
