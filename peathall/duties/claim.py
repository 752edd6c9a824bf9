"""One controller's claim on one duty: taken when it is free, renewed, released.

The holder's record hangs on a lease of the state service and its token is counted up in the same
commit, so no token is given twice. What a holder commits is conditional on the version of that
record: once the lease has ended, or another holds the duty, nothing new of it is accepted,
whatever its clocks say. The lease counted here only keeps it from trying in vain.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import msgspec

from peathall import constants
from peathall.duties.board import DutyBoard
from peathall.duties.model import (
    MARK,
    Duty,
    DutyPhase,
    Handover,
    HolderRecord,
    TokenRecord,
    to_value,
)
from peathall.leadership.lease import LeaderLease
from peathall.store.client import ConflictError, LeaseExpiredError, Put, StoreClient, StoreError
from peathall.store.writer import GuardKey

log = logging.getLogger("peathall.duties")


class Tenure:
    """What a claim gives: the token, the holder's record and its lease."""

    def __init__(self, holder: HolderRecord, record: GuardKey, lease: LeaderLease) -> None:
        self.holder = holder
        self.record = record
        self.lease = lease


class DutyClaim:
    """Claims a duty when it may, renews its lease, and gives it up."""

    def __init__(
        self,
        duty: Duty,
        name: str,
        store: StoreClient,
        board: DutyBoard,
        lease_s: float,
        wall: Callable[[], float],
        rng: random.Random,
        may_claim: Callable[[], bool],
        reluctance_s: Callable[[], float],
        hold: Callable[[Tenure], Awaitable[None]],
    ) -> None:
        self.duty = duty
        self.name = name
        self.store = store
        self.board = board
        self.lease_s = lease_s
        self.wall = wall
        self.rng = rng
        self.may_claim = may_claim
        self.reluctance_s = reluctance_s  # others that are as good may claim it before
        self.hold = hold  # runs as long as we hold the duty
        self.loop = asyncio.get_running_loop()
        self.phase = DutyPhase.FOLLOWING
        self.tenure: Tenure | None = None
        self._release = asyncio.Event()

    def _enter(self, phase: DutyPhase) -> None:
        """The one way to change the phase."""
        if phase is not self.phase:
            log.info("duty %s: %s -> %s", self.duty.value, self.phase.name, phase.name)
            self.phase = phase

    def may_act(self) -> bool:
        """Whether our lease on the duty lives, by our clock."""
        holding = self.phase in (DutyPhase.HOLDING, DutyPhase.UNSURE)
        return holding and self.tenure is not None and self.tenure.lease.is_valid(self.loop.time())

    def may_begin(self) -> bool:
        """Whether something new may be begun: not while a renewal is without an answer."""
        return self.phase is DutyPhase.HOLDING and self.may_act()

    async def run(self) -> None:
        """Follow, claim and hold in turns, for ever."""
        while True:
            try:
                await self._follow()
            except StoreError as exc:
                log.debug("claiming %s: %s", self.duty.value, exc)
                self._enter(DutyPhase.FOLLOWING)
                await asyncio.sleep(constants.STORE_RETRY_S)

    async def _follow(self) -> None:
        holder = self.board.holders.get(self.duty)
        if holder is not None and holder.member == self.name:
            # An earlier life of ours, or a claim whose answer was lost: nobody acts on it.
            await self._end(holder.lease)
            await self.board.changed(constants.STORE_RETRY_S)
        elif holder is None and self.board.known and self.board.mark and self.may_claim():
            if await self._stays_vacant():
                await self._claim()
        else:
            await self.board.changed(constants.DUTY_LOOK_S)

    async def _stays_vacant(self) -> bool:
        """Whether nobody else claims it within the time that we leave to others."""
        began = self.loop.time()
        jitter = self.rng.random() * constants.CAMPAIGN_JITTER_S
        while self.duty not in self.board.holders and self.board.mark and self.may_claim():
            # Asked anew: whoever won the lead learns of the mark before it learns that it won.
            left = began + jitter + self.reluctance_s() - self.loop.time()
            if left <= constants.DUTY_CLAIM_STEP_S:
                return True
            await self.board.changed(left)
        return False

    async def _claim(self) -> None:
        self._enter(DutyPhase.CLAIMING)
        item = await self.store.get(self.duty.token_key, first=True)
        before = msgspec.convert(item.value, TokenRecord) if item is not None else TokenRecord()
        vacant_s = self.loop.time() - self.board.vacant_since.get(self.duty, self.loop.time())
        sent = self.loop.time()
        lease_id = await self.store.grant_lease(self.lease_s)
        token = before.token + 1
        holder = HolderRecord(self.name, token, lease_id, self.wall(), vacant_s)
        latest = [*before.latest, Handover(self.name, token, round(vacant_s, 3))]
        counted = TokenRecord(token, latest[-constants.DUTY_HANDOVERS_KEPT :])
        conditions = {
            self.duty.holder_key: 0,
            self.duty.token_key: item.version if item is not None else 0,
            MARK: self.board.mark,
        }
        value = to_value(holder)
        puts = [Put(self.duty.holder_key, value, lease_id)]
        puts.append(Put(self.duty.token_key, to_value(counted)))
        try:
            version = await self.store.commit(conditions, [*puts])
        except (ConflictError, LeaseExpiredError):
            await self._end(lease_id)
            self._enter(DutyPhase.FOLLOWING)
            return
        record = GuardKey(self.duty.holder_key, value, version, lease_id)
        await self._hold(Tenure(holder, record, LeaderLease(self.lease_s, sent)))

    async def _hold(self, tenure: Tenure) -> None:
        self.tenure = tenure
        self._release = asyncio.Event()
        self._enter(DutyPhase.HOLDING)
        log.info("holding %s under token %d", self.duty.value, tenure.holder.token)
        tasks = [
            asyncio.create_task(self._renew(tenure)),
            asyncio.ensure_future(self.hold(tenure)),
            asyncio.create_task(self._release.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._enter(DutyPhase.RELEASING)
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    log.error("holding %s ended by an error", self.duty.value, exc_info=result)
        await self.give_up()

    async def _renew(self, tenure: Tenure) -> None:
        """Until the lease is gone; an outage, after which it has its full time, is waited out."""
        while True:
            pause = self.lease_s / constants.DUTY_RENEWALS
            sent = self.loop.time()
            try:
                await self.store.renew_lease(tenure.holder.lease, pause)
                tenure.lease.record_renewal(sent)
                self._enter(DutyPhase.HOLDING)
            except LeaseExpiredError:
                log.info("the lease on %s is gone", self.duty.value)
                return
            except StoreError as exc:
                log.debug("renewing %s: %s", self.duty.value, exc)
                self._enter(DutyPhase.UNSURE)
                pause = constants.STORE_RETRY_S
            await asyncio.sleep(pause)

    def lost(self) -> None:
        """A commit was refused: another holds the duty, or nobody does."""
        self._release.set()

    def release(self) -> None:
        """Give the duty up, so that another can take it at once."""
        self._release.set()

    async def give_up(self) -> None:
        """End our lease, if we have one. Also one that was lost: it may live on in the service."""
        tenure, self.tenure = self.tenure, None
        if tenure is None:
            return
        self._enter(DutyPhase.RELEASING)
        await self._end(tenure.holder.lease)
        log.info("no longer holding %s under token %d", self.duty.value, tenure.holder.token)
        self._enter(DutyPhase.FOLLOWING)

    async def _end(self, lease_id: int) -> None:
        try:
            await self.store.revoke_lease(lease_id)
        except StoreError as exc:
            log.debug("ending a lease on %s: %s", self.duty.value, exc)
