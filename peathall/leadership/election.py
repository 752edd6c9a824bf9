"""A controller's role in the election: follower, candidate, leader, or in backoff.

A follower watches the leader key and starts a campaign once the key is deleted. A leader renews
its lease until the lease expires, until it steps down, or until the leader's own code returns or
fails.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import msgspec

from peathall import constants
from peathall.async_tasks import end_tasks
from peathall.config.modes import Mode
from peathall.leadership.campaign import Campaign, CampaignGate
from peathall.leadership.records import LEADER_KEY, LeaderRecord
from peathall.leadership.term import LeaderTerm, renew_lease, revoke_lease
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError

log = logging.getLogger("peathall.leadership")

BACKOFF_POLL_S = 0.5  # between reads of the leader key in backoff while nobody leads


class ElectionPhase(Enum):
    """A controller's role in the election."""

    FOLLOWER = auto()  # another controller leads, or the leader is not known
    CANDIDATE = auto()  # a campaign is under way
    LEADER = auto()
    BACKOFF = auto()  # after resigning or after a failed term: another controller should lead


class Election:
    """Campaigns when nobody leads, renews the lease while it leads, and steps down."""

    def __init__(
        self,
        name: str,
        store: StoreClient,
        lead: Callable[[LeaderTerm], Awaitable[None]],
        rng: random.Random,
        gate: CampaignGate,
        cells: Mode = Mode.OFF,
    ) -> None:
        """`lead` runs for each term that is won, and is cancelled when the term ends.

        If `lead` returns or fails earlier, the term ends.
        """
        self.name = name
        self.store = store
        self.lead = lead
        self.rng = rng
        self.campaign = Campaign(name, store, gate, cells)
        self.loop = asyncio.get_running_loop()
        self.phase = ElectionPhase.FOLLOWER
        self.leader: str | None = None  # name of the current leader, if known
        self.leader_term: LeaderTerm | None = None
        self.backoff_until = 0.0
        self.leaderless_since: float | None = None
        self._stepping_down = asyncio.Event()

    def _enter_phase(self, phase: ElectionPhase) -> None:
        if phase is not self.phase:
            log.info("leadership: %s -> %s", self.phase.name, phase.name)
            self.phase = phase

    def is_leader(self) -> bool:
        """Whether this controller leads and its leader lease is valid now."""
        return (
            self.phase is ElectionPhase.LEADER
            and self.leader_term is not None
            and self.leader_term.lease.is_valid(self.loop.time())
        )

    def step_down(self) -> None:
        """End the term, since this controller was found not to own the leader key any more."""
        self._stepping_down.set()

    async def resign(self, why: str) -> None:
        """Revoke the leader lease and back off, so that another controller is elected."""
        if self.leader_term is None:
            return
        log.info("leadership: resigning term %d: %s", self.leader_term.term, why)
        self.backoff_until = self.loop.time() + constants.RESIGN_BACKOFF_S
        lease_id = self.leader_term.lease_id
        self.leader_term.lease.end()
        self.step_down()
        await revoke_lease(self.store, lease_id)

    async def run(self) -> None:
        """Follow, campaign and lead in turn, until cancelled."""
        first = True
        while True:
            try:
                await self._follow_or_campaign(first)
            except StoreError as exc:
                log.debug("leadership: request to the state service failed, retrying: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)
            first = False

    async def _follow_or_campaign(self, first: bool) -> None:
        """Read the leader key; wait until it changes, or campaign if there is none."""
        key_value = await self.store.get(LEADER_KEY, prioritized=True)
        leader = msgspec.convert(key_value.value, LeaderRecord) if key_value is not None else None
        if leader is not None and leader.member == self.name:
            # The leader key names this controller, but this process does not lead: the record is
            # from before a restart, or from a campaign whose response was lost. In either case no
            # process leads in that term.
            log.info(
                "leadership: revoking the lease of this controller for term %d: this process does"
                " not lead in it",
                leader.term,
            )
            await revoke_lease(self.store, leader.lease_id)
            key_value = leader = None
        self._note_leader(leader)
        if key_value is not None:
            await self._await_change(key_value.version)
        elif self._is_backing_off():
            await asyncio.sleep(BACKOFF_POLL_S)
        else:
            if not first:
                await asyncio.sleep(self.rng.random() * constants.CAMPAIGN_JITTER_S)
            self._enter_phase(ElectionPhase.CANDIDATE)
            leader_term = await self.campaign.run()
            if leader_term is not None:
                await self._serve_term(leader_term)

    def _is_backing_off(self) -> bool:
        now = self.loop.time()
        if self.leaderless_since is None:
            self.leaderless_since = now
        return (
            now < self.backoff_until
            and now - self.leaderless_since < constants.LEADERLESS_BACKOFF_S
        )

    def _note_leader(self, record: LeaderRecord | None) -> None:
        leader = record.member if record is not None else None
        if leader != self.leader:
            log.info("leadership: leader changed: %s -> %s", self.leader, leader)
        self.leader = leader
        if leader is not None:
            self.leaderless_since = None
        self._enter_phase(
            ElectionPhase.BACKOFF
            if self.loop.time() < self.backoff_until
            else ElectionPhase.FOLLOWER
        )

    async def _await_change(self, version: int) -> None:
        """Return once the leader key has changed since this version."""
        after = version
        while True:
            result = await self.store.watch(LEADER_KEY, after)
            if result is None:
                # The service no longer has the changes since then. Reading only the key again would
                # give the same version, and a watch from there the same answer, without end.
                items, after = await self.store.scan(LEADER_KEY)
                if (LEADER_KEY, version) not in [(item.key, item.version) for item in items]:
                    return
                continue
            after, events = result
            if any(event.key == LEADER_KEY for event in events):
                return

    async def _serve_term(self, leader_term: LeaderTerm) -> None:
        """Lead until the lease expires, the controller steps down, or `lead` returns or fails."""
        self.leader_term = leader_term
        self._stepping_down = asyncio.Event()
        self.leader = self.name
        self.leaderless_since = None
        self._enter_phase(ElectionPhase.LEADER)
        log.info("leadership: leading in term %d", leader_term.term)
        self.store.set_leading(True)
        tasks = [
            asyncio.create_task(renew_lease(self.store, leader_term)),
            asyncio.ensure_future(self.lead(leader_term)),
            asyncio.create_task(self._stepping_down.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.leader_term = None
            self._enter_phase(ElectionPhase.FOLLOWER)
            self.leader = None
            self.store.set_leading(False)
            for error in await end_tasks(tasks, f"leadership: term {leader_term.term}"):
                log.error(
                    "leadership: term %d failed; backing off", leader_term.term, exc_info=error
                )
                # Another controller should lead: the next term might fail here as well.
                self.backoff_until = self.loop.time() + constants.RESIGN_BACKOFF_S
            log.info("leadership: no longer leading in term %d", leader_term.term)
