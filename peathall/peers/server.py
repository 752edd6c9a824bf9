"""Server for the other controllers: pings, forwarded requests, routes of optional features."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import orjson

from peathall.http.message import Request, Response
from peathall.peers import messages
from peathall.peers.messages import (
    FORWARD_PATH,
    PING_PATH,
    REDIRECTED_QUERY,
    JobRequest,
    MalformedMessageError,
    PeerResponse,
    PingResponse,
)
from peathall.peers.redirected_workers import RedirectedWorkers

# Handles a forwarded request; returns status and body value of the response.
ForwardedHandler = Callable[[JobRequest], Awaitable[tuple[int, Any]]]


class FeatureRoutes(Protocol):
    """Routes of one optional feature."""

    async def serve(self, path: str, raw: bytes) -> PeerResponse | None:
        """The response; None if the path does not belong to the feature, or the feature is off."""


class PeerServer:
    """Serves requests that arrive at the address for other controllers."""

    def __init__(
        self,
        is_leader: Callable[[], bool],
        redirected: RedirectedWorkers,
        serve_forwarded: ForwardedHandler,
        features: Sequence[FeatureRoutes] = (),
    ) -> None:
        self.is_leader = is_leader  # whether this controller is the leader now
        self.redirected = redirected
        self.serve_forwarded = serve_forwarded
        self.features = features
        self.loop = asyncio.get_running_loop()

    async def serve(self, request: Request) -> Response:
        """The response to a request."""
        if request.method == "GET" and request.path == PING_PATH:
            return self._handle_ping(request)
        if request.method == "POST" and request.path == FORWARD_PATH:
            return await self._handle_forwarded(request)
        for feature in self.features:
            response = await feature.serve(request.path, request.body)
            if response is not None:
                return json_response(*response)
        return json_response(404, None)

    def _handle_ping(self, request: Request) -> Response:
        redirected_requested = request.query == REDIRECTED_QUERY
        response = PingResponse(
            self.is_leader(),
            self.redirected.recent(self.loop.time()) if redirected_requested else None,
        )
        return Response(200, messages.encode(response), "application/json")

    async def _handle_forwarded(self, request: Request) -> Response:
        try:
            job_request = messages.decode_job_request(request.body)
        except MalformedMessageError:
            return json_response(400, None)
        return json_response(*await self.serve_forwarded(job_request))


def json_response(status: int, value: Any) -> Response:
    """A response to another controller."""
    return Response(status, orjson.dumps(value), "application/json")
