"""Who leads. The `lead` key hangs on a lease; `term` counts take-overs for good.

Both are written in one commit, so a term is never given twice. Others follow
`lead` with a watch and stand for election once it is gone.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

import msgspec
from msgspec import Struct

from peathall import constants
from peathall.config.modes import Mode
from peathall.leadership.lease import LeadLease
from peathall.store.client import (
    ConflictError,
    LeaseGoneError,
    Put,
    StateClient,
    StoreError,
)
from peathall.store.writer import LeadRecord

log = logging.getLogger("peathall.leadership")

LEAD = "lead"
TERM = "term"


class Phase(Enum):
    """A controller's part in the election."""

    FOLLOWING = auto()  # somebody leads, or we do not know
    STANDING = auto()  # a campaign is under way
    LEADING = auto()
    RESTING = auto()  # gave the lead up since workers did not reach us


class TermRecord(Struct, frozen=True, omit_defaults=True):
    """The value of `term`."""

    n: int = 0
    cells: bool = False  # jobs may be in other cells: only who knows of those may lead


class LeadValue(Struct, frozen=True):
    """The value of `lead`: who leads, in which term, on which lease."""

    member: str
    term: int
    lease: int


@dataclass(frozen=True, slots=True)
class CampaignTerms:
    """On what a campaign depends besides `lead`, and what a win writes beside it."""

    conditions: dict[str, int]
    puts: list[Put] = field(default_factory=list)
    delegates: bool = False  # who wins acts on the cloud by way of the holders of duties


class CampaignGate(Protocol):
    """Decides on what terms this controller may stand."""

    async def terms(self) -> CampaignTerms:
        """Those of the next campaign."""

    def refused(self, failed: list[str]) -> bool:
        """Whether such keys, which failed a campaign, will fail the next one as well."""


class Mandate:
    """What a won election gives: the term, `lead` as it was written, and its lease."""

    def __init__(
        self,
        term: int,
        record: LeadRecord,
        lease_id: int,
        lease: LeadLease,
        delegates: bool = False,
    ) -> None:
        self.delegates = delegates
        self.term = term
        self.record = record
        self.lease_id = lease_id
        self.lease = lease


class Election:
    """Takes the lead when it is free, renews its lease, and gives it up."""

    def __init__(
        self,
        name: str,
        store: StateClient,
        lead: Callable[[Mandate], Awaitable[None]],
        rng: random.Random,
        gate: CampaignGate,
        cells: Mode = Mode.OFF,
    ) -> None:
        self.cells = cells
        self.name = name
        self.gate = gate
        self.store = store
        self.lead = lead  # runs as long as we lead; returns when deposed
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.phase = Phase.FOLLOWING
        self.leader: str | None = None  # who leads as far as we know
        self.mandate: Mandate | None = None
        self.rest_until = 0.0
        self.vacant_since: float | None = None
        self._deposed = asyncio.Event()

    def _enter(self, phase: Phase) -> None:
        if phase is not self.phase:
            log.info("leadership: %s -> %s", self.phase.name, phase.name)
            self.phase = phase

    def may_act(self) -> bool:
        """Whether this controller's lease on the lead lives."""
        return (
            self.phase is Phase.LEADING
            and self.mandate is not None
            and self.mandate.lease.alive(self.loop.time())
        )

    def depose(self) -> None:
        """The lead turned out to be another's."""
        self._deposed.set()

    async def run(self) -> None:
        """Follow, stand and lead in turns, for ever."""
        started = True
        while True:
            try:
                item = await self.store.get(LEAD, first=True)
                lead = msgspec.convert(item.value, LeadValue) if item is not None else None
                if lead is not None and lead.member == self.name:
                    # We are not leading, so this is an earlier life of ours or a
                    # campaign whose answer was lost: nobody acts on it.
                    log.info("ending the lease of an earlier life (term %d)", lead.term)
                    await self._end(lead.lease)
                    item = lead = None
                self._follow(lead)
                if item is None:
                    if not self._resting():
                        if not started:
                            await asyncio.sleep(self.rng.random() * constants.CAMPAIGN_JITTER_S)
                        started = False
                        await self._campaign()
                    else:
                        await asyncio.sleep(0.5)
                else:
                    await self._await_change(item.version)
            except StoreError as exc:
                log.debug("election: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)
            started = False

    def _resting(self) -> bool:
        now = self.loop.time()
        if self.vacant_since is None:
            self.vacant_since = now
        return now < self.rest_until and now - self.vacant_since < constants.REST_VACANT_S

    def _follow(self, lead: LeadValue | None) -> None:
        leader = lead.member if lead is not None else None
        if leader != self.leader:
            log.info("leader is now %s", leader)
        self.leader = leader
        if leader is not None:
            self.vacant_since = None
        self._enter(Phase.RESTING if self.loop.time() < self.rest_until else Phase.FOLLOWING)

    async def _await_change(self, version: int) -> None:
        after: int = version
        while True:
            result = await self.store.watch(LEAD, after)
            if result is None:
                return
            after, changes = result
            if any(change.key == LEAD for change in changes):
                return

    async def _end(self, lease_id: int) -> None:
        try:
            await self.store.end_lease(lease_id)
        except StoreError as exc:
            log.debug("ending a lease: %s", exc)

    async def _campaign(self) -> None:
        self._enter(Phase.STANDING)
        terms = await self.gate.terms()
        term_item = await self.store.get(TERM, first=True)
        before = msgspec.convert(term_item.value, TermRecord) if term_item else TermRecord()
        if before.cells and self.cells is Mode.OFF:
            log.error("cells are on, and off at this controller: it does not lead")
            await asyncio.sleep(constants.GATE_CLOSED_S)
            return
        term = before.n + 1
        counted = TermRecord(term, before.cells or self.cells is Mode.ON)
        sent = self.loop.time()
        lease_id = await self.store.lease(constants.LEAD_TTL_S)
        record = msgspec.to_builtins(LeadValue(self.name, term, lease_id))
        try:
            version = await self.store.commit(
                {LEAD: 0, TERM: term_item.version if term_item else 0, **terms.conditions},
                [
                    Put(LEAD, record, lease_id),
                    Put(TERM, msgspec.to_builtins(counted)),
                    *terms.puts,
                ],
            )
        except (ConflictError, LeaseGoneError) as exc:
            await self._end(lease_id)
            if isinstance(exc, ConflictError) and self.gate.refused(exc.failed):
                await asyncio.sleep(constants.GATE_CLOSED_S)
            return
        # A commit without an answer ends up in run(): if it did go through, `lead`
        # names us, that lease is ended, and the term is simply skipped.
        written = LeadRecord(LEAD, record, version, lease_id)
        lease = LeadLease(constants.LEAD_TTL_S, sent)
        self.mandate = Mandate(term, written, lease_id, lease, terms.delegates)
        await self._lead(self.mandate)

    async def _lead(self, mandate: Mandate) -> None:
        self._deposed = asyncio.Event()
        self.leader = self.name
        self.vacant_since = None
        self._enter(Phase.LEADING)
        log.info("leading in term %d", mandate.term)
        self.store.set_leading(True)
        renewing = asyncio.create_task(self._renew(mandate))
        leading = asyncio.ensure_future(self.lead(mandate))
        deposed = asyncio.create_task(self._deposed.wait())
        try:
            await asyncio.wait([renewing, leading, deposed], return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.mandate = None
            self._enter(Phase.FOLLOWING)
            self.leader = None
            self.store.set_leading(False)
            for task in (renewing, leading, deposed):
                task.cancel()
            results = await asyncio.gather(renewing, leading, deposed, return_exceptions=True)
            for result in results:
                if isinstance(result, Exception):
                    log.error("the term ended by an error", exc_info=result)
                    # Give the others a turn rather than fail at once again.
                    self.rest_until = self.loop.time() + constants.REST_S
            log.info("no longer leading term %d", mandate.term)

    async def _renew(self, mandate: Mandate) -> None:
        """Renew until the lease is gone; an outage is waited out, in the same term."""
        silent = False
        while True:
            sent = self.loop.time()
            try:
                await self.store.renew(mandate.lease_id, constants.RENEW_S)
                mandate.lease.renewed(sent)
                if silent:
                    log.info("the lease of term %d is alive again", mandate.term)
                    silent = False
                pause = constants.RENEW_S
            except LeaseGoneError:
                log.info("the lease of term %d is gone", mandate.term)
                return
            except StoreError as exc:
                if not silent and not mandate.lease.alive(self.loop.time()):
                    log.info("standing still, the lease cannot be renewed: %s", exc)
                    silent = True
                pause = constants.STORE_RETRY_S
            await asyncio.sleep(pause)

    async def resign(self, why: str) -> None:
        """Give the lead up and stand back, since another controller can do better."""
        if self.mandate is None:
            return
        log.info("resigning: %s", why)
        self.rest_until = self.loop.time() + constants.REST_S
        lease_id = self.mandate.lease_id
        self.mandate.lease.until = 0.0
        self.depose()
        await self._end(lease_id)
