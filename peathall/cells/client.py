"""Client of another cell, which finds the leader among the cell's controllers."""

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

# Statuses with which every controller of the cell would respond. NOT_FOUND is not one of them:
# cells may be off at some of the controllers only.
FINAL_STATUSES = (HTTPStatus.BAD_REQUEST, HTTPStatus.FORBIDDEN, HTTPStatus.CONFLICT)

ResponseType = TypeVar("ResponseType")


class CellClient:
    """One other cell: its leader's address, its free capacity, and when it last responded."""

    def __init__(
        self, neighbour: Neighbour, may_send: Callable[[], bool], clock: Callable[[], float]
    ) -> None:
        self.name = neighbour.name
        self.clock = clock  # monotonic time
        self.clients = [
            HttpClient(addr, "application/json", may_send=may_send) for addr in neighbour.controller
        ]
        self.term = 0  # of the cell's leader, from its latest response
        self.last_response_at: float | None = None  # to a heartbeat, monotonic time
        self._preferred = 0  # index of the controller that gets the next request
        self._rows: Sequence[CapacityRow] = ()
        self._rows_at = -1e9

    def rows(self, now: float) -> Sequence[CapacityRow]:
        """The cell's latest summary of free capacity; empty if that is too old."""
        return self._rows if now - self._rows_at < constants.CELL_CAPACITY_MAX_AGE_S else ()

    def note_capacity(self, rows: Sequence[CapacityRow], now: float) -> None:
        """Keep a summary of free capacity that the cell has sent."""
        self._rows, self._rows_at = rows, now

    async def offer(self, offer: HandoffOffer) -> HandoffOfferResponse:
        """Send an offer and return the response; CellError if there is none."""
        return await self._request(
            OFFER_PATH, offer, HandoffOfferResponse, constants.CELL_OFFER_TIMEOUT_S
        )

    async def heartbeat(self, heartbeat: CellHeartbeat) -> CellHeartbeatResponse:
        """Send a heartbeat and return the response; CellError if there is none."""
        response = await self._request(
            HEARTBEAT_PATH, heartbeat, CellHeartbeatResponse, constants.CELL_HEARTBEAT_TIMEOUT_S
        )
        self.term = response.term
        self.last_response_at = self.clock()
        return response

    async def user_request(self, request: UserRequest) -> UserResponse:
        """Pass on a user's request and return the response; CellError if there is none."""
        return await self._request(USER_PATH, request, UserResponse, constants.FORWARD_TIMEOUT_S)

    async def _request(
        self, path: str, message: msgspec.Struct, response_type: type[ResponseType], timeout: float
    ) -> ResponseType:
        """Send the message to one controller after another until the leader responds, for at most
        `timeout` seconds."""
        raw = orjson.dumps(struct_to_builtins(message))
        deadline = self.clock() + timeout
        reason = "it has no leader"
        for _ in self.clients:
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                break
            try:
                client = self.clients[self._preferred]
                status, body = await client.request("POST", path, raw, remaining_s)
                if status == HTTPStatus.OK:
                    return msgspec.convert(orjson.loads(body), response_type)
                reason = f"it answered {status}"
                if status in FINAL_STATUSES:
                    break
            except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
                reason = str(exc)
            self._preferred = (self._preferred + 1) % len(self.clients)
        raise CellError(f"{self.name}: {reason}")

    def close(self) -> None:
        """Close the connections."""
        for client in self.clients:
            client.close()
