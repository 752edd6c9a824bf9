"""Serves requests of other cells: offers, heartbeats, and users' requests for borrowed jobs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
import orjson
from msgspec import Struct

from peathall.cells.borrower import BorrowedJobs
from peathall.cells.client import HEARTBEAT_PATH, OFFER_PATH, USER_PATH, CellClient
from peathall.cells.errors import StaleMessageError
from peathall.cells.heartbeats import HeartbeatSender
from peathall.cells.home import HomeHandoffs
from peathall.cells.model import (
    CellHeartbeat,
    CellHeartbeatResponse,
    HandoffOffer,
    HandoffOfferResponse,
    UserRequest,
    UserResponse,
)
from peathall.cells.settings import CellSettings
from peathall.config.modes import Mode
from peathall.jobs.jobs import Jobs
from peathall.protocol.codec import struct_to_builtins

Message = HandoffOffer | CellHeartbeat | UserRequest


class CellResponse(NamedTuple):
    """Status and body of a response to another cell."""

    status: HTTPStatus
    value: Any


NOT_LEADING = CellResponse(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "not entitled now"})


class CellRequestHandler:
    """Handles the requests of other cells while this controller leads its own cell."""

    def __init__(
        self,
        settings: CellSettings,
        cells: dict[str, CellClient],
        home: HomeHandoffs,
        borrower: BorrowedJobs,
        sender: HeartbeatSender,
        jobs: Jobs,
        is_leader: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.cells = cells
        self.home = home
        self.borrower = borrower
        self.sender = sender
        self.jobs = jobs
        self.is_leader = is_leader
        self.clock = clock  # monotonic time
        self._latest_heartbeats: dict[str, tuple[int, int]] = {}  # cell -> term and sequence
        self._handlers: dict[str, tuple[type[Message], Callable[[Any], Awaitable[Struct]]]] = {
            OFFER_PATH: (HandoffOffer, self._offer),
            HEARTBEAT_PATH: (CellHeartbeat, self._heartbeat),
            USER_PATH: (UserRequest, self._user_request),
        }

    async def serve(self, path: str, raw: bytes) -> CellResponse:
        """Validate and handle a request of another cell, and return the response."""
        if path not in self._handlers:
            return CellResponse(HTTPStatus.NOT_FOUND, None)
        message_type, handle = self._handlers[path]
        try:
            message: Message = msgspec.convert(orjson.loads(raw), message_type)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as exc:
            return CellResponse(HTTPStatus.BAD_REQUEST, {"error": str(exc)})
        if message.cell not in self.cells or message.to != self.settings.name:
            error = f"{message.cell} is no neighbour of {self.settings.name}"
            return CellResponse(HTTPStatus.FORBIDDEN, {"error": error})
        if not self.is_leader():
            return NOT_LEADING
        try:
            response = await handle(message)
        except StaleMessageError as exc:
            return CellResponse(HTTPStatus.CONFLICT, {"error": str(exc)})
        except msgspec.ValidationError as exc:
            return CellResponse(HTTPStatus.BAD_REQUEST, {"error": str(exc)})
        if not self.is_leader():
            return NOT_LEADING
        return CellResponse(HTTPStatus.OK, struct_to_builtins(response))

    async def _offer(self, offer: HandoffOffer) -> HandoffOfferResponse:
        if self.settings.mode is not Mode.ON:
            return HandoffOfferResponse(False, "cells are being retired there")
        reason = await self.borrower.reserve(offer)
        return HandoffOfferResponse(
            reason is None,
            reason or "",
            self.sender.term,
            self.sender.sequence,
            self.sender.task_expiry_s,
        )

    async def _heartbeat(self, heartbeat: CellHeartbeat) -> CellHeartbeatResponse:
        order = (heartbeat.term, heartbeat.sequence)
        if order <= self._latest_heartbeats.get(heartbeat.cell, (0, 0)):
            raise StaleMessageError("a later heartbeat was heard before")
        self._latest_heartbeats[heartbeat.cell] = order
        now = self.clock()
        self.cells[heartbeat.cell].note_capacity(heartbeat.capacity, now)
        rulings = self.home.handle_heartbeat(heartbeat, now)
        return CellHeartbeatResponse(self.sender.term, rulings, self.sender.summary.rows())

    async def _user_request(self, request: UserRequest) -> UserResponse:
        operation = self.jobs.cancel if request.operation == "cancel" else self.jobs.query
        return UserResponse(*await operation(request.job))
