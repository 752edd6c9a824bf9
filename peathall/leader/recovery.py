"""Recovery at the start of a term: rebuilds the cluster state from the stored records."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.async_tasks import run_in_slices
from peathall.autoscaling.machine_type_records import MACHINE_TYPES_KEY
from peathall.jobs import records
from peathall.leader.wiring import LeaderComponents
from peathall.placement.rounds import ROUND_PREFIX
from peathall.protocol.state_service import KeyValue
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError
from peathall.workers.failing_jobs import FAILING_JOBS_KEY
from peathall.workers.image_cache import IMAGE_CACHE_PREFIX

log = logging.getLogger("peathall.leader")


class StoredState(Struct, frozen=True):
    """All records that a leader recovers from, as read; None if a record does not exist."""

    types: list[KeyValue]
    live: list[KeyValue]
    live_revision: int  # of the state service when the live jobs were read
    done: list[KeyValue]
    rounds: list[KeyValue]
    image_caches: list[KeyValue]
    failing_jobs: KeyValue | None
    pending_deletions: set[str]
    cells: Any  # read and loaded by `LeaderCells`


class Recovery:
    """Reads the records and loads them into the components of a term."""

    def __init__(self, store: StoreClient, components: LeaderComponents) -> None:
        self._store = store
        self._components = components
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Read and load all records. After a failed read, all of them are read again."""
        while True:
            try:
                stored = await self._read()
                break
            except StoreError as exc:
                log.info(
                    "leader: term %d not recovered, reading the records again: %s",
                    self._components.cluster.term,
                    exc,
                )
                await asyncio.sleep(constants.STORE_RETRY_S)
        await self._load(stored)

    async def _read(self) -> StoredState:
        types, _ = await self._store.scan(MACHINE_TYPES_KEY)
        live, live_revision = await self._store.scan(records.LIVE_PREFIX)
        done, _ = await self._store.scan(records.DONE_TASKS_PREFIX)
        rounds, _ = await self._store.scan(ROUND_PREFIX)
        image_caches, _ = await self._store.scan(IMAGE_CACHE_PREFIX)
        failing_jobs = await self._store.get(FAILING_JOBS_KEY)
        pending_deletions = await self._components.duties.pending_deletions()
        cells = await self._components.cells.read_records(self._store)
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

    async def _load(self, stored: StoredState) -> None:
        """Load the records, and yield in between: the leader must renew its lease meanwhile. Until
        all are loaded, the leader answers no request."""
        components = self._components
        components.autoscaler.load_types(stored.types)
        components.cells.load(stored.cells)
        await run_in_slices(
            components.jobs.load(stored.live, stored.done, stored.live_revision),
            constants.RECOVERY_SLICE_S,
        )
        components.cells.load_handoffs(stored.cells)
        components.image_caches.load(stored.image_caches)
        components.failing_jobs.load(stored.failing_jobs)
        components.autoscaler.mark_deleting(stored.pending_deletions, self._loop.time())
        # Rounds are loaded last, since their attempts refer to jobs, borrowed ones included.
        await run_in_slices(
            components.placement.rounds.load(stored.rounds, self._loop.time()),
            constants.RECOVERY_SLICE_S,
        )
        components.workers.failover_at = self._loop.time()
