"""HTTP/1.1 on asyncio protocols and httptools: one server and one client class."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from urllib.parse import unquote

import httptools

from peathall import constants

log = logging.getLogger("peathall.http")

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request:
    """A request as it was received."""

    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, path: str, query: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.body = body


class Response:
    """A response to be sent."""

    __slots__ = ("body", "close", "content_type", "retry_after", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/cbor",
        retry_after: int | None = None,
        close: bool = False,
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.retry_after = retry_after
        self.close = close

    def encode(self) -> bytes:
        """The bytes on the wire."""
        head = (
            f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}\r\n"
            f"Content-Type: {self.content_type}\r\nContent-Length: {len(self.body)}\r\n"
        )
        if self.retry_after is not None:
            head += f"Retry-After: {self.retry_after}\r\n"
        if self.close:
            head += "Connection: close\r\n"
        return head.encode() + b"\r\n" + self.body


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
        return len(self.connections) > constants.CROWDED * self.max_connections

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


class NoAnswerError(Exception):
    """No usable answer. `sent` tells whether the request may have been carried out."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class ClientConnection(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.body: list[bytes] = []
        self.closed = False
        self.reusable = True
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is gone."""
        self.closed = True
        self._fail("connection lost")

    def _fail(self, why: str) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(NoAnswerError(why, sent=True))

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes have arrived."""
        if self.parser is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail("garbled answer")
            self.abort()

    def on_body(self, body: bytes) -> None:
        """httptools: a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """httptools: the answer is complete."""
        assert self.parser is not None
        self.reusable = self.parser.should_keep_alive()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send a request; the future gives status and body."""
        assert self.transport is not None
        self.parser = httptools.HttpResponseParser(self)
        self.body = []
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.answer

    def abort(self) -> None:
        """End the connection."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class HttpClient:
    """Requests to one address over kept connections, one request at a time on each."""

    def __init__(
        self,
        addr: str,
        content_type: str = "application/cbor",
        keep: int = 4,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        host, _, port = addr.rpartition(":")
        self.addr = addr
        self.host = host
        self.port = int(port)
        self.content_type = content_type
        self.keep = keep
        self.may_send = may_send
        self.idle: list[ClientConnection] = []
        self.busy = 0  # requests under way

    async def _connect(self, timeout: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed and now - connection.idle_since < constants.POOL_IDLE_S:
                return connection
            connection.abort()
        try:
            _, made = await asyncio.wait_for(
                loop.create_connection(ClientConnection, self.host, self.port), timeout
            )
        except (OSError, TimeoutError) as exc:
            why = f"cannot connect to {self.addr}: {exc or 'timeout'}"
            raise NoAnswerError(why, sent=False) from None
        return made

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout: float = 5.0
    ) -> tuple[int, bytes]:
        """Status and body of the answer, or NoAnswerError."""
        self.busy += 1
        try:
            return await self._request(method, path, body, timeout)
        finally:
            self.busy -= 1

    async def _request(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.addr}\r\n"
            f"Content-Type: {self.content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection = await self._connect(min(constants.CONNECT_S, timeout))
        if not self.may_send():
            # Whoever asked for it may have stood still since: it must not leave after that.
            connection.abort()
            raise NoAnswerError("no longer entitled to send", sent=False)
        try:
            answer = await asyncio.wait_for(connection.send(head.encode() + body), timeout)
        except TimeoutError:
            connection.abort()
            raise NoAnswerError(f"no answer from {self.addr}", sent=True) from None
        except BaseException:
            connection.abort()
            raise
        if connection.reusable and not connection.closed and len(self.idle) < self.keep:
            connection.idle_since = asyncio.get_running_loop().time()
            self.idle.append(connection)
        else:
            connection.abort()
        return answer

    def close(self) -> None:
        """End the connections that are not in use."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
