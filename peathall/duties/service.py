"""A controller's part in duties: its claims, the orders that reach it, what it tells of them."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
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
from peathall.duties.executor import Checkpoint, DutyExecutor, no_checkpoint
from peathall.duties.model import (
    ACT,
    MARK,
    PREFIX,
    ActAnswer,
    ActRecord,
    ActRequest,
    Duty,
    DutyPhase,
    HolderRecord,
    Outcome,
    to_value,
)
from peathall.duties.settings import DutySettings
from peathall.duties.status import DutiesStatus, describe
from peathall.duties.writes import DelegatedWrites
from peathall.http.client import NoAnswerError
from peathall.leadership.election import LEADER_KEY, LeaderRecord
from peathall.store.client import ConflictError, Delete, KeyValue, StoreClient, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.duties")

# Sends a message to another controller; status and body of its answer, or NoAnswerError.
Send = Callable[[str, str, bytes, float], Awaitable[tuple[int, bytes]]]


@dataclass(frozen=True, slots=True)
class Delegation:
    """A leader's ways to the holders, for one term."""

    cloud: DelegatedCloud
    compaction: DelegatedWrites
    cleanup: DelegatedWrites

    async def run(self) -> None:
        """Hand over what is offered, until the term is over."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.compaction.run())
            tasks.create_task(self.cleanup.run())

    def act_directly(self) -> None:
        """Duties are off: the leader's writer takes over what waits."""
        self.compaction.act_directly()
        self.cleanup.act_directly()


class Duties:
    """Claims of this controller, and its ways to the holders."""

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
        self.settings = settings
        self.own = own
        self.store = store
        self.send = send
        self.leads = leads
        self.checkpoint = checkpoint
        self.board = DutyBoard(store)
        self.executors: dict[Duty, DutyExecutor] = {}
        self.delegated: Delegation | None = None  # of our latest term
        self.outstanding = False  # an earlier holder left actions, as far as a retiring one knows
        self.claims = {duty: self._claim(duty, wall, rng) for duty in own.held()}

    def _claim(self, duty: Duty, wall: Callable[[], float], rng: random.Random) -> DutyClaim:
        return DutyClaim(
            duty,
            self.settings.name,
            self.store,
            self.board,
            self.own.lease_s,
            wall,
            rng,
            lambda: self.own.mode is Mode.ON or self.outstanding,
            self._reluctance_s,
            lambda tenure: self._hold(duty, tenure),
        )

    def _reluctance_s(self) -> float:
        """Who leads, or holds other duties, leaves a free one to others for a moment."""
        held = sum(c.phase is not DutyPhase.FOLLOWING for c in self.claims.values())
        leading = constants.DUTY_LEADER_PAUSE_S if self.leads() else 0.0
        return leading + constants.DUTY_HELD_PAUSE_S * held

    async def run(self) -> None:
        """Follow the board, and claim."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.board.run())
            for claim in self.claims.values():
                tasks.create_task(claim.run())

    async def _hold(self, duty: Duty, tenure: Tenure) -> None:
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

    async def release_all(self) -> None:
        """An orderly end: others take over at once."""
        self.own = msgspec.structs.replace(self.own, mode=Mode.RETIRING)
        for claim in self.claims.values():
            await claim.give_up()

    # --- leading -------------------------------------------------------------
    def delegate(self, term: int, writer: Writer) -> Delegation:
        """Ways from the leader of this term to the holders."""
        holder = self.board.holders.get
        cloud = DelegatedCloud(term, lambda: writer.guard.version, holder, self._ask)

        def writes(duty: Duty) -> DelegatedWrites:
            return DelegatedWrites(duty, term, writer, self.leads, holder, self._ask, cloud.waiting)

        self.delegated = Delegation(cloud, writes(Duty.RECLAIMING), writes(Duty.CLEANUP))
        return self.delegated

    async def pending_deletions(self) -> set[str]:
        """Machines named in deletions that are not known to be finished."""
        items, _ = await self.store.scan(Duty.RETURNING.act_prefix)
        records = [msgspec.convert(item.value, ActRecord) for item in items]
        return {m for r in records if r.deletion is not None for m in r.deletion.machines}

    async def _ask(self, holder: HolderRecord, request: ActRequest) -> ActAnswer:
        if holder.member == self.settings.name:
            return await self.perform(request)
        try:
            message = orjson.dumps(to_value(request))
            status, raw = await self.send(holder.member, "/duty", message, constants.DUTY_ASK_S)
            if status == 200:
                return msgspec.convert(orjson.loads(raw), ActAnswer)
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
            return ActAnswer(Outcome.PENDING, why=str(exc))
        return ActAnswer(Outcome.REFUSED, why=f"answered {status}")

    # --- holding -------------------------------------------------------------
    async def serve(self, path: str, raw: bytes) -> tuple[int, Any]:
        """A request that another controller, or an operator's client, has sent."""
        if path == "/duties":
            return 200, to_value(await self.status())
        if path == "/duties/waiting":
            return 200, self._waiting()
        try:
            request = msgspec.convert(orjson.loads(raw), ActRequest)
        except (orjson.JSONDecodeError, msgspec.ValidationError):
            return 400, None
        return 200, to_value(await self.perform(request))

    async def perform(self, request: ActRequest) -> ActAnswer:
        """Carry an order out, if we hold its duty."""
        executor = self.executors.get(request.duty)
        if executor is None:
            return ActAnswer(Outcome.REFUSED, why="does not hold the duty")
        return await executor.perform(request)

    # --- telling -------------------------------------------------------------
    async def status(self) -> DutiesStatus:
        """Who holds what, read from the store; why work waits, as the leader knows it."""
        items = [*(await self.store.scan(PREFIX))[0], *(await self.store.scan(ACT))[0]]
        item = await self.store.get(LEADER_KEY)
        leader = msgspec.convert(item.value, LeaderRecord).member if item is not None else None
        waiting = self._waiting()
        if leader is not None and leader != self.settings.name:
            waiting = await self._ask_waiting(leader)
        return describe(self.settings.name, items, leader, waiting)

    def _waiting(self) -> dict[str, str]:
        """Why work waits, by duty, as far as we lead."""
        if self.delegated is None or not self.leads():
            return {}
        return self.delegated.cloud.waiting.lately()

    async def _ask_waiting(self, leader: str) -> dict[str, str]:
        try:
            _, raw = await self.send(leader, "/duties/waiting", b"", constants.DUTY_WAIT_S)
            return msgspec.convert(orjson.loads(raw), dict[str, str])
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError):
            return {duty.value: f"{leader}, who leads, does not answer" for duty in Duty}

    # --- retiring ------------------------------------------------------------
    @property
    def retiring(self) -> bool:
        """Whether this controller takes duties out of use."""
        return self.own.mode is Mode.RETIRING

    async def retire(self, writer: Writer, done: Callable[[], None]) -> None:
        """While we lead: once nothing is outstanding, take the mark away. Never returns."""
        while not (await self._nothing_outstanding() and await self._drop_mark(writer)):
            await asyncio.sleep(constants.TICK_S)
        done()
        await asyncio.Event().wait()

    async def _nothing_outstanding(self) -> bool:
        """If something is, we may claim duties to finish it."""
        try:
            items: list[KeyValue] = (await self.store.scan(ACT))[0]
        except StoreError as exc:
            log.debug("reading unfinished actions: %s", exc)
            return False
        self.outstanding = bool(items)
        return not items

    async def _drop_mark(self, writer: Writer) -> bool:
        """Only while nobody holds a duty: a holder's commits depend on its own record."""
        if not self.board.mark:
            return False  # not read yet
        for claim in self.claims.values():
            claim.release()
        conditions = {duty.holder_key: 0 for duty in Duty} | {MARK: self.board.mark}
        try:
            await writer.submit([Delete(MARK)], conditions)
        except ConflictError:
            return False
        log.info("duties are off: this leader acts on the cloud itself")
        return True
