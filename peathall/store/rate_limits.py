"""The part of the state service's rate limits that one controller may use."""

from __future__ import annotations

import asyncio

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.store.errors import StoreError
from peathall.store.token_bucket import TokenBucket


class StoreRateLimits:
    """Token buckets for requests and for changes (puts and deletes).

    The limits hold for all controllers together, who do not know of each other's use. So the
    leader has a fixed share of each limit and its followers have equal parts of the rest: the
    sum stays within the limit, whatever the number of controllers.
    """

    def __init__(self, limits: StateSettings, controllers: int, leader_write_share: float) -> None:
        self.limits = limits
        self.leader_write_share = leader_write_share
        self.followers = max(1, controllers - 1)
        self.loop = asyncio.get_running_loop()
        self.requests = TokenBucket(self._request_rate(leading=False))
        self.writes = TokenBucket(self._write_rate(leading=False))

    def _request_rate(self, leading: bool) -> float:
        return self.limits.rps * self._share(constants.LEADER_RPS_SHARE, leading)

    def _write_rate(self, leading: bool) -> float:
        return self.limits.write_rps * self._share(self.leader_write_share, leading)

    def _share(self, leader_share: float, leading: bool) -> float:
        return leader_share if leading else (1.0 - leader_share) / self.followers

    def set_leading(self, leading: bool) -> None:
        """Use the share of the leader or that of a follower from now on."""
        now = self.loop.time()
        self.requests.set_rate(self._request_rate(leading), now)
        self.writes.set_rate(self._write_rate(leading), now)

    def spare_writes(self) -> float:
        """Changes that deferred writes may make now, with some left for those that can't wait."""
        return self.writes.available_to_deferrable(self.loop.time())

    async def acquire(self, writes: int = 0, prioritized: bool = False) -> None:
        """Wait until one request with so many changes may be sent.

        Reads without priority leave a part of the requests to the others, and fail with
        StoreError rather than wait for longer than the request's own timeout: the queue would
        else grow without bound while there are more of them than the limit allows.
        """
        reserve = 0.0 if writes or prioritized else constants.READ_RATE_RESERVE
        deadline = self.loop.time() + constants.STORE_TIMEOUT_S
        while (delay := self.requests.wait(1, self.loop.time(), reserve)) > 0:
            if reserve and self.loop.time() + delay > deadline:
                raise StoreError("the limit of requests to the state service is reached")
            await asyncio.sleep(delay)
        while writes and (delay := self.writes.wait(writes, self.loop.time())) > 0:
            await asyncio.sleep(delay)

    def count_unlimited_request(self) -> None:
        """Count a request that is sent without waiting; later ones wait longer for it."""
        self.requests.force_spend(1, self.loop.time())
