"""Requests from a leader to the holders of duties, and the reasons why work waits for holders."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import orjson

from peathall import constants
from peathall.duties.model import (
    ActionRequest,
    ActionResult,
    Duty,
    HolderRecord,
    Outcome,
)
from peathall.duties.record_cache import DutyRecordCache
from peathall.http.client import NoAnswerError
from peathall.protocol.codec import struct_to_builtins

# Sends a message (name of a controller, path, body, timeout in s) to another controller; returns
# status and body of the response, or raises NoAnswerError.
SendMessage = Callable[[str, str, bytes, float], Awaitable[tuple[int, bytes]]]

# Carries out a request at this controller.
PerformAction = Callable[[ActionRequest], Awaitable[ActionResult]]


class WaitReasons:
    """The latest reasons why work of a duty waits, as texts for operators."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._noted: dict[Duty, tuple[str, float]] = {}  # reason, and monotonic time of noting it

    def note(self, duty: Duty, reason: str) -> None:
        """Record the reason why work of the duty waits."""
        self._noted[duty] = (reason, self._loop.time())

    def clear(self, duty: Duty) -> None:
        """Forget the reason, since work of the duty was done."""
        self._noted.pop(duty, None)

    def recent(self) -> dict[str, str]:
        """Reasons by duty, without outdated ones: waiting work is retried every second."""
        now = self._loop.time()
        return {
            duty.value: reason
            for duty, (reason, noted_at) in self._noted.items()
            if now - noted_at < constants.DUTY_WAIT_REASON_MAX_AGE_S
        }


class HolderClient:
    """Sends requests to the holders of duties, for one leader term."""

    def __init__(
        self, name: str, record_cache: DutyRecordCache, send: SendMessage, perform: PerformAction
    ) -> None:
        """`name`: of this controller, which carries out its own requests through `perform`."""
        self._name = name
        self._record_cache = record_cache
        self._send = send
        self._perform = perform
        self.wait_reasons = WaitReasons()

    def current(self, duty: Duty) -> HolderRecord | None:
        """The holder known to this controller; None if the duty has no holder."""
        return self._record_cache.holders.get(duty)

    async def send_request(self, holder: HolderRecord, request: ActionRequest) -> ActionResult:
        """Send a request and return the holder's result.

        PENDING if there is no response, since the holder may have received the request.
        """
        if holder.member == self._name:
            return await self._perform(request)
        try:
            message = orjson.dumps(struct_to_builtins(request))
            status, raw = await self._send(
                holder.member, "/duty", message, constants.DUTY_REQUEST_TIMEOUT_S
            )
            if status == 200:
                return msgspec.convert(orjson.loads(raw), ActionResult)
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
            return ActionResult(Outcome.PENDING, why=str(exc))
        return ActionResult(Outcome.REFUSED, why=f"answered {status}")
