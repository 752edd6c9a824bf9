"""Whose request is served next when more arrive than can be served at once."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import IntEnum
from itertools import cycle

from peathall import constants


class RequestClass(IntEnum):
    """What matters most comes first. Renewals, health and pings wait for nobody."""

    HEARTBEAT = 0  # a worker that hears nothing loses its tasks
    WRITE = 1  # a submission or a cancellation
    QUERY = 2


LIMITS = {
    RequestClass.HEARTBEAT: constants.HEARTBEAT_QUEUE_S,
    RequestClass.WRITE: constants.WRITE_QUEUE_S,
    RequestClass.QUERY: constants.QUERY_QUEUE_S,
}


class RequestQueue:
    """One request for each pass of the event loop while any wait: what else is due, above all
    the renewal of the lead, comes between two of them and not behind all of them."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.waiting: list[deque[tuple[asyncio.Future[bool], float]]] = [
            deque() for _ in RequestClass
        ]
        self.passing = False  # somebody has the turn of this pass
        self.order = cycle(
            (RequestClass.HEARTBEAT, RequestClass.WRITE, RequestClass.HEARTBEAT, RequestClass.QUERY)
        )

    async def admit(self, rank: RequestClass) -> bool:
        """False if the request's time is over: its sender has no use for an answer any more."""
        if not self.passing:
            self.passing = True
            self.loop.call_soon(self._next)
            return True
        admit: asyncio.Future[bool] = self.loop.create_future()
        self.waiting[rank].append((admit, self.loop.time() + LIMITS[rank]))
        return await admit

    def _next(self) -> None:
        now = self.loop.time()
        for queue in self.waiting:
            while queue and (queue[0][1] < now or queue[0][0].done()):
                admit, _ = queue.popleft()
                if not admit.done():
                    admit.set_result(False)
        self.passing = any(self.waiting)
        if self.passing:
            # Each has turns, however many come before it; what it leaves goes to the first.
            line = self.waiting[next(self.order)] or next(filter(None, self.waiting))
            line.popleft()[0].set_result(True)
            self.loop.call_soon(self._next)
