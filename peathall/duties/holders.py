"""The way from a leader to the holders of duties, and why work waits for them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import orjson

from peathall import constants
from peathall.duties.board import DutyBoard
from peathall.duties.model import (
    ActionRequest,
    ActionResult,
    Duty,
    HolderRecord,
    Outcome,
)
from peathall.http.client import NoAnswerError
from peathall.protocol.codec import struct_to_builtins

# Sends a message (name of a controller, path, body, timeout in s) to another controller; gives
# status and body of its answer, or raises NoAnswerError.
Send = Callable[[str, str, bytes, float], Awaitable[tuple[int, bytes]]]

# Performs a request at this controller.
Perform = Callable[[ActionRequest], Awaitable[ActionResult]]


class WaitingReasons:
    """Why work waits, by duty, as it was last found out. Operators see the texts."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._found: dict[Duty, tuple[str, float]] = {}  # reason, and steady time of finding it

    def note(self, duty: Duty, why: str) -> None:
        """Work of the duty waits, for this reason."""
        self._found[duty] = (why, self._loop.time())

    def clear(self, duty: Duty) -> None:
        """Work of the duty was done."""
        self._found.pop(duty, None)

    def recent(self) -> dict[str, str]:
        """Reasons by duty, without old ones: what waits is tried again every second."""
        now = self._loop.time()
        return {
            duty.value: why
            for duty, (why, at) in self._found.items()
            if now - at < constants.DUTY_WAITING_S
        }


class Holders:
    """Sends requests to the holders of duties, for one leader term."""

    def __init__(self, name: str, board: DutyBoard, send: Send, perform: Perform) -> None:
        """`name`: of this controller, whose own executors are reached by `perform`."""
        self._name = name
        self._board = board
        self._send = send
        self._perform = perform
        self.waiting = WaitingReasons()

    def current(self, duty: Duty) -> HolderRecord | None:
        """The holder, as far as is known here; None if the duty has none."""
        return self._board.holders.get(duty)

    async def ask(self, holder: HolderRecord, request: ActionRequest) -> ActionResult:
        """The holder's answer; PENDING if there is none, since it may have got the request."""
        if holder.member == self._name:
            return await self._perform(request)
        try:
            message = orjson.dumps(struct_to_builtins(request))
            status, raw = await self._send(holder.member, "/duty", message, constants.DUTY_ASK_S)
            if status == 200:
                return msgspec.convert(orjson.loads(raw), ActionResult)
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
            return ActionResult(Outcome.PENDING, why=str(exc))
        return ActionResult(Outcome.REFUSED, why=f"answered {status}")
