"""Client of another cell: finds the leader among the cell's controllers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import TypeVar

import msgspec
import orjson

from peathall import constants
from peathall.cells.errors import CellError
from peathall.cells.model import (
    CapacityRow,
    CellHeartbeat,
    CellHeartbeatResponse,
    HandoffOffer,
    HandoffOfferResponse,
    UserRequest,
    UserResponse,
)
from peathall.cells.settings import Neighbour
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol.codec import struct_to_builtins

OFFER_PATH = "/cells/offer"
HEARTBEAT_PATH = "/cells/heartbeat"
USER_PATH = "/cells/user"

# Responses that another controller of the cell would give as well. Not among them: NOT_FOUND,
# since cells may be off at one controller of several.
FINAL_STATUSES = (HTTPStatus.BAD_REQUEST, HTTPStatus.FORBIDDEN, HTTPStatus.CONFLICT)

ResponseType = TypeVar("ResponseType")


class CellClient:
    """One other cell: where its leader is, its free capacity, and when it last responded."""

    def __init__(
        self, neighbour: Neighbour, may_send: Callable[[], bool], clock: Callable[[], float]
    ) -> None:
        self.name = neighbour.name
        self.clock = clock  # steady time
        self.clients = [
            HttpClient(addr, "application/json", may_send=may_send) for addr in neighbour.controller
        ]
        self.term = 0  # of its leader, by its latest response
        self.last_response_at: float | None = None  # to a heartbeat, steady time
        self._current = 0  # index of the controller that is asked first
        self._rows: Sequence[CapacityRow] = ()
        self._rows_at = -1e9

    def rows(self, now: float) -> Sequence[CapacityRow]:
        """Its summary of free capacity; empty if the latest one is too old."""
        return self._rows if now - self._rows_at < constants.CELL_CAPACITY_FRESH_S else ()

    def note_capacity(self, rows: Sequence[CapacityRow], now: float) -> None:
        """It has sent a summary of its free capacity."""
        self._rows, self._rows_at = rows, now

    async def offer(self, offer: HandoffOffer) -> HandoffOfferResponse:
        """Its response to an offer; CellError without one."""
        return await self._request(OFFER_PATH, offer, HandoffOfferResponse, constants.CELL_OFFER_S)

    async def heartbeat(self, heartbeat: CellHeartbeat) -> CellHeartbeatResponse:
        """Its response to a heartbeat; CellError without one."""
        response = await self._request(
            HEARTBEAT_PATH, heartbeat, CellHeartbeatResponse, constants.CELL_TIMEOUT_S
        )
        self.term = response.term
        self.last_response_at = self.clock()
        return response

    async def user_request(self, request: UserRequest) -> UserResponse:
        """Its response to a user; CellError without one."""
        return await self._request(USER_PATH, request, UserResponse, constants.FORWARD_TIMEOUT_S)

    async def _request(
        self, path: str, message: msgspec.Struct, kind: type[ResponseType], timeout: float
    ) -> ResponseType:
        """Ask controller after controller, within the time, until the leader responds."""
        raw = orjson.dumps(struct_to_builtins(message))
        until = self.clock() + timeout
        reason = "it has no leader"
        for _ in self.clients:
            left = until - self.clock()
            if left <= 0:
                break
            try:
                client = self.clients[self._current]
                status, answer = await client.request("POST", path, raw, left)
                if status == HTTPStatus.OK:
                    return msgspec.convert(orjson.loads(answer), kind)
                reason = f"it answered {status}"
                if status in FINAL_STATUSES:
                    break
            except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
                reason = str(exc)
            self._current = (self._current + 1) % len(self.clients)
        raise CellError(f"{self.name}: {reason}")

    def close(self) -> None:
        """Close the connections."""
        for client in self.clients:
            client.close()
