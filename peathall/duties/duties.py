"""Duties at one controller: its claims, requests for actions, delegation as leader, status."""

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
from peathall.duties.claim import DutyClaim, Ownership
from peathall.duties.delegated_cloud import DelegatedCloud
from peathall.duties.delegated_writes import DelegatedWrites
from peathall.duties.delegation import Delegation
from peathall.duties.executor import Checkpoint, DutyExecutor, no_checkpoint
from peathall.duties.holder_client import HolderClient, SendMessage
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
from peathall.duties.record_cache import DutyRecordCache
from peathall.duties.retirement import Retirement
from peathall.duties.settings import DutySettings
from peathall.duties.status import DutiesStatus, describe
from peathall.http.client import NoAnswerError
from peathall.leadership.records import LEADER_KEY, LeaderRecord
from peathall.protocol.codec import struct_to_builtins
from peathall.store.client import StoreClient
from peathall.store.writer import Writer


class Duties:
    """Claims and performs duties at this controller; as leader, delegates work to their holders."""

    def __init__(
        self,
        settings: Settings,
        duty_settings: DutySettings,
        store: StoreClient,
        send: SendMessage,
        leads: Callable[[], bool],
        wall: Callable[[], float],
        rng: random.Random,
        checkpoint: Checkpoint = no_checkpoint,
    ) -> None:
        """`leads`: whether this controller leads; `wall`: the wall clock."""
        self.settings = settings
        self.duty_settings = duty_settings
        self.store = store
        self.send = send
        self.leads = leads
        self.checkpoint = checkpoint
        self.record_cache = DutyRecordCache(store)
        self.executors: dict[Duty, DutyExecutor] = {}
        self.claims = {
            duty: DutyClaim(
                duty,
                settings.name,
                store,
                self.record_cache,
                duty_settings.lease_s,
                wall,
                rng,
                claimant=self,
            )
            for duty in duty_settings.held()
        }
        self._delegation: Delegation | None = None  # of the latest term that this controller led
        self._retirement = Retirement(store, self.record_cache, self._release_claims)

    async def run(self) -> None:
        """Watch the records of duties and claim duties, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.record_cache.run())
            for claim in self.claims.values():
                tasks.create_task(claim.run())

    # --- claims --------------------------------------------------------------
    def may_claim(self) -> bool:
        """Whether duties without a holder may be claimed.

        While duties are being retired, only to finish actions of earlier holders.
        """
        return self.duty_settings.mode is Mode.ON or self._retirement.has_unfinished

    def claim_delay_s(self) -> float:
        """Seconds to leave a free duty to others; longer if this controller leads or holds any."""
        held = sum(c.phase is not DutyPhase.FOLLOWING for c in self.claims.values())
        leading = constants.DUTY_LEADER_PAUSE_S if self.leads() else 0.0
        return leading + constants.DUTY_HELD_PAUSE_S * held

    async def hold(self, duty: Duty, ownership: Ownership) -> None:
        """Perform the duty until cancelled."""
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
            ownership,
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
            claim.request_release()

    async def release_all(self) -> None:
        """Release all duties and claim none again, so that others can claim them at once."""
        self.duty_settings = msgspec.structs.replace(self.duty_settings, mode=Mode.RETIRING)
        for claim in self.claims.values():
            await claim.release_now()

    # --- leading -------------------------------------------------------------
    def delegate(self, term: int, writer: Writer) -> Delegation:
        """Set up delegation to the holders, for this term of this controller as leader."""
        holder_client = HolderClient(self.settings.name, self.record_cache, self.send, self.perform)
        cloud = DelegatedCloud(
            term, lambda: writer.guard.version, holder_client, lambda: writer.value_limit
        )
        compaction = DelegatedWrites(Duty.COMPACTION, term, writer, self.leads, holder_client)
        cleanup = DelegatedWrites(Duty.CLEANUP, term, writer, self.leads, holder_client)
        self._delegation = Delegation(cloud, compaction, cleanup, holder_client)
        return self._delegation

    async def pending_deletions(self) -> set[str]:
        """Names of the machines in unfinished deletions; raises StoreError."""
        items, _ = await self.store.scan(Duty.SCALE_IN.action_prefix)
        intents = [msgspec.convert(item.value, ActionIntent) for item in items]
        return {m for i in intents if i.deletion is not None for m in i.deletion.machines}

    @property
    def retiring(self) -> bool:
        """Whether this controller, when it leads, switches duties off."""
        return self.duty_settings.mode is Mode.RETIRING

    async def retire(self, writer: Writer, done: Callable[[], None]) -> None:
        """As leader: switch duties off, then call `done`. Ends only by cancellation."""
        await self._retirement.run(writer, done)

    # --- requests ------------------------------------------------------------
    async def serve(self, path: str, raw: bytes) -> tuple[int, Any]:
        """HTTP status and body for a request from another controller or an operator's command.

        Raises StoreError if the records of duties cannot be read.
        """
        if path == "/duties":
            return 200, struct_to_builtins(await self.status())
        if path == "/duties/waiting":
            return 200, self._wait_reasons()
        try:
            request = msgspec.convert(orjson.loads(raw), ActionRequest)
        except (orjson.JSONDecodeError, msgspec.ValidationError):
            return 400, None
        return 200, struct_to_builtins(await self.perform(request))

    async def perform(self, request: ActionRequest) -> ActionResult:
        """Carry out a request, if this controller holds the duty."""
        executor = self.executors.get(request.duty)
        if executor is None:
            return ActionResult(Outcome.REFUSED, why="does not hold the duty")
        return await executor.perform(request)

    async def status(self) -> DutiesStatus:
        """The status of duties, read from the state service; the leader tells why work waits."""
        duties, _ = await self.store.scan(DUTIES_PREFIX)
        actions, _ = await self.store.scan(ACTION_PREFIX)
        item = await self.store.get(LEADER_KEY)
        leader = msgspec.convert(item.value, LeaderRecord).member if item is not None else None
        waiting = self._wait_reasons()
        if leader is not None and leader != self.settings.name:
            waiting = await self._fetch_wait_reasons(leader)
        return describe(self.settings.name, [*duties, *actions], leader, waiting)

    def _wait_reasons(self) -> dict[str, str]:
        """Reasons why work waits, by duty; empty if this controller does not lead."""
        if self._delegation is None or not self.leads():
            return {}
        return self._delegation.holders.wait_reasons.recent()

    async def _fetch_wait_reasons(self, leader: str) -> dict[str, str]:
        try:
            _, raw = await self.send(leader, "/duties/waiting", b"", constants.DUTY_RESPONSE_S)
            return msgspec.convert(orjson.loads(raw), dict[str, str])
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError):
            return {duty.value: f"{leader}, who leads, does not answer" for duty in Duty}
