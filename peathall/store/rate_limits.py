"""The share of the state service's rate limits that one controller may use."""

from __future__ import annotations

import asyncio

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.store.errors import StoreError
from peathall.store.token_bucket import TokenBucket


class StoreRateLimits:
    """Token buckets for requests and for write operations (puts and deletes).

    The limits apply to all controllers together, which do not know each other's usage. The leader
    gets a fixed share of each limit and the followers share the rest equally, so the sum stays
    within the limit for any number of controllers.
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
        """Switch to the share of the leader or of a follower."""
        now = self.loop.time()
        self.requests.set_rate(self._request_rate(leading), now)
        self.writes.set_rate(self._write_rate(leading), now)

    def spare_writes(self) -> float:
        """Number of operations that deferred writes may use now; part of a burst stays reserved for
        other writes."""
        return self.writes.available_to_deferrable(self.loop.time())

    async def acquire(self, writes: int = 0, prioritized: bool = False) -> None:
        """Wait until a request with `writes` operations may be sent.

        Reads without priority leave part of the burst to other requests. They raise StoreError
        rather than wait for longer than the timeout of a request: otherwise the queue would grow
        without bound while more reads arrive than the limit allows.
        """
        reserve = 0.0 if writes or prioritized else constants.READ_RATE_RESERVE
        deadline = self.loop.time() + constants.STORE_TIMEOUT_S
        while (delay := self.requests.try_acquire(1, self.loop.time(), reserve)) > 0:
            if reserve and self.loop.time() + delay > deadline:
                raise StoreError(
                    "read not sent: the request rate limit of the state service is exceeded"
                )
            await asyncio.sleep(delay)
        while writes and (delay := self.writes.try_acquire(writes, self.loop.time())) > 0:
            await asyncio.sleep(delay)

    def note_writes_answered(self, writes: int) -> None:
        """Note the response to a commit with `writes` operations: the service counts them when it
        receives the commit, which may be long after it was sent."""
        self.writes.note_spent_late(writes, self.loop.time())

    def count_unlimited_request(self) -> None:
        """Count a request that is sent without waiting, so later requests wait longer."""
        self.requests.force_spend(1, self.loop.time())
