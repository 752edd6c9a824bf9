"""Which controllers may become leader while duties are on: only those that delegate to holders.

A leader without duties would call the cloud itself while holders do so as well. Therefore the
record `duties/on` is a condition of every campaign's commit: a controller on which duties are not
enabled cannot become leader while that record exists. The first leader that has duties enabled
writes the record in the same commit as the leader key.
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
    """Sets the conditions on which this controller campaigns for leadership."""

    def __init__(self, store: StoreClient, mode: Mode) -> None:
        self.store = store
        self.mode = mode
        self._logged = False

    async def requirements(self) -> CampaignRequirements:
        """Conditions and writes of the next campaign's commit; raises StoreError."""
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
        """Whether a campaign failed because duties are on, which only operators can change.

        `failed`: the keys whose conditions did not hold.
        """
        if self.mode is not Mode.OFF or ENABLED_KEY not in failed:
            return False
        if not self._logged:
            log.error(
                "duties: this controller cannot become leader, since duties are on in the state"
                " service and off in its settings"
            )
            self._logged = True
        return True
