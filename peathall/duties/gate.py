"""Who may lead while duties are on: a controller that would act besides a holder may not.

The mark is a condition of every campaign's commit, so it is set and seen in one step with the
lead: a controller whose operator has not switched duties on can't lead while the mark stands.
"""

from __future__ import annotations

import logging

from peathall.config.modes import Mode
from peathall.duties.model import MARK
from peathall.leadership.election import CampaignTerms
from peathall.store.client import Put, StoreClient

log = logging.getLogger("peathall.duties")


class DutyGate:
    """The terms on which this controller stands for election."""

    def __init__(self, store: StoreClient, mode: Mode) -> None:
        self.store = store
        self.mode = mode
        self._told = False

    async def terms(self) -> CampaignTerms:
        """Conditions and puts of a campaign's commit."""
        if self.mode is Mode.OFF:
            return CampaignTerms({MARK: 0})
        item = await self.store.get(MARK, first=True)
        if item is not None:
            return CampaignTerms({MARK: item.version}, delegates=True)
        if self.mode is Mode.RETIRING:
            return CampaignTerms({MARK: 0})
        return CampaignTerms({MARK: 0}, [Put(MARK, {"on": True})], delegates=True)

    def refused(self, failed: list[str]) -> bool:
        """Whether the mark kept a campaign from winning, which only a switch by operators ends."""
        if self.mode is not Mode.OFF or MARK not in failed:
            return False
        if not self._told:
            log.error("duties are on, and off at this controller: it does not lead")
            self._told = True
        return True
