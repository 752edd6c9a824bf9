"""A cache of the records of duties: who holds which duty, and whether duties are on."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from peathall import constants
from peathall.async_tasks import wait_until_set
from peathall.duties.model import DUTIES_PREFIX, ENABLED_KEY, HOLDER_PREFIX, Duty, HolderRecord
from peathall.protocol.state_service import KeyValue
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError

log = logging.getLogger("peathall.duties")


class DutyRecordCache:
    """The records of all duties, kept up to date by one watch.

    The cache may lag behind the state service, so a commit that depends on a holder states the
    version of the holder's record as a condition.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.versions: dict[str, int] = {}  # of the records under duties/, by key
        self.holders: dict[Duty, HolderRecord] = {}
        self.vacant_since: dict[Duty, float] = {}  # monotonic time; duties without a holder only
        self.known = False  # whether the records were read at least once
        self._changed = asyncio.Event()

    @property
    def enabled_version(self) -> int:
        """Version of the record `duties/on`; 0 if duties are off or no record was read yet."""
        return self.versions.get(ENABLED_KEY, 0)

    async def changed(self, timeout: float) -> None:
        """Wait for a change, for at most `timeout` seconds."""
        await wait_until_set(self._changed, timeout)

    async def run(self) -> None:
        """Read the records and apply watch events, in a loop until cancelled."""
        while True:
            try:
                items, revision = await self.store.scan(DUTIES_PREFIX)
                self._load(items)
                await self._follow(revision)
            except StoreError as exc:
                log.debug("duties: reading the records failed, retrying: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)

    def _load(self, items: list[KeyValue]) -> None:
        for key in self.versions.keys() - {item.key for item in items}:
            self._apply(key, None, 0)
        for item in items:
            self._apply(item.key, item.value, item.version)
        for duty in Duty:
            if duty not in self.holders:
                self.vacant_since.setdefault(duty, self.loop.time())
        self.known = True
        self._notify()

    async def _follow(self, revision: int) -> None:
        """Apply watch events; returns when the state service no longer has the next changes."""
        while (update := await self.store.watch(DUTIES_PREFIX, revision)) is not None:
            revision, events = update
            for event in events:
                self._apply(event.key, None if event.deleted else event.value, event.version)
            if events:
                self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply(self, key: str, value: object, version: int) -> None:
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        if not key.startswith(HOLDER_PREFIX):
            return
        try:
            duty = Duty(key.removeprefix(HOLDER_PREFIX))
        except ValueError:
            return  # a duty that a later version of peathall added
        if value is None:
            self.holders.pop(duty, None)
            self.vacant_since[duty] = self.loop.time()
        else:
            self.holders[duty] = msgspec.convert(value, HolderRecord)
            self.vacant_since.pop(duty, None)
