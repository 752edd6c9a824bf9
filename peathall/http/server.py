"""HTTP/1.1 server on asyncio protocols and httptools."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from urllib.parse import unquote

import httptools

from peathall import constants
from peathall.http.message import Request, Response

log = logging.getLogger("peathall.http")


Handler = Callable[[Request], Awaitable[Response]]


class ConnectionPhase(Enum):
    """A caller's connection: one request at a time."""

    IDLE = auto()  # between requests
    READING = auto()  # a request is arriving
    SERVING = auto()  # the handler is at work
    CLOSED = auto()


class ServerConnection(asyncio.Protocol):
    """One caller. Garbage ends this connection and touches no other."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.phase = ConnectionPhase.IDLE
        self.since = 0.0
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body: list[bytes] = []
        self.size = 0
        self.backlog: list[bytes] = []

    def _enter(self, phase: ConnectionPhase) -> None:
        if self.phase is not ConnectionPhase.CLOSED:
            self.phase = phase
            self.since = self.server.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: a caller has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._enter(ConnectionPhase.IDLE)
        self.server.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is gone."""
        self._enter(ConnectionPhase.CLOSED)
        self.server.connections.pop(self, None)

    def close(self) -> None:
        """End the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes have arrived."""
        if self.phase is ConnectionPhase.CLOSED:
            return
        if self.phase is ConnectionPhase.SERVING:
            # Requests are not pipelined; a caller that does it anyway is served
            # in order, within the size of one request.
            self.backlog.append(data)
            if sum(map(len, self.backlog)) > constants.MAX_BODY:
                self.close()
            return
        if self.phase is ConnectionPhase.IDLE:
            self._enter(ConnectionPhase.READING)
        self.size += len(data)
        if self.size > constants.MAX_BODY + 16 * 1024:
            self._refuse(400)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)

    def _refuse(self, status: int) -> None:
        if self.transport is not None and self.phase is not ConnectionPhase.CLOSED:
            self.transport.write(Response(status, close=True).encode())
            self.transport.close()
        self._enter(ConnectionPhase.CLOSED)

    # httptools callbacks
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
        if self.phase is not ConnectionPhase.READING:
            return
        body = b"".join(self.body)
        path, _, query = self.url.decode("latin-1").partition("?")
        request = Request(self.parser.get_method().decode("latin-1"), unquote(path), query, body)
        keep = self.parser.should_keep_alive()
        self._enter(ConnectionPhase.SERVING)
        self.task = self.server.loop.create_task(self._serve(request, keep))

    async def _serve(self, request: Request, keep: bool) -> None:
        if len(request.body) > constants.MAX_BODY:
            response = Response(400, close=True)
        else:
            try:
                response = await self.server.handler(request)
            except Exception:
                log.exception("request %s %s failed", request.method, request.path)
                response = Response(500)
        if not keep:
            response.close = True
        if self.phase is ConnectionPhase.CLOSED or self.transport is None:
            return
        self.transport.write(response.encode())
        if response.close:
            self.transport.close()
            self._enter(ConnectionPhase.CLOSED)
            return
        self.size = 0
        self._enter(ConnectionPhase.IDLE)
        waiting, self.backlog = self.backlog, []
        for data in waiting:
            self.data_received(data)


class HttpServer:
    """Listens on one address; keeps idle and slow callers from using up the sockets."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.connections: dict[ServerConnection, None] = {}  # ordered: oldest first
        self.loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            # After a take-over all workers connect within a second.
            backlog=self.max_connections,
            reuse_address=True,
        )
        self._sweep()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def crowded(self) -> bool:
        """Callers who can as well connect anew for every request should do so."""
        return len(self.connections) > constants.CROWDED_SHARE * self.max_connections

    def admit(self, connection: ServerConnection) -> None:
        """A new caller; beyond the limit the idlest one has to go."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            idle = [x for x in self.connections if x.phase is not ConnectionPhase.SERVING]
            oldest = min(idle or [connection], key=lambda x: x.since)
            self.connections.pop(oldest, None)
            oldest.close()

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            age = now - connection.since
            if (connection.phase is ConnectionPhase.IDLE and age > constants.IDLE_CONNECTION_S) or (
                connection.phase is ConnectionPhase.READING and age > constants.SLOW_REQUEST_S
            ):
                connection.close()
        self._sweeper = self.loop.call_later(constants.SWEEP_S, self._sweep)

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
