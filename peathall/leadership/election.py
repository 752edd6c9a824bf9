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
from peathall.leadership.lease import LeaderLease
from peathall.store.client import (
    ConflictError,
    LeaseExpiredError,
    Put,
    StoreClient,
    StoreError,
)
from peathall.store.writer import GuardKey

log = logging.getLogger("peathall.leadership")

LEADER_KEY = "lead"
TERM_KEY = "term"


class ElectionPhase(Enum):
    """A controller's part in the election."""

    FOLLOWER = auto()  # somebody leads, or we do not know
    CANDIDATE = auto()  # a campaign is under way
    LEADER = auto()
    BACKOFF = auto()  # gave the lead up since workers did not reach us


class TermRecord(Struct, frozen=True, omit_defaults=True):
    """The value of `term`."""

    n: int = 0
    cells: bool = False  # jobs may be in other cells: only who knows of those may lead


class LeaderRecord(Struct, frozen=True):
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


class LeaderTerm:
    """What a won election gives: the term, `lead` as it was written, and its lease."""

    def __init__(
        self,
        term: int,
        record: GuardKey,
        lease_id: int,
        lease: LeaderLease,
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
        store: StoreClient,
        lead: Callable[[LeaderTerm], Awaitable[None]],
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
        self.phase = ElectionPhase.FOLLOWER
        self.leader: str | None = None  # who leads as far as we know
        self.leader_term: LeaderTerm | None = None
        self.backoff_until = 0.0
        self.leaderless_since: float | None = None
        self._stepping_down = asyncio.Event()

    def _enter(self, phase: ElectionPhase) -> None:
        if phase is not self.phase:
            log.info("leadership: %s -> %s", self.phase.name, phase.name)
            self.phase = phase

    def is_leader(self) -> bool:
        """Whether this controller's lease on the lead lives."""
        return (
            self.phase is ElectionPhase.LEADER
            and self.leader_term is not None
            and self.leader_term.lease.is_valid(self.loop.time())
        )

    def step_down(self) -> None:
        """The lead turned out to be another's."""
        self._stepping_down.set()

    async def run(self) -> None:
        """Follow, stand and lead in turns, for ever."""
        started = True
        while True:
            try:
                item = await self.store.get(LEADER_KEY, first=True)
                lead = msgspec.convert(item.value, LeaderRecord) if item is not None else None
                if lead is not None and lead.member == self.name:
                    # We are not leading, so this is an earlier life of ours or a
                    # campaign whose answer was lost: nobody acts on it.
                    log.info("ending the lease of an earlier life (term %d)", lead.term)
                    await self._end(lead.lease)
                    item = lead = None
                self._follow(lead)
                if item is None:
                    if not self._backing_off():
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

    def _backing_off(self) -> bool:
        now = self.loop.time()
        if self.leaderless_since is None:
            self.leaderless_since = now
        return (
            now < self.backoff_until
            and now - self.leaderless_since < constants.LEADERLESS_BACKOFF_S
        )

    def _follow(self, lead: LeaderRecord | None) -> None:
        leader = lead.member if lead is not None else None
        if leader != self.leader:
            log.info("leader is now %s", leader)
        self.leader = leader
        if leader is not None:
            self.leaderless_since = None
        self._enter(
            ElectionPhase.BACKOFF
            if self.loop.time() < self.backoff_until
            else ElectionPhase.FOLLOWER
        )

    async def _await_change(self, version: int) -> None:
        after: int = version
        while True:
            result = await self.store.watch(LEADER_KEY, after)
            if result is None:
                return
            after, changes = result
            if any(change.key == LEADER_KEY for change in changes):
                return

    async def _end(self, lease_id: int) -> None:
        try:
            await self.store.revoke_lease(lease_id)
        except StoreError as exc:
            log.debug("ending a lease: %s", exc)

    async def _campaign(self) -> None:
        self._enter(ElectionPhase.CANDIDATE)
        terms = await self.gate.terms()
        term_item = await self.store.get(TERM_KEY, first=True)
        before = msgspec.convert(term_item.value, TermRecord) if term_item else TermRecord()
        if before.cells and self.cells is Mode.OFF:
            log.error("cells are on, and off at this controller: it does not lead")
            await asyncio.sleep(constants.CAMPAIGN_REFUSED_RETRY_S)
            return
        term = before.n + 1
        counted = TermRecord(term, before.cells or self.cells is Mode.ON)
        sent = self.loop.time()
        lease_id = await self.store.grant_lease(constants.LEADER_LEASE_TTL_S)
        record = msgspec.to_builtins(LeaderRecord(self.name, term, lease_id))
        try:
            version = await self.store.commit(
                {
                    LEADER_KEY: 0,
                    TERM_KEY: term_item.version if term_item else 0,
                    **terms.conditions,
                },
                [
                    Put(LEADER_KEY, record, lease_id),
                    Put(TERM_KEY, msgspec.to_builtins(counted)),
                    *terms.puts,
                ],
            )
        except (ConflictError, LeaseExpiredError) as exc:
            await self._end(lease_id)
            if isinstance(exc, ConflictError) and self.gate.refused(exc.failed):
                await asyncio.sleep(constants.CAMPAIGN_REFUSED_RETRY_S)
            return
        # A commit without an answer ends up in run(): if it did go through, `lead`
        # names us, that lease is ended, and the term is simply skipped.
        written = GuardKey(LEADER_KEY, record, version, lease_id)
        lease = LeaderLease(constants.LEADER_LEASE_TTL_S, sent)
        self.leader_term = LeaderTerm(term, written, lease_id, lease, terms.delegates)
        await self._lead(self.leader_term)

    async def _lead(self, leader_term: LeaderTerm) -> None:
        self._stepping_down = asyncio.Event()
        self.leader = self.name
        self.leaderless_since = None
        self._enter(ElectionPhase.LEADER)
        log.info("leading in term %d", leader_term.term)
        self.store.set_leading(True)
        renewing = asyncio.create_task(self._renew(leader_term))
        leading = asyncio.ensure_future(self.lead(leader_term))
        stepping_down = asyncio.create_task(self._stepping_down.wait())
        try:
            await asyncio.wait(
                [renewing, leading, stepping_down], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.leader_term = None
            self._enter(ElectionPhase.FOLLOWER)
            self.leader = None
            self.store.set_leading(False)
            for task in (renewing, leading, stepping_down):
                task.cancel()
            results = await asyncio.gather(renewing, leading, stepping_down, return_exceptions=True)
            for result in results:
                if isinstance(result, Exception):
                    log.error("the term ended by an error", exc_info=result)
                    # Give the others a turn rather than fail at once again.
                    self.backoff_until = self.loop.time() + constants.RESIGN_BACKOFF_S
            log.info("no longer leading term %d", leader_term.term)

    async def _renew(self, leader_term: LeaderTerm) -> None:
        """Renew until the lease is gone; an outage is waited out, in the same term."""
        silent = False
        while True:
            sent = self.loop.time()
            try:
                await self.store.renew_lease(leader_term.lease_id, constants.LEADER_RENEW_S)
                leader_term.lease.record_renewal(sent)
                if silent:
                    log.info("the lease of term %d is alive again", leader_term.term)
                    silent = False
                pause = constants.LEADER_RENEW_S
            except LeaseExpiredError:
                log.info("the lease of term %d is gone", leader_term.term)
                return
            except StoreError as exc:
                if not silent and not leader_term.lease.is_valid(self.loop.time()):
                    log.info("standing still, the lease cannot be renewed: %s", exc)
                    silent = True
                pause = constants.STORE_RETRY_S
            await asyncio.sleep(pause)

    async def resign(self, why: str) -> None:
        """Give the lead up and stand back, since another controller can do better."""
        if self.leader_term is None:
            return
        log.info("resigning: %s", why)
        self.backoff_until = self.loop.time() + constants.RESIGN_BACKOFF_S
        lease_id = self.leader_term.lease_id
        self.leader_term.lease.until = 0.0
        self.step_down()
        await self._end(lease_id)
