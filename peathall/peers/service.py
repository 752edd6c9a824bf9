"""What controllers tell one another: forwarded requests, and who hears the workers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import orjson

from peathall import constants
from peathall.config.platform import Peer
from peathall.http.client import HttpClient, NoAnswerError
from peathall.http.message import Request, Response

log = logging.getLogger("peathall.peers")

# The query of a ping that asks for workers turned away, and the field that names them. Sent between
# controllers of different versions: the spelling stays.
REDIRECTED = "knocks"

# Path and body of a request -> status and value of the answer; None if it is not ours to answer.
FeatureHandler = Callable[[str, bytes], Awaitable[tuple[int, Any] | None]]
Handle = Callable[[dict[str, Any]], Awaitable[tuple[int, Any]]]


class PeerView:
    """What the last ping to a peer told."""

    __slots__ = ("client", "heard", "leads", "peer", "redirected")

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.client = HttpClient(peer.addr, "application/json", keep=8)
        self.heard = -1e9
        self.redirected: dict[str, tuple[int, int]] = {}
        self.leads = False


class Peers:
    """Pings of the other controllers, and what they tell."""

    def __init__(
        self,
        peers: list[Peer],
        handle: Handle,
        leads: Callable[[], bool],
        features: Sequence[FeatureHandler] = (),
    ) -> None:
        self.leads = leads
        self.features = features
        self.views = {peer.name: PeerView(peer) for peer in peers}
        self.handle = handle
        self.loop = asyncio.get_running_loop()
        # Worker -> session and sequence number of its latest report here, and when it came.
        self.redirected: dict[str, tuple[tuple[int, int], float]] = {}

    # --- serving -------------------------------------------------------------
    async def serve(self, request: Request) -> Response:
        """A request of another controller."""
        if request.method == "GET" and request.path == "/ping":
            told: dict[str, Any] = {"leads": self.leads()}
            if request.query == REDIRECTED:
                told[REDIRECTED] = self.recently_redirected(self.loop.time())
            return json_response(200, told)
        if request.method == "POST" and request.path == "/forward":
            try:
                message = orjson.loads(request.body)
            except orjson.JSONDecodeError:
                return json_response(400, None)
            if not isinstance(message, dict):
                return json_response(400, None)
            status, value = await self.handle(message)
            return json_response(status, value)
        for feature in self.features:
            answer = await feature(request.path, request.body)
            if answer is not None:
                return json_response(*answer)
        return json_response(404, None)

    async def send(self, name: str, path: str, raw: bytes, timeout: float) -> tuple[int, bytes]:
        """Status and body of a peer's answer; NoAnswerError if there is none in time."""
        view = self.views.get(name)
        if view is None:
            raise NoAnswerError(f"{name} is no controller known here", sent=False)
        return await view.client.request("POST", path, raw, timeout)

    def note_redirected(self, worker: str, order: tuple[int, int], now: float) -> None:
        """We turn a worker's report away. A late copy of an older one is no news."""
        known = self.redirected.get(worker)
        if known is None or order > known[0]:
            self.redirected[worker] = (order, now)

    def recently_redirected(self, now: float) -> dict[str, tuple[int, int]]:
        """Workers that we have turned away lately, with their latest report's number."""
        for worker, (_, at) in list(self.redirected.items()):
            if now - at > constants.REPORT_ORDER_MEMORY_S:
                del self.redirected[worker]
        # All of them, however many: a live machine left out here would look silent to the
        # leader and be deleted.
        return {
            w: order
            for w, (order, at) in self.redirected.items()
            if now - at < constants.REDIRECTED_S
        }

    # --- asking --------------------------------------------------------------
    async def forward(
        self, name: str, message: dict[str, Any], timeout: float, busy: float = 0.0
    ) -> tuple[int, Any]:
        """The leader's answer; NoAnswerError if there is none in time. A leader that answers
        others meanwhile is alive, and may be `busy` for longer than `timeout`."""
        view = self.views.get(name)
        if view is None:
            raise NoAnswerError("unknown peer", sent=False)
        asked = checked = self.loop.time()
        limit = max(timeout, busy)
        request = asyncio.ensure_future(
            view.client.request("POST", "/forward", orjson.dumps(message), limit)
        )
        while not (await asyncio.wait([request], timeout=timeout))[0]:
            if view.heard < checked or self.loop.time() - asked > limit:
                request.cancel()
                raise NoAnswerError(f"no answer from {name}", sent=True)
            checked = self.loop.time()
        status, raw = request.result()
        view.heard = self.loop.time()
        try:
            return status, orjson.loads(raw) if raw else None
        except orjson.JSONDecodeError:
            raise NoAnswerError("garbled answer", sent=True) from None

    async def ping_all(self) -> None:
        """Look at each peer, time and again."""
        while True:
            await asyncio.gather(*(self._ping(view) for view in self.views.values()))
            await asyncio.sleep(constants.PING_S)

    async def _ping(self, view: PeerView) -> None:
        try:
            # Only a leader needs to know which workers report elsewhere.
            path = f"/ping?{REDIRECTED}" if self.leads() else "/ping"
            _, raw = await view.client.request("GET", path, b"", constants.PING_S)
            told = orjson.loads(raw)
            redirected = told.get(REDIRECTED, {})
            view.redirected = {str(k): (int(a), int(b)) for k, (a, b) in redirected.items()}
            view.leads = bool(told["leads"])
            view.heard = self.loop.time()
        except (NoAnswerError, ValueError, KeyError, TypeError, AttributeError):
            view.redirected, view.leads = {}, False

    def heard_any(self, now: float, within: float) -> bool:
        """Whether some peer answered lately."""
        return any(now - view.heard < within for view in self.views.values())

    def leading(self) -> str | None:
        """The peer that has lately said that it leads."""
        return next((v.peer.name for v in self.views.values() if v.leads), None)

    def heartbeats_elsewhere(self, now: float) -> dict[str, tuple[int, int]]:
        """Workers that are alive, since they have reached another controller."""
        found: dict[str, tuple[int, int]] = {}
        for view in self.views.values():
            if now - view.heard < 3 * constants.PING_S:
                for name, order in view.redirected.items():
                    found[name] = max(order, found.get(name, (0, -1)))
        return found


def json_response(status: int, value: Any) -> Response:
    """A response between controllers."""
    return Response(status, orjson.dumps(value), "application/json")
