"""Switching duties off: the leader first waits until no action is unfinished."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.duties.model import ACTION_PREFIX, ENABLED_KEY, Duty
from peathall.duties.record_cache import DutyRecordCache
from peathall.protocol.state_service import Delete, KeyValue
from peathall.store.client import StoreClient
from peathall.store.errors import ConflictError, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.duties")


class Retirement:
    """Deletes the record `duties/on` once no action is unfinished and no duty has a holder."""

    def __init__(
        self, store: StoreClient, record_cache: DutyRecordCache, release_claims: Callable[[], None]
    ) -> None:
        self._store = store
        self._record_cache = record_cache
        self._release_claims = release_claims
        # Whether actions are unfinished: then duties are still claimed, so that their new holders
        # finish these actions.
        self.has_unfinished = False

    async def run(self, writer: Writer, on_disabled: Callable[[], None]) -> None:
        """As leader: switch duties off and call `on_disabled`. Ends only by cancellation."""
        while not (await self._all_finished() and await self._switch_off(writer)):
            await asyncio.sleep(constants.TICK_S)
        on_disabled()
        await asyncio.Event().wait()

    async def _all_finished(self) -> bool:
        try:
            items: list[KeyValue] = (await self._store.scan(ACTION_PREFIX))[0]
        except StoreError as exc:
            log.debug("duties: reading unfinished actions failed, retrying: %s", exc)
            return False
        self.has_unfinished = bool(items)
        return not items

    async def _switch_off(self, writer: Writer) -> bool:
        """Switch duties off, on the condition that no duty has a holder; whether that succeeded.

        From then on the leader calls the cloud itself, which it must not do beside a holder.
        """
        if not self._record_cache.enabled_version:
            return False  # the record has not been read yet
        self._release_claims()
        conditions = {duty.holder_key: 0 for duty in Duty}
        conditions[ENABLED_KEY] = self._record_cache.enabled_version
        try:
            await writer.submit([Delete(ENABLED_KEY)], conditions)
        except ConflictError:
            return False
        log.info("duties: switched off, this leader calls the cloud itself from now on")
        return True
