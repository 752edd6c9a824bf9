"""HTTP/1.1 server based on asyncio protocols and httptools."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from http import HTTPStatus
from urllib.parse import unquote

import httptools

from peathall import constants
from peathall.http.message import Request, Response

log = logging.getLogger("peathall.http")

MAX_HEADERS_BYTES = 16 * 1024  # of request line and headers, in addition to the largest body

Handler = Callable[[Request], Awaitable[Response]]


class ConnectionPhase(Enum):
    """Phase of a client's connection, which carries one request at a time."""

    IDLE = auto()  # between requests
    READING = auto()  # a request is arriving
    SERVING = auto()  # the handler runs
    CLOSED = auto()


class ServerConnection(asyncio.Protocol):
    """A connection from one client. An invalid request closes it, and affects no other connection.

    A handler runs to its end even if the client disconnects, so that a submission which is partly
    committed is completed. The connection references the handler's task to keep it alive.
    """

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.phase = ConnectionPhase.IDLE
        self.phase_since = 0.0  # loop time
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body: list[bytes] = []
        self.size = 0  # bytes of the request so far, headers included
        self.pipelined: list[bytes] = []  # data received while the handler runs
        # Requests that wait for the one being served, each with whether to keep the connection.
        self.waiting: deque[tuple[Request, bool]] = deque()

    def _enter(self, phase: ConnectionPhase) -> None:
        if self.phase is not ConnectionPhase.CLOSED:
            self.phase = phase
            self.phase_since = self.server.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: a client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._enter(ConnectionPhase.IDLE)
        self.server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed."""
        self._enter(ConnectionPhase.CLOSED)
        self.server.connections.pop(self, None)

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes have arrived."""
        if self.phase is ConnectionPhase.CLOSED:
            return
        if self.phase is ConnectionPhase.SERVING:
            # Clients usually do not pipeline. Data that arrives meanwhile is parsed after the
            # response, so that requests are served in order; its size is limited like a body's.
            self.pipelined.append(data)
            if sum(map(len, self.pipelined)) > constants.MAX_BODY_BYTES:
                self.close()
            return
        if self.phase is ConnectionPhase.IDLE:
            self._enter(ConnectionPhase.READING)
        self.size += len(data)
        if self.size > constants.MAX_BODY_BYTES + MAX_HEADERS_BYTES:
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(HTTPStatus.BAD_REQUEST)

    def _reject(self, status: HTTPStatus) -> None:
        if self.transport is not None and self.phase is not ConnectionPhase.CLOSED:
            self.transport.write(Response(status, close=True).encode())
            self.transport.close()
        self._enter(ConnectionPhase.CLOSED)

    def on_message_begin(self) -> None:
        """httptools: a request begins."""
        self.url = b""
        self.body = []

    def on_url(self, url: bytes) -> None:
        """httptools: a part of the path and query."""
        self.url += url

    def on_body(self, body: bytes) -> None:
        """httptools: a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """httptools: the request is complete."""
        if self.phase is ConnectionPhase.CLOSED:
            return
        body = b"".join(self.body)
        path, _, query = self.url.decode("latin-1").partition("?")
        request = Request(self.parser.get_method().decode("latin-1"), unquote(path), query, body)
        keep_alive = self.parser.should_keep_alive()
        if self.phase is ConnectionPhase.SERVING:
            self.waiting.append((request, keep_alive))  # it came in the segment of another request
        else:
            self._begin_serving(request, keep_alive)

    def _begin_serving(self, request: Request, keep_alive: bool) -> None:
        self._enter(ConnectionPhase.SERVING)
        self.task = self.server.loop.create_task(self._serve(request, keep_alive))

    async def _serve(self, request: Request, keep_alive: bool) -> None:
        if len(request.body) > constants.MAX_BODY_BYTES:
            response = Response(HTTPStatus.BAD_REQUEST, close=True)
        else:
            try:
                response = await self.server.handler(request)
            except Exception:
                # Catches every exception: a fault in a handler must fail its own request only.
                log.exception(
                    "handler of request %s %s failed, responding with status 500",
                    request.method,
                    request.path,
                )
                response = Response(HTTPStatus.INTERNAL_SERVER_ERROR)
        if not keep_alive:
            response.close = True
        if self.phase is ConnectionPhase.CLOSED or self.transport is None:
            return
        self.transport.write(response.encode())
        if response.close:
            self.transport.close()
            self._enter(ConnectionPhase.CLOSED)
            return
        if self.waiting:
            self._begin_serving(*self.waiting.popleft())
            return
        self.size = 0
        self._enter(ConnectionPhase.IDLE)
        pipelined, self.pipelined = self.pipelined, []
        for data in pipelined:
            self.data_received(data)


class HttpServer:
    """Server on one address. It closes idle and slow connections, so that they do not exhaust the
    sockets, and beyond `max_connections` the connection that has been inactive for longest."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.connections: dict[ServerConnection, None] = {}  # an ordered set, oldest first
        self.loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on the address; OSError if that fails."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            # After a failover all workers connect within a second.
            backlog=self.max_connections,
            reuse_address=True,
        )
        self._sweep()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def near_limit(self) -> bool:
        """Few connections are left: clients that can reconnect cheaply should close theirs."""
        return len(self.connections) > constants.NEAR_CONNECTION_LIMIT_SHARE * self.max_connections

    def register(self, connection: ServerConnection) -> None:
        """Add a new connection. Beyond the limit, close the connection that has been in its phase
        for longest; those whose request is being served are spared."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            evictable = [x for x in self.connections if x.phase is not ConnectionPhase.SERVING]
            oldest = min(evictable or [connection], key=lambda x: x.phase_since)
            self.connections.pop(oldest, None)
            oldest.close()

    def _sweep(self) -> None:
        """Close idle and slow connections, and start the timer of the next sweep."""
        now = self.loop.time()
        for connection in list(self.connections):
            age = now - connection.phase_since
            if (
                connection.phase is ConnectionPhase.IDLE
                and age > constants.IDLE_CONNECTION_TIMEOUT_S
            ) or (
                connection.phase is ConnectionPhase.READING
                and age > constants.REQUEST_RECEIVE_TIMEOUT_S
            ):
                connection.close()
        self._sweep_timer = self.loop.call_later(constants.CONNECTION_SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Stop listening, and close all connections at once."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
