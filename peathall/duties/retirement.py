"""Taking duties out of use: the leader waits for what is unfinished, then switches them off."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.duties.board import DutyBoard
from peathall.duties.model import ACTION_PREFIX, ENABLED_KEY, Duty
from peathall.protocol.state_service import Delete, KeyValue
from peathall.store.client import StoreClient
from peathall.store.errors import ConflictError, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.duties")


class Retirement:
    """Deletes the record that duties are on, once no action is unfinished and no duty is held."""

    def __init__(
        self, store: StoreClient, board: DutyBoard, release_claims: Callable[[], None]
    ) -> None:
        self._store = store
        self._board = board
        self._release_claims = release_claims
        # An earlier holder left actions unfinished: they must be claimed for to be finished.
        self.has_unfinished = False

    async def run(self, writer: Writer, on_off: Callable[[], None]) -> None:
        """While we lead: switch duties off and call `on_off`. Ends only by cancellation."""
        while not (await self._all_finished() and await self._switch_off(writer)):
            await asyncio.sleep(constants.TICK_S)
        on_off()
        await asyncio.Event().wait()

    async def _all_finished(self) -> bool:
        try:
            items: list[KeyValue] = (await self._store.scan(ACTION_PREFIX))[0]
        except StoreError as exc:
            log.debug("reading unfinished actions failed and is repeated: %s", exc)
            return False
        self.has_unfinished = bool(items)
        return not items

    async def _switch_off(self, writer: Writer) -> bool:
        """Only while no duty has a holder: the leader must not act beside one."""
        if not self._board.enabled_version:
            return False  # not read yet
        self._release_claims()
        conditions = {duty.holder_key: 0 for duty in Duty}
        conditions[ENABLED_KEY] = self._board.enabled_version
        try:
            await writer.submit([Delete(ENABLED_KEY)], conditions)
        except ConflictError:
            return False
        log.info("duties are off: this leader acts on the cloud itself")
        return True
