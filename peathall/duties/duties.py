"""A controller's part in duties: its claims, the requests that reach it, their status."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import orjson

from peathall import constants
from peathall.autoscaling.provider_client import CloudClient
from peathall.config.modes import Mode
from peathall.config.platform import Settings
from peathall.duties.board import DutyBoard
from peathall.duties.claim import DutyClaim, Tenure
from peathall.duties.delegate import DelegatedCloud
from peathall.duties.delegation import Delegation
from peathall.duties.executor import Checkpoint, DutyExecutor, no_checkpoint
from peathall.duties.holders import Holders, Send
from peathall.duties.model import (
    ACTION_PREFIX,
    DUTIES_PREFIX,
    ActionIntent,
    ActionRequest,
    ActionResult,
    Duty,
    DutyPhase,
    Outcome,
)
from peathall.duties.retirement import Retirement
from peathall.duties.settings import DutySettings
from peathall.duties.status import DutiesStatus, describe
from peathall.duties.writes import DelegatedWrites
from peathall.http.client import NoAnswerError
from peathall.leadership.records import LEADER_KEY, LeaderRecord
from peathall.protocol.codec import struct_to_builtins
from peathall.store.client import StoreClient
from peathall.store.writer import Writer


class Duties:
    """Claims and performs duties at this controller, and delegates to their holders if it leads."""

    def __init__(
        self,
        settings: Settings,
        own: DutySettings,
        store: StoreClient,
        send: Send,
        leads: Callable[[], bool],
        wall: Callable[[], float],
        rng: random.Random,
        checkpoint: Checkpoint = no_checkpoint,
    ) -> None:
        """`leads`: whether this controller leads; `wall`: the wall clock."""
        self.settings = settings
        self.own = own
        self.store = store
        self.send = send
        self.leads = leads
        self.checkpoint = checkpoint
        self.board = DutyBoard(store)
        self.executors: dict[Duty, DutyExecutor] = {}
        self.claims = {
            duty: DutyClaim(
                duty, settings.name, store, self.board, own.lease_s, wall, rng, claimant=self
            )
            for duty in own.held()
        }
        self._delegation: Delegation | None = None  # of our latest term
        self._retirement = Retirement(store, self.board, self._release_claims)

    async def run(self) -> None:
        """Follow the records of duties, and claim, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.board.run())
            for claim in self.claims.values():
                tasks.create_task(claim.run())

    # --- claims --------------------------------------------------------------
    def may_claim(self) -> bool:
        """Whether duties without a holder may be claimed: while duties are retired, only to finish
        what an earlier holder left."""
        return self.own.mode is Mode.ON or self._retirement.has_unfinished

    def claim_delay_s(self) -> float:
        """A controller that leads, or holds other duties, leaves a free one to others so long."""
        held = sum(c.phase is not DutyPhase.FOLLOWING for c in self.claims.values())
        leading = constants.DUTY_LEADER_PAUSE_S if self.leads() else 0.0
        return leading + constants.DUTY_HELD_PAUSE_S * held

    async def hold(self, duty: Duty, tenure: Tenure) -> None:
        """Perform the duty, until cancelled."""
        claim = self.claims[duty]
        cloud = CloudClient(
            self.settings.services.cloud,
            self.settings.params.cloud,
            claim.may_act,
            constants.DUTY_CLOUD_SHARE,
        )
        executor = DutyExecutor(
            duty,
            claim,
            tenure,
            self.store,
            self.settings.params.state,
            cloud,
            lambda step, name: self.checkpoint(step, name),
        )
        self.executors[duty] = executor
        try:
            await executor.run()
        finally:
            del self.executors[duty]

    def _release_claims(self) -> None:
        for claim in self.claims.values():
            claim.release()

    async def release_all(self) -> None:
        """Give up all duties in order, and claim none any more: others claim them at once."""
        self.own = msgspec.structs.replace(self.own, mode=Mode.RETIRING)
        for claim in self.claims.values():
            await claim.give_up()

    # --- leading -------------------------------------------------------------
    def delegate(self, term: int, writer: Writer) -> Delegation:
        """The ways to the holders, for the leader of this term."""
        holders = Holders(self.settings.name, self.board, self.send, self.perform)
        cloud = DelegatedCloud(term, lambda: writer.guard.version, holders)
        compaction = DelegatedWrites(Duty.COMPACTION, term, writer, self.leads, holders)
        cleanup = DelegatedWrites(Duty.CLEANUP, term, writer, self.leads, holders)
        self._delegation = Delegation(cloud, compaction, cleanup, holders)
        return self._delegation

    async def pending_deletions(self) -> set[str]:
        """Machines named in unfinished deletions; raises StoreError."""
        items, _ = await self.store.scan(Duty.SCALE_IN.action_prefix)
        intents = [msgspec.convert(item.value, ActionIntent) for item in items]
        return {m for i in intents if i.deletion is not None for m in i.deletion.machines}

    @property
    def retiring(self) -> bool:
        """Whether this controller takes duties out of use."""
        return self.own.mode is Mode.RETIRING

    async def retire(self, writer: Writer, done: Callable[[], None]) -> None:
        """While we lead: switch duties off, then call `done`. Ends only by cancellation."""
        await self._retirement.run(writer, done)

    # --- requests ------------------------------------------------------------
    async def serve(self, path: str, raw: bytes) -> tuple[int, Any]:
        """Status and body for a request of another controller or an operator's client; raises
        StoreError if the status of duties cannot be read."""
        if path == "/duties":
            return 200, struct_to_builtins(await self.status())
        if path == "/duties/waiting":
            return 200, self._waiting()
        try:
            request = msgspec.convert(orjson.loads(raw), ActionRequest)
        except (orjson.JSONDecodeError, msgspec.ValidationError):
            return 400, None
        return 200, struct_to_builtins(await self.perform(request))

    async def perform(self, request: ActionRequest) -> ActionResult:
        """Carry a request out, if we hold its duty."""
        executor = self.executors.get(request.duty)
        if executor is None:
            return ActionResult(Outcome.REFUSED, why="does not hold the duty")
        return await executor.perform(request)

    async def status(self) -> DutiesStatus:
        """Who holds what, read from the state service; why work waits, as the leader knows it."""
        duties, _ = await self.store.scan(DUTIES_PREFIX)
        actions, _ = await self.store.scan(ACTION_PREFIX)
        item = await self.store.get(LEADER_KEY)
        leader = msgspec.convert(item.value, LeaderRecord).member if item is not None else None
        waiting = self._waiting()
        if leader is not None and leader != self.settings.name:
            waiting = await self._ask_waiting(leader)
        return describe(self.settings.name, [*duties, *actions], leader, waiting)

    def _waiting(self) -> dict[str, str]:
        """Why work waits, by duty, if we lead."""
        if self._delegation is None or not self.leads():
            return {}
        return self._delegation.holders.waiting.recent()

    async def _ask_waiting(self, leader: str) -> dict[str, str]:
        try:
            _, raw = await self.send(leader, "/duties/waiting", b"", constants.DUTY_WAIT_S)
            return msgspec.convert(orjson.loads(raw), dict[str, str])
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError):
            return {duty.value: f"{leader}, who leads, does not answer" for duty in Duty}
