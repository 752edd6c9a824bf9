"""Duplicated and delayed messages between workers and controllers."""

from __future__ import annotations

import asyncio
import random

from peathall.http.client import HttpClient, NoAnswerError
from tests.sim.net import Host
from tests.sim.site_network import SiteNetwork


class MessageCopies:
    """Sends late copies of heartbeats and commands, and keeps heartbeats for replay to a later
    leader."""

    def __init__(self, network: SiteNetwork, rng: random.Random) -> None:
        self.network, self.rng = network, rng
        self.share = 0.0  # share of heartbeats and commands of which a copy arrives late
        self.kept_share = 0.0  # share of heartbeats that are kept for replay
        self.kept_heartbeats: dict[str, bytes] = {}  # worker -> latest kept heartbeat

    def send_later(self, addr: str, path: str, raw: bytes) -> None:
        """Sends a late copy of a message, up to 30 s (more than two leases) after it."""

        async def send() -> None:
            await asyncio.sleep(self.rng.choice([1.0, 6.0, 15.0, 30.0]) * self.rng.random())
            try:
                await HttpClient(addr, max_idle=0).request("POST", path, raw, 4.0)
            except NoAnswerError:
                pass

        context = self.network.context(Host("10.8.0.1"))
        self.network.loop.create_task(send(), context=context)
