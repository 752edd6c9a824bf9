"""Who holds which duty, and whether duties are on, as the state service last told."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from peathall import constants
from peathall.duties.model import HOLDER, MARK, PREFIX, Duty, HolderRecord
from peathall.store.client import KeyValue, StoreClient, StoreError

log = logging.getLogger("peathall.duties")


class DutyBoard:
    """The records of holders and the mark, kept by one watch for all duties."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.versions: dict[str, int] = {}
        self.holders: dict[Duty, HolderRecord] = {}
        self.vacant_since: dict[Duty, float] = {}
        self.known = False  # read at least once
        self._changed = asyncio.Event()

    @property
    def mark(self) -> int:
        """Version of the mark; 0: duties are off."""
        return self.versions.get(MARK, 0)

    async def changed(self, timeout: float) -> None:
        """Wait for news, or for so long."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            pass

    async def run(self) -> None:
        """Read, and then follow the news."""
        while True:
            try:
                items, revision = await self.store.scan(PREFIX)
                self._load(items)
                await self._follow(revision)
            except StoreError as exc:
                log.debug("reading who holds what: %s", exc)
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
        self._tell()

    async def _follow(self, revision: int) -> None:
        """Until the service no longer knows what changed since then."""
        while (news := await self.store.watch(PREFIX, revision)) is not None:
            revision, changes = news
            for change in changes:
                self._apply(change.key, None if change.deleted else change.value, change.version)
            if changes:
                self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply(self, key: str, value: object, version: int) -> None:
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        if not key.startswith(HOLDER):
            return
        try:
            duty = Duty(key.removeprefix(HOLDER))
        except ValueError:
            return  # of a later version
        if value is None:
            self.holders.pop(duty, None)
            self.vacant_since[duty] = self.loop.time()
        else:
            self.holders[duty] = msgspec.convert(value, HolderRecord)
            self.vacant_since.pop(duty, None)

    def held_by(self, member: str) -> int:
        """How many duties the member holds."""
        return sum(record.member == member for record in self.holders.values())
