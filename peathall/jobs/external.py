"""Finds jobs that other controllers accepted while they could not reach the leader."""

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
    """Reads the job records that other controllers write, through a watch and on demand."""

    def __init__(
        self, cluster: ClusterState, store: StoreClient, writer: Writer, registry: JobRegistry
    ) -> None:
        self.cluster = cluster
        self.store = store
        self.writer = writer
        self.registry = registry
        self.revision = 0  # state service revision up to which the records were read
        self._reading = SingleFlightRead(self._read)

    def start_after(self, revision: int) -> None:
        """Read only changes after this revision: its records have been loaded."""
        self.revision = revision

    async def watch_until_cancelled(self) -> None:
        """Watch for external jobs and register them as they are stored, until cancelled."""
        while True:
            try:
                await self._register(
                    await self.store.watch(records.SINGLE_JOB_PREFIX, self.revision)
                )
            except StoreError as exc:
                log.debug("watch for jobs of other controllers failed, will be retried: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)

    async def refresh(self) -> None:
        """Register all external jobs that were stored before this call; raises StoreError on
        failure."""
        await self._reading.refresh()

    async def _read(self) -> None:
        await self._register(
            await self.store.changes_since(records.SINGLE_JOB_PREFIX, self.revision)
        )

    async def _register(self, changes: tuple[int, list[WatchEvent]] | None) -> None:
        """Register the jobs in the result of a watch. If that is None, the state service no longer
        has all changes since the last revision, and all records are scanned."""
        if changes is None:
            items, self.revision = await self.store.scan(records.SINGLE_JOB_PREFIX)
        else:
            revision, events = changes
            items = [
                KeyValue(event.key, event.value, event.version)
                for event in events
                if not event.deleted
            ]
            self.revision = max(self.revision, revision)
        for item in items:
            # The record was written on condition that the job was not archived, and only this
            # leader archives jobs: a job archived since then is in `archived`.
            if item.key.removeprefix(records.SINGLE_JOB_PREFIX) not in self.cluster.archived:
                self.writer.versions[item.key] = item.version
                self.registry.register(item.value, item.key)
