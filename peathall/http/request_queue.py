"""Whose request is served next when more arrive than can be served at once."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import IntEnum
from itertools import cycle

from peathall import constants


class Rank(IntEnum):
    """What matters most comes first. Renewals, health and pings wait for nobody."""

    CHECKIN = 0  # a worker that hears nothing loses its tasks
    CHANGE = 1  # a submission or a cancellation
    QUERY = 2


LIMITS = {
    Rank.CHECKIN: constants.CHECKIN_TURN_S,
    Rank.CHANGE: constants.CHANGE_TURN_S,
    Rank.QUERY: constants.QUERY_TURN_S,
}


class Turns:
    """One request for each pass of the event loop while any wait: what else is due, above all
    the renewal of the lead, comes between two of them and not behind all of them."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.waiting: list[deque[tuple[asyncio.Future[bool], float]]] = [deque() for _ in Rank]
        self.passing = False  # somebody has the turn of this pass
        self.order = cycle((Rank.CHECKIN, Rank.CHANGE, Rank.CHECKIN, Rank.QUERY))

    async def turn(self, rank: Rank) -> bool:
        """False if the request's time is over: its sender has no use for an answer any more."""
        if not self.passing:
            self.passing = True
            self.loop.call_soon(self._next)
            return True
        turn: asyncio.Future[bool] = self.loop.create_future()
        self.waiting[rank].append((turn, self.loop.time() + LIMITS[rank]))
        return await turn

    def _next(self) -> None:
        now = self.loop.time()
        for queue in self.waiting:
            while queue and (queue[0][1] < now or queue[0][0].done()):
                turn, _ = queue.popleft()
                if not turn.done():
                    turn.set_result(False)
        self.passing = any(self.waiting)
        if self.passing:
            # Each has turns, however many come before it; what it leaves goes to the first.
            line = self.waiting[next(self.order)] or next(filter(None, self.waiting))
            line.popleft()[0].set_result(True)
            self.loop.call_soon(self._next)
