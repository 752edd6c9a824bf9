"""One attempt to become leader: a transaction that writes the leader key and a new term."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

import msgspec
from msgspec import Struct, field

from peathall import constants
from peathall.config.modes import Mode
from peathall.leadership.lease import HeldLease
from peathall.leadership.records import LEADER_KEY, TERM_KEY, LeaderRecord, TermRecord
from peathall.leadership.term import LeaderTerm, revoke_lease
from peathall.protocol.state_service import Put
from peathall.store.client import StoreClient
from peathall.store.errors import ConflictError, LeaseExpiredError
from peathall.store.transaction import GuardKey

log = logging.getLogger("peathall.leadership")


class CampaignRequirements(Struct, frozen=True):
    """Additions to the transaction of a campaign, besides the leader key and the term."""

    conditions: dict[str, int]  # required version of each key; 0: the key must not exist
    puts: list[Put] = field(default_factory=list)
    delegates: bool = False  # whether the elected leader delegates work to the holders of duties


class CampaignGate(Protocol):
    """Decides on what conditions this controller may become leader."""

    async def requirements(self) -> CampaignRequirements:
        """The requirements of the next campaign; raises StoreError if they cannot be read."""

    def refused_by_settings(self, failed: list[str]) -> bool:
        """Whether campaigns will fail until an operator changes a setting.

        `failed` are the keys whose conditions did not hold in the last campaign.
        """


class Campaign:
    """Runs the campaigns of one controller, one at a time."""

    def __init__(self, name: str, store: StoreClient, gate: CampaignGate, cells: Mode) -> None:
        self.name = name
        self.store = store
        self.gate = gate
        self.cells = cells
        self.loop = asyncio.get_running_loop()

    async def run(self) -> LeaderTerm | None:
        """Return the new term, or None if the election was lost; StoreError if neither is known.

        After a StoreError the transaction may have been committed. The leader key then names
        this controller, which revokes the key's lease when it next reads the key. No leader ever
        acts in that term.
        """
        requirements = await self.gate.requirements()
        term_key_value = await self.store.get(TERM_KEY, prioritized=True)
        previous = (
            msgspec.convert(term_key_value.value, TermRecord) if term_key_value else TermRecord()
        )
        if previous.cells and self.cells is Mode.OFF:
            log.error(
                "leadership: this controller does not campaign: cells are enabled in the state"
                " service, but off in its settings"
            )
            await asyncio.sleep(constants.CAMPAIGN_REFUSED_RETRY_S)
            return None
        term_version = term_key_value.version if term_key_value else 0
        term_record = TermRecord(previous.number + 1, previous.cells or self.cells is Mode.ON)
        return await self._commit(requirements, term_record, term_version)

    async def _commit(
        self, requirements: CampaignRequirements, term_record: TermRecord, term_version: int
    ) -> LeaderTerm | None:
        """Write both records, provided that nobody leads and no term was added meanwhile."""
        sent = self.loop.time()
        lease_id = await self.store.grant_lease(constants.LEADER_LEASE_TTL_S)
        record = msgspec.to_builtins(LeaderRecord(self.name, term_record.number, lease_id))
        try:
            version = await self.store.commit(
                {LEADER_KEY: 0, TERM_KEY: term_version, **requirements.conditions},
                [
                    Put(LEADER_KEY, record, lease_id),
                    Put(TERM_KEY, msgspec.to_builtins(term_record)),
                    *requirements.puts,
                ],
            )
        except (ConflictError, LeaseExpiredError) as exc:
            await revoke_lease(self.store, lease_id)
            if isinstance(exc, ConflictError) and self.gate.refused_by_settings(exc.failed):
                await asyncio.sleep(constants.CAMPAIGN_REFUSED_RETRY_S)
            return None
        leader_key = GuardKey(LEADER_KEY, record, version, lease_id)
        lease = HeldLease(constants.LEADER_LEASE_TTL_S, sent)
        return LeaderTerm(term_record.number, leader_key, lease_id, lease, requirements.delegates)
