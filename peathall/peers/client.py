"""Client for the other controllers of the deployment: pings and requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peathall import constants
from peathall.config.platform import Peer
from peathall.http.client import HttpClient, NoAnswerError
from peathall.peers import messages
from peathall.peers.messages import (
    FORWARD_PATH,
    PING_PATH,
    REDIRECTED_QUERY,
    HeartbeatOrder,
    JobRequest,
    MalformedMessageError,
    PeerResponse,
    PingResponse,
)


class PeerView:
    """One other controller: its connections, and the content of its latest ping response."""

    __slots__ = ("client", "is_leader", "last_response_at", "peer", "redirected")

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.client = HttpClient(peer.addr, "application/json", max_idle=8)
        self.last_response_at = -1e9  # loop time; far in the past until the first response
        self.redirected: dict[str, HeartbeatOrder] = {}
        self.is_leader = False


class Peers:
    """Pings the other controllers and sends requests to them."""

    def __init__(self, peers: list[Peer], is_leader: Callable[[], bool]) -> None:
        self.is_leader = is_leader  # whether this controller is the leader now
        self.views = {peer.name: PeerView(peer) for peer in peers}
        self.loop = asyncio.get_running_loop()

    # --- requests ------------------------------------------------------------
    async def send(self, name: str, path: str, raw: bytes, timeout: float) -> tuple[int, bytes]:
        """POST a request to a peer; status and body of its response, or NoAnswerError if there is
        no response within `timeout` seconds."""
        view = self.views.get(name)
        if view is None:
            raise NoAnswerError(f"{name} is no controller known here", sent=False)
        return await view.client.request("POST", path, raw, timeout)

    async def forward(
        self, name: str, request: JobRequest, timeout: float, busy_timeout: float = 0.0
    ) -> PeerResponse:
        """Forward a user's request to the leader `name`.

        NoAnswerError if there is no response within `timeout` seconds. A leader that responds to
        other requests meanwhile is alive but busy: the limit is then `busy_timeout` seconds.
        """
        view = self.views.get(name)
        if view is None:
            raise NoAnswerError("unknown peer", sent=False)
        sent_at = checked_at = self.loop.time()
        limit = max(timeout, busy_timeout)
        response = asyncio.ensure_future(
            view.client.request("POST", FORWARD_PATH, messages.encode(request), limit)
        )
        try:
            while not (await asyncio.wait([response], timeout=timeout))[0]:
                if view.last_response_at < checked_at or self.loop.time() - sent_at > limit:
                    raise NoAnswerError(f"no answer from {name}", sent=True)
                checked_at = self.loop.time()
        finally:
            response.cancel()  # has no effect once it is complete
        status, raw = response.result()
        view.last_response_at = self.loop.time()
        try:
            return PeerResponse(status, messages.decode_value(raw) if raw else None)
        except MalformedMessageError:
            raise NoAnswerError("garbled answer", sent=True) from None

    # --- pings ---------------------------------------------------------------
    async def ping_all(self) -> None:
        """Ping every peer every `constants.PING_INTERVAL_S` seconds. Never returns."""
        while True:
            await asyncio.gather(*(self._ping(view) for view in self.views.values()))
            await asyncio.sleep(constants.PING_INTERVAL_S)

    async def _ping(self, view: PeerView) -> None:
        try:
            # Only the leader uses the list of workers that reach other controllers.
            path = f"{PING_PATH}?{REDIRECTED_QUERY}" if self.is_leader() else PING_PATH
            _, raw = await view.client.request("GET", path, b"", constants.PING_INTERVAL_S)
            response = messages.decode(raw, PingResponse)
        except (NoAnswerError, MalformedMessageError):
            view.redirected, view.is_leader = {}, False
            return
        view.redirected = response.redirected or {}
        view.is_leader = response.is_leader
        view.last_response_at = self.loop.time()

    def any_responded(self, now: float, within_s: float) -> bool:
        """Whether some peer has responded in the last `within_s` seconds."""
        return any(now - view.last_response_at < within_s for view in self.views.values())

    def leader_name(self) -> str | None:
        """Name of the peer whose latest ping response said that it is the leader."""
        return next((view.peer.name for view in self.views.values() if view.is_leader), None)

    def heartbeats_elsewhere(self, now: float) -> dict[str, HeartbeatOrder]:
        """Workers whose heartbeats have recently reached another controller, with the latest of
        these heartbeats. Such a worker is alive."""
        found: dict[str, HeartbeatOrder] = {}
        for view in self.views.values():
            if now - view.last_response_at < 3 * constants.PING_INTERVAL_S:
                for worker, order in view.redirected.items():
                    found[worker] = max(order, found.get(worker, (0, -1)))
        return found
