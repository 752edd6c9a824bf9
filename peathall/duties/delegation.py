"""The parts through which a leader delegates work to the holders of duties, for one term."""

from __future__ import annotations

import asyncio

from msgspec import Struct

from peathall.duties.delegated_cloud import DelegatedCloud
from peathall.duties.delegated_writes import DelegatedWrites
from peathall.duties.holder_client import HolderClient


class Delegation(Struct, frozen=True):
    """What a leader uses to delegate work to the holders, for one term."""

    cloud: DelegatedCloud
    compaction: DelegatedWrites
    cleanup: DelegatedWrites
    holders: HolderClient

    async def run(self) -> None:
        """Send deferred writes to the holders, until cancelled at the end of the term."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.compaction.run())
            tasks.create_task(self.cleanup.run())

    def act_directly(self) -> None:
        """Duties are off: pass all deferred writes to the leader's own writer."""
        self.compaction.act_directly()
        self.cleanup.act_directly()
