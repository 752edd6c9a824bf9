"""Ownership of one duty: claimed when the duty has no holder, kept by renewing a lease, released.

The holder's record is bound to a lease of the state service. The commit that writes it also raises
the fencing token, so no token is issued twice. Every commit of a holder is conditional on the
version of that record: once the lease has expired or another controller holds the duty, the state
service rejects the former holder's commits, even if that holder's clock is wrong. The lease time
measured here only avoids requests that would be rejected.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec import Struct

from peathall import constants
from peathall.async_tasks import end_tasks
from peathall.duties.model import (
    ENABLED_KEY,
    Duty,
    DutyPhase,
    Handover,
    HolderRecord,
    TokenRecord,
)
from peathall.duties.record_cache import DutyRecordCache
from peathall.leadership.lease import HeldLease
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.state_service import Put
from peathall.store.client import StoreClient
from peathall.store.errors import ConflictError, LeaseExpiredError, StoreError
from peathall.store.transaction import GuardKey

log = logging.getLogger("peathall.duties")


class Ownership(Struct, frozen=True):
    """Ownership of a duty, from a successful claim to the end of the lease."""

    holder: HolderRecord  # with the fencing token
    record: GuardKey  # the stored holder record: every commit is conditional on its version
    lease: HeldLease  # until when the holder may act, by the holder's own clock


class Claimant(Protocol):
    """The controller on whose behalf duties are claimed."""

    def may_claim(self) -> bool:
        """Whether duties without a holder may be claimed at present."""

    def claim_delay_s(self) -> float:
        """Seconds for which this controller leaves a duty without a holder to other controllers."""

    async def hold(self, duty: Duty, ownership: Ownership) -> None:
        """Perform the duty until cancelled."""


class DutyClaim:
    """Claims a duty when permitted, renews its lease, and releases it."""

    def __init__(
        self,
        duty: Duty,
        name: str,
        store: StoreClient,
        record_cache: DutyRecordCache,
        lease_s: float,
        wall: Callable[[], float],
        rng: random.Random,
        claimant: Claimant,
    ) -> None:
        """`name`: of this controller; `lease_s`: duration of the lease; `wall`: the wall clock."""
        self.duty = duty
        self.name = name
        self.store = store
        self.record_cache = record_cache
        self.lease_s = lease_s
        self.wall = wall
        self.rng = rng
        self.claimant = claimant
        self.loop = asyncio.get_running_loop()
        self.phase = DutyPhase.FOLLOWING
        self.ownership: Ownership | None = None
        self._release_requested = asyncio.Event()

    def _set_phase(self, phase: DutyPhase) -> None:
        """Change the phase. No other code sets it."""
        if phase is not self.phase:
            log.info(
                "duty %s: phase changed from %s to %s", self.duty.value, self.phase.name, phase.name
            )
            self.phase = phase

    def may_act(self) -> bool:
        """Whether this controller's lease on the duty is valid by its own clock."""
        holding = self.phase in (DutyPhase.HOLDING, DutyPhase.RENEWAL_UNANSWERED)
        return (
            holding
            and self.ownership is not None
            and self.ownership.lease.is_valid(self.loop.time())
        )

    def may_begin(self) -> bool:
        """Whether a new action may start: not while the latest renewal is unanswered."""
        return self.phase is DutyPhase.HOLDING and self.may_act()

    async def run(self) -> None:
        """Wait for the duty to be free, claim it and hold it, in a loop until cancelled."""
        while True:
            try:
                await self._claim_when_free()
            except StoreError as exc:
                log.debug("duty %s: claim failed, retrying: %s", self.duty.value, exc)
                self._set_phase(DutyPhase.FOLLOWING)
                await asyncio.sleep(constants.STORE_RETRY_S)

    async def _claim_when_free(self) -> None:
        holder = self.record_cache.holders.get(self.duty)
        if holder is not None and holder.member == self.name:
            # The record is from before this process started, or from a claim whose response was
            # lost. No executor performs the duty, so the lease is revoked.
            await self._revoke(holder.lease)
            await self.record_cache.changed(constants.STORE_RETRY_S)
        elif (
            holder is None
            and self.record_cache.known
            and self.record_cache.enabled_version
            and self.claimant.may_claim()
        ):
            if await self._stays_vacant():
                await self._claim()
        else:
            await self.record_cache.changed(constants.DUTY_CLAIM_CHECK_S)

    async def _stays_vacant(self) -> bool:
        """Whether no other controller claims the duty within this controller's claim delay."""
        began = self.loop.time()
        jitter = self.rng.random() * constants.CAMPAIGN_JITTER_S
        while (
            self.duty not in self.record_cache.holders
            and self.record_cache.enabled_version
            and self.claimant.may_claim()
        ):
            # The delay is computed anew each time: a new leader learns that duties are on before
            # it learns that it leads.
            left_s = began + jitter + self.claimant.claim_delay_s() - self.loop.time()
            if left_s <= constants.DUTY_TIMER_RESOLUTION_S:
                return True
            await self.record_cache.changed(left_s)
        return False

    async def _claim(self) -> None:
        """Raise the fencing token and write the holder's record in one commit, with a new lease."""
        self._set_phase(DutyPhase.CLAIMING)
        item = await self.store.get(self.duty.token_key, prioritized=True)
        before = msgspec.convert(item.value, TokenRecord) if item is not None else TokenRecord()
        vacant_s = self.loop.time() - self.record_cache.vacant_since.get(
            self.duty, self.loop.time()
        )
        sent = self.loop.time()
        lease_id = await self.store.grant_lease(self.lease_s)
        token = before.token + 1
        holder = HolderRecord(self.name, token, lease_id, self.wall(), vacant_s)
        latest = [*before.latest, Handover(self.name, token, round(vacant_s, 3))]
        token_record = TokenRecord(token, latest[-constants.DUTY_HANDOVERS_KEPT :])
        conditions = {
            self.duty.holder_key: 0,
            self.duty.token_key: item.version if item is not None else 0,
            ENABLED_KEY: self.record_cache.enabled_version,
        }
        value = struct_to_builtins(holder)
        puts = [Put(self.duty.holder_key, value, lease_id)]
        puts.append(Put(self.duty.token_key, struct_to_builtins(token_record)))
        try:
            version = await self.store.commit(conditions, [*puts])
        except (ConflictError, LeaseExpiredError):
            await self._revoke(lease_id)
            self._set_phase(DutyPhase.FOLLOWING)
            return
        record = GuardKey(self.duty.holder_key, value, version, lease_id)
        await self._hold(Ownership(holder, record, HeldLease(self.lease_s, sent)))

    async def _hold(self, ownership: Ownership) -> None:
        self.ownership = ownership
        self._release_requested = asyncio.Event()
        self._set_phase(DutyPhase.HOLDING)
        log.info("duty %s: claimed with fencing token %d", self.duty.value, ownership.holder.token)
        tasks = [
            asyncio.create_task(self._renew(ownership)),
            asyncio.ensure_future(self.claimant.hold(self.duty, ownership)),
            asyncio.create_task(self._release_requested.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._set_phase(DutyPhase.RELEASING)
            for error in await end_tasks(tasks, f"duty {self.duty.value}"):
                log.error(
                    "duty %s: lease renewal or executor failed, releasing the duty",
                    self.duty.value,
                    exc_info=error,
                )
        await self.release_now()

    async def _renew(self, ownership: Ownership) -> None:
        """Renew the lease; returns when it has expired.

        Renewals go on during an outage of the state service: after an outage, the state service
        gives every lease its full duration again.
        """
        while True:
            pause = self.lease_s / constants.DUTY_RENEWALS_PER_LEASE
            sent = self.loop.time()
            try:
                await self.store.renew_lease(ownership.holder.lease, pause)
                ownership.lease.record_renewal(sent)
                self._set_phase(DutyPhase.HOLDING)
            except LeaseExpiredError:
                log.info("duty %s: the lease has expired, releasing the duty", self.duty.value)
                return
            except StoreError as exc:
                log.debug(
                    "duty %s: lease renewal failed, no new actions until one succeeds: %s",
                    self.duty.value,
                    exc,
                )
                self._set_phase(DutyPhase.RENEWAL_UNANSWERED)
                pause = constants.STORE_RETRY_S
            await asyncio.sleep(pause)

    def on_ownership_lost(self) -> None:
        """Called when a commit was rejected because this controller no longer holds the duty."""
        self._release_requested.set()

    def request_release(self) -> None:
        """Start releasing the duty, so that another controller can claim it at once."""
        self._release_requested.set()

    async def release_now(self) -> None:
        """Revoke the lease of this controller, if there is one.

        Also after a rejected commit: the lease may still be valid in the state service.
        """
        ownership, self.ownership = self.ownership, None
        if ownership is None:
            return
        self._set_phase(DutyPhase.RELEASING)
        await self._revoke(ownership.holder.lease)
        log.info("duty %s: released, fencing token was %d", self.duty.value, ownership.holder.token)
        self._set_phase(DutyPhase.FOLLOWING)

    async def _revoke(self, lease_id: int) -> None:
        try:
            await self.store.revoke_lease(lease_id)
        except StoreError as exc:
            log.debug(
                "duty %s: revoking lease %d failed, it will expire: %s",
                self.duty.value,
                lease_id,
                exc,
            )
