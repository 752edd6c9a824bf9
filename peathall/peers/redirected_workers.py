"""Workers whose heartbeats reached this controller while another one was the leader."""

from __future__ import annotations

from peathall import constants
from peathall.peers.messages import HeartbeatOrder


class RedirectedWorkers:
    """The latest heartbeat of each worker that was redirected to the leader.

    The leader requests them with its pings: a worker that reaches a follower is alive, even if the
    leader does not receive its heartbeats.
    """

    def __init__(self) -> None:
        # By worker: order of its latest heartbeat, and the loop time at which that arrived here.
        self._latest: dict[str, tuple[HeartbeatOrder, float]] = {}

    def note(self, worker: str, order: HeartbeatOrder, now: float) -> None:
        """Record a redirected heartbeat. A delayed copy of an earlier heartbeat does not show that
        the worker is alive, and is ignored."""
        known = self._latest.get(worker)
        if known is None or order > known[0]:
            self._latest[worker] = (order, now)

    def recent(self, now: float) -> dict[str, HeartbeatOrder]:
        """Workers redirected in the last `REDIRECTED_MAX_AGE_S`, with their latest heartbeat."""
        for worker, (_, at) in list(self._latest.items()):
            if now - at > constants.HEARTBEAT_ORDER_RETENTION_S:
                del self._latest[worker]
        # The number of entries is not limited: a live machine that is missing here would count as
        # silent for the leader, which would delete it.
        return {
            worker: order
            for worker, (order, at) in self._latest.items()
            if now - at < constants.REDIRECTED_MAX_AGE_S
        }
