"""Which controllers may lead while duties are on: none that would act beside the holders.

The record that duties are on is a condition of every campaign's commit, so it is written and
checked in one step with the leader key: a controller whose operator has not switched duties on
cannot become leader while that record exists.
"""

from __future__ import annotations

import logging

from peathall.config.modes import Mode
from peathall.duties.model import ENABLED_KEY
from peathall.leadership.campaign import CampaignRequirements
from peathall.protocol.state_service import Put
from peathall.store.client import StoreClient

log = logging.getLogger("peathall.duties")


class DutyGate:
    """The terms on which this controller campaigns."""

    def __init__(self, store: StoreClient, mode: Mode) -> None:
        self.store = store
        self.mode = mode
        self._logged = False

    async def requirements(self) -> CampaignRequirements:
        """Conditions and puts of a campaign's commit; raises StoreError."""
        if self.mode is Mode.OFF:
            return CampaignRequirements({ENABLED_KEY: 0})
        item = await self.store.get(ENABLED_KEY, prioritized=True)
        if item is not None:
            return CampaignRequirements({ENABLED_KEY: item.version}, delegates=True)
        if self.mode is Mode.RETIRING:
            return CampaignRequirements({ENABLED_KEY: 0})
        return CampaignRequirements(
            {ENABLED_KEY: 0}, [Put(ENABLED_KEY, {"on": True})], delegates=True
        )

    def refused_by_settings(self, failed: list[str]) -> bool:
        """Whether a campaign failed since duties are on, which only operators can change; `failed`
        are the keys whose conditions did not hold."""
        if self.mode is not Mode.OFF or ENABLED_KEY not in failed:
            return False
        if not self._logged:
            log.error("this controller does not campaign: duties are on, but off in its settings")
            self._logged = True
        return True
