"""Requests to another cell: its leader is found among its controllers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
import orjson

from peathall import constants
from peathall.cells.home import CellError
from peathall.cells.model import (
    Heartbeat,
    HeartbeatAnswer,
    Offer,
    OfferAnswer,
    RoomRow,
    UserAnswer,
    UserRequest,
    to_value,
)
from peathall.cells.settings import Neighbour
from peathall.http.client import HttpClient, NoAnswerError

log = logging.getLogger("peathall.cells")

OFFER, HEARTBEAT, USER = "/cells/offer", "/cells/heartbeat", "/cells/user"

# Answers that another controller of the cell would give as well. Not among them: 404, since cells
# may be off at one controller of several.
FINAL = (400, 403, 409)

A = TypeVar("A")


class CellClient:
    """One other cell: where its leader is, what room it told of, and when it last answered."""

    def __init__(
        self, neighbour: Neighbour, may_send: Callable[[], bool], clock: Callable[[], float]
    ) -> None:
        self.name = neighbour.name
        self.clock = clock  # steady time
        self.clients = [
            HttpClient(addr, "application/json", may_send=may_send) for addr in neighbour.controller
        ]
        self.at = 0  # the controller that is asked next
        self.term = 0  # of its leader, as it last answered
        self.heard_at: float | None = None  # when it last answered a heartbeat
        self._rows: Sequence[RoomRow] = ()
        self._told_at = -1e9

    def rows(self, now: float) -> Sequence[RoomRow]:
        """Its free room as it told it lately; none if that is too long ago."""
        return self._rows if now - self._told_at < constants.CELL_ROOM_FRESH_S else ()

    def note_room(self, rows: Sequence[RoomRow], now: float) -> None:
        """It has told of its free room."""
        self._rows, self._told_at = rows, now

    async def offer(self, offer: Offer) -> OfferAnswer:
        """Its answer to an offer; CellError without one."""
        return await self._ask(OFFER, offer, OfferAnswer, constants.CELL_OFFER_S)

    async def heartbeat(self, beat: Heartbeat) -> HeartbeatAnswer:
        """Its answer to a heartbeat; CellError without one."""
        answer = await self._ask(HEARTBEAT, beat, HeartbeatAnswer, constants.CELL_TIMEOUT_S)
        self.term = answer.term
        self.heard_at = self.clock()
        return answer

    async def user_request(self, request: UserRequest) -> UserAnswer:
        """Its answer to a user; CellError without one."""
        return await self._ask(USER, request, UserAnswer, constants.FORWARD_S)

    async def _ask(self, path: str, message: msgspec.Struct, kind: type[A], timeout: float) -> A:
        """Ask controller after controller, within the time, until the leader answers."""
        raw = orjson.dumps(to_value(message))
        until = self.clock() + timeout
        why = "it has no leader"
        for _ in self.clients:
            left = until - self.clock()
            if left <= 0:
                break
            try:
                status, answer = await self.clients[self.at].request("POST", path, raw, left)
                if status == 200:
                    return msgspec.convert(orjson.loads(answer), kind)
                why = f"it answered {status}"
                if status in FINAL:
                    break
            except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
                why = str(exc)
            self.at = (self.at + 1) % len(self.clients)
        raise CellError(f"{self.name}: {why}")

    def close(self) -> None:
        """End the connections."""
        for client in self.clients:
            client.close()
