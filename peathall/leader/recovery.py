"""Recovery at the beginning of a term: the state of the cluster from the stored records."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.autoscaling.machine_types import TYPES
from peathall.jobs import records
from peathall.leader.wiring import LeaderSlices
from peathall.placement.rounds import ROUND
from peathall.protocol.state_service import KeyValue
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError
from peathall.workers.failing_jobs import FAILING_JOBS_KEY
from peathall.workers.image_cache import IMAGE_CACHE_PREFIX

log = logging.getLogger("peathall.leader")


class StoredState(Struct, frozen=True):
    """All records that a leader recovers from, as read; None: there is no such record."""

    types: KeyValue | None
    live: list[KeyValue]
    live_revision: int  # of the state service when the live jobs were read
    done: list[KeyValue]
    rounds: list[KeyValue]
    image_caches: list[KeyValue]
    failing_jobs: KeyValue | None
    pending_deletions: set[str]
    cells: Any  # read and loaded by the cells only


class Recovery:
    """Reads the records and loads them into the slices of a term."""

    def __init__(self, store: StoreClient, slices: LeaderSlices) -> None:
        self._store = store
        self._slices = slices
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Return once everything is loaded; a failed read begins again from the first record."""
        while True:
            try:
                stored = await self._read()
                break
            except StoreError as exc:
                log.info(
                    "leader: term %d not recovered, reading the records again: %s",
                    self._slices.cluster.term,
                    exc,
                )
                await asyncio.sleep(constants.STORE_RETRY_S)
        self._load(stored)

    async def _read(self) -> StoredState:
        types = await self._store.get(TYPES)
        live, live_revision = await self._store.scan(records.LIVE)
        done, _ = await self._store.scan(records.DONE)
        rounds, _ = await self._store.scan(ROUND)
        image_caches, _ = await self._store.scan(IMAGE_CACHE_PREFIX)
        failing_jobs = await self._store.get(FAILING_JOBS_KEY)
        pending_deletions = await self._slices.duties.pending_deletions()
        cells = await self._slices.cells.read_records(self._store)
        return StoredState(
            types=types,
            live=live,
            live_revision=live_revision,
            done=done,
            rounds=rounds,
            image_caches=image_caches,
            failing_jobs=failing_jobs,
            pending_deletions=pending_deletions,
            cells=cells,
        )

    def _load(self, stored: StoredState) -> None:
        slices = self._slices
        if stored.types is not None:
            slices.writer.versions[TYPES] = stored.types.version
            slices.autoscaler.load_types(stored.types.value)
        slices.cells.load(stored.cells)
        slices.jobs.load(stored.live, stored.done, stored.live_revision)
        slices.cells.load_handoffs(stored.cells)
        slices.image_caches.load(stored.image_caches)
        slices.failing_jobs.load(stored.failing_jobs)
        slices.autoscaler.mark_deleting(stored.pending_deletions, self._loop.time())
        # Last: the attempts in them need the jobs, borrowed ones included.
        slices.placement.rounds.load(stored.rounds, self._loop.time())
        slices.workers.failover_at = self._loop.time()
