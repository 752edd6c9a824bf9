"""Handler for workers' heartbeats: the leader answers them, other controllers redirect them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from peathall.controller.leader_directory import LeaderDirectory
from peathall.http.message import Request, Response
from peathall.http.request_queue import RequestClass, RequestQueue
from peathall.peers.redirected_workers import RedirectedWorkers
from peathall.protocol import codec
from peathall.protocol.errors import encode_error
from peathall.protocol.heartbeats import Heartbeat, decode_heartbeat, encode_redirect

# Looked up once: in Python 3.11 each access to a member of an enum class takes some 0.4 us.
OK = HTTPStatus.OK


class WorkerRoutes:
    """Admits and decodes the heartbeats of workers, and encodes the responses."""

    def __init__(
        self,
        leaders: LeaderDirectory,
        redirected: RedirectedWorkers,
        queue: RequestQueue,
        near_connection_limit: Callable[[], bool],
    ) -> None:
        self._leaders = leaders
        self._redirected = redirected
        self._queue = queue
        self._near_connection_limit = near_connection_limit
        self._loop = asyncio.get_running_loop()

    async def heartbeat(self, request: Request) -> Response:
        """Handle a worker's heartbeat."""
        response = await self._answer(request)
        # Near the connection limit, each connection of a worker serves one heartbeat, so that users
        # can still connect. Closing idle connections instead would occasionally lose a heartbeat
        # in transit.
        response.close = self._near_connection_limit()
        return response

    async def _answer(self, request: Request) -> Response:
        if not await self._queue.admit(RequestClass.HEARTBEAT):
            return codec.cbor_response(HTTPStatus.SERVICE_UNAVAILABLE, encode_error("too late"))
        try:
            heartbeat = decode_heartbeat(codec.decode_cbor_map(request.body))
        except codec.MalformedError as exc:
            return codec.cbor_response(HTTPStatus.BAD_REQUEST, encode_error(str(exc)))
        leader = self._leaders.local
        if leader is None:
            return self._redirect(heartbeat)
        status, answer = await leader.handle_heartbeat(heartbeat)
        if status == OK:
            return codec.cbor_response(OK, answer)
        return codec.cbor_response(HTTPStatus.SERVICE_UNAVAILABLE, encode_error("not entitled now"))

    def _redirect(self, heartbeat: Heartbeat) -> Response:
        self._redirected.note(
            heartbeat.machine, (heartbeat.epoch, heartbeat.sequence), self._loop.time()
        )
        leader_name = self._leaders.remote_name()
        body = encode_error("no leader") if leader_name is None else encode_redirect(leader_name)
        return codec.cbor_response(HTTPStatus.MISDIRECTED_REQUEST, body)
