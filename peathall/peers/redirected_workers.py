"""Workers whose heartbeats reached this controller while another one was the leader."""

from __future__ import annotations

from peathall import constants
from peathall.peers.messages import HeartbeatOrder


class RedirectedWorkers:
    """The latest heartbeat of each worker that was redirected to the leader.

    The leader asks for them with its pings: a worker that reaches a follower is alive, though the
    leader itself may not receive its heartbeats.
    """

    def __init__(self) -> None:
        # Worker -> order of its latest heartbeat here, and the loop time at which it arrived.
        self._latest: dict[str, tuple[HeartbeatOrder, float]] = {}

    def note(self, worker: str, order: HeartbeatOrder, now: float) -> None:
        """A worker's heartbeat was redirected. A delayed copy of an earlier heartbeat does not
        show that the worker is alive, and is ignored."""
        known = self._latest.get(worker)
        if known is None or order > known[0]:
            self._latest[worker] = (order, now)

    def recent(self, now: float) -> dict[str, HeartbeatOrder]:
        """Workers redirected within `constants.REDIRECTED_S`, with their latest heartbeat."""
        for worker, (_, at) in list(self._latest.items()):
            if now - at > constants.HEARTBEAT_ORDER_MEMORY_S:
                del self._latest[worker]
        # All of them, however many: the leader would take a live machine that is left out here for
        # a silent one, and delete it.
        return {
            worker: order
            for worker, (order, at) in self._latest.items()
            if now - at < constants.REDIRECTED_S
        }
