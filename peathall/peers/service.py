"""What controllers tell one another: forwarded requests, and who hears the workers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from peathall import constants as c
from peathall.settings import Peer
from peathall.wire.http import HttpClient, NoAnswerError, Request, Response

log = logging.getLogger("peathall.peers")

Handle = Callable[[dict[str, Any]], Awaitable[tuple[int, Any]]]


class PeerView:
    """What the last ping to a peer told."""

    __slots__ = ("client", "heard", "knocks", "peer")

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.client = HttpClient(peer.addr, "application/json", keep=8)
        self.heard = -1e9
        self.knocks: list[str] = []


class Peers:
    def __init__(self, peers: list[Peer], handle: Handle) -> None:
        self.views = {peer.name: PeerView(peer) for peer in peers}
        self.handle = handle
        self.loop = asyncio.get_running_loop()
        self.knocked: dict[str, float] = {}  # worker -> when we last turned it away

    # --- serving -------------------------------------------------------------
    async def serve(self, request: Request) -> Response:
        if request.method == "GET" and request.path == "/ping":
            return json_response(200, {"knocks": self.knocking(self.loop.time())})
        if request.method == "POST" and request.path == "/forward":
            try:
                message = orjson.loads(request.body)
            except orjson.JSONDecodeError:
                return json_response(400, None)
            if not isinstance(message, dict):
                return json_response(400, None)
            status, value = await self.handle(message)
            return json_response(status, value)
        return json_response(404, None)

    def knock(self, worker: str, now: float) -> None:
        self.knocked[worker] = now

    def knocking(self, now: float) -> list[str]:
        """Workers that we have turned away lately."""
        self.knocked = {w: at for w, at in self.knocked.items() if now - at < c.KNOCK_S}
        return list(self.knocked)[-c.KNOCK_NAMES :]

    # --- asking --------------------------------------------------------------
    async def forward(self, name: str, message: dict[str, Any], timeout: float) -> tuple[int, Any]:
        """The leader's answer; NoAnswerError if there is none in time."""
        view = self.views.get(name)
        if view is None:
            raise NoAnswerError("unknown peer", sent=False)
        status, raw = await view.client.request("POST", "/forward", orjson.dumps(message), timeout)
        view.heard = self.loop.time()
        try:
            return status, orjson.loads(raw) if raw else None
        except orjson.JSONDecodeError:
            raise NoAnswerError("garbled answer", sent=True) from None

    async def ping_all(self) -> None:
        while True:
            await asyncio.gather(*(self._ping(view) for view in self.views.values()))
            await asyncio.sleep(c.PING_S)

    async def _ping(self, view: PeerView) -> None:
        try:
            _, raw = await view.client.request("GET", "/ping", b"", c.PING_S)
            view.knocks = [str(name) for name in orjson.loads(raw)["knocks"]]
            view.heard = self.loop.time()
        except (NoAnswerError, ValueError, KeyError, TypeError):
            view.knocks = []

    def heard_any(self, now: float, within: float) -> bool:
        return any(now - view.heard < within for view in self.views.values())

    def knocking_elsewhere(self, now: float) -> set[str]:
        """Workers that are alive, since they have reached another controller."""
        fresh = [view.knocks for view in self.views.values() if now - view.heard < 3 * c.PING_S]
        return {name for knocks in fresh for name in knocks}


def json_response(status: int, value: Any) -> Response:
    return Response(status, orjson.dumps(value), "application/json")
