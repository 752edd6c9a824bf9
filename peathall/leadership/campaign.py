"""One attempt to become leader: a transaction that writes the leader key and a new term."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

import msgspec
from msgspec import Struct, field

from peathall import constants
from peathall.config.modes import Mode
from peathall.leadership.lease import LeaderLease
from peathall.leadership.records import LEADER_KEY, TERM_KEY, LeaderRecord, TermRecord
from peathall.leadership.term import LeaderTerm, revoke_lease
from peathall.protocol.state_service import Put
from peathall.store.client import StoreClient
from peathall.store.errors import ConflictError, LeaseExpiredError
from peathall.store.transaction import GuardKey

log = logging.getLogger("peathall.leadership")


class CampaignTerms(Struct, frozen=True):
    """What a campaign depends on besides the leader key, and what it writes besides it."""

    conditions: dict[str, int]  # keys and the versions that they must have; 0: no such key
    puts: list[Put] = field(default_factory=list)
    delegates: bool = False  # the winner acts on the cloud through the holders of duties


class CampaignGate(Protocol):
    """Decides on what conditions this controller may become leader."""

    async def terms(self) -> CampaignTerms:
        """Those of the next campaign; StoreError if they cannot be read."""

    def refused(self, failed: list[str]) -> bool:
        """Whether these keys, whose conditions failed, will fail the next campaign as well."""


class Campaign:
    """Campaigns of one controller, one after another."""

    def __init__(self, name: str, store: StoreClient, gate: CampaignGate, cells: Mode) -> None:
        self.name = name
        self.store = store
        self.gate = gate
        self.cells = cells
        self.loop = asyncio.get_running_loop()

    async def run(self) -> LeaderTerm | None:
        """The term, if the election was won; None if not. StoreError if that is not known.

        After a StoreError the transaction may have been carried out. The leader key then names
        this controller, which revokes that lease when it next reads the key; the term number is
        skipped.
        """
        terms = await self.gate.terms()
        term_key_value = await self.store.get(TERM_KEY, prioritized=True)
        previous = (
            msgspec.convert(term_key_value.value, TermRecord) if term_key_value else TermRecord()
        )
        if previous.cells and self.cells is Mode.OFF:
            log.error(
                "leadership: no campaign, cells are on in the state service and off in the"
                " settings of this controller"
            )
            await asyncio.sleep(constants.CAMPAIGN_REFUSED_RETRY_S)
            return None
        term_version = term_key_value.version if term_key_value else 0
        term_record = TermRecord(previous.n + 1, previous.cells or self.cells is Mode.ON)
        return await self._commit(terms, term_record, term_version)

    async def _commit(
        self, terms: CampaignTerms, term_record: TermRecord, term_version: int
    ) -> LeaderTerm | None:
        """Write both records, on the condition that nobody leads and no term was added."""
        sent = self.loop.time()
        lease_id = await self.store.grant_lease(constants.LEADER_LEASE_TTL_S)
        record = msgspec.to_builtins(LeaderRecord(self.name, term_record.n, lease_id))
        try:
            version = await self.store.commit(
                {LEADER_KEY: 0, TERM_KEY: term_version, **terms.conditions},
                [
                    Put(LEADER_KEY, record, lease_id),
                    Put(TERM_KEY, msgspec.to_builtins(term_record)),
                    *terms.puts,
                ],
            )
        except (ConflictError, LeaseExpiredError) as exc:
            await revoke_lease(self.store, lease_id)
            if isinstance(exc, ConflictError) and self.gate.refused(exc.failed):
                await asyncio.sleep(constants.CAMPAIGN_REFUSED_RETRY_S)
            return None
        leader_key = GuardKey(LEADER_KEY, record, version, lease_id)
        lease = LeaderLease(constants.LEADER_LEASE_TTL_S, sent)
        return LeaderTerm(term_record.n, leader_key, lease_id, lease, terms.delegates)
