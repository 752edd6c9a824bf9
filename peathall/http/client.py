"""HTTP/1.1 client with a connection pool, based on asyncio protocols and httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from peathall import constants


class NoAnswerError(Exception):
    """A request got no usable response. If `sent`, the server may have carried it out."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class ClientConnection(asyncio.Protocol):
    """A connection to a server, with at most one request in flight."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.response: asyncio.Future[tuple[int, bytes]] | None = None
        self.body: list[bytes] = []
        self.closed = False
        self.reusable = True  # the server keeps the connection open after its response
        self.idle_since = 0.0  # loop time

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed."""
        self.closed = True
        self.fail("connection lost")

    def fail(self, reason: str) -> None:
        """Fail the request in flight, if its response has not arrived."""
        if self.response is not None and not self.response.done():
            self.response.set_exception(NoAnswerError(reason, sent=True))

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes have arrived."""
        if self.parser is None:
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.fail("garbled answer")
            self.abort()

    def on_body(self, body: bytes) -> None:
        """httptools: a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """httptools: the response is complete."""
        assert self.parser is not None
        self.reusable = self.parser.should_keep_alive()
        if self.response is not None and not self.response.done():
            self.response.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send an encoded request. The future's result is status and body of the response; its
        exception is NoAnswerError."""
        assert self.transport is not None
        self.parser = httptools.HttpResponseParser(self)
        self.body = []
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.response

    def abort(self) -> None:
        """Close the connection at once; `connection_lost` then fails a request in flight."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class HttpClient:
    """Client for one address, with a pool of connections that each carry one request at a time.

    At most `max_idle` idle connections are kept for later requests. `may_send` is called right
    before a request is written: connecting takes time, and a leader whose lease has expired
    meanwhile must not send. The number of requests in flight is not limited.
    """

    def __init__(
        self,
        addr: str,
        content_type: str = "application/cbor",
        max_idle: int = 4,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        host, _, port = addr.rpartition(":")
        self.addr = addr
        self.host = host
        self.port = int(port)
        self.content_type = content_type
        self.max_idle = max_idle
        self.may_send = may_send
        self.idle: list[ClientConnection] = []
        self.in_flight = 0  # requests

    async def _connect(self, timeout: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed and now - connection.idle_since < constants.POOL_MAX_IDLE_S:
                return connection
            connection.abort()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(ClientConnection, self.host, self.port)
        except (OSError, TimeoutError) as exc:
            reason = f"cannot connect to {self.addr}: {exc or 'timeout'}"
            raise NoAnswerError(reason, sent=False) from None
        return connection

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout: float = 5.0
    ) -> tuple[int, bytes]:
        """Send a request; status and body of the response, or NoAnswerError if there is none.
        `timeout` (s) applies to connecting, which `constants.CONNECT_TIMEOUT_S` limits as well, and
        once more to the response."""
        self.in_flight += 1
        try:
            return await self._request(method, path, body, timeout)
        finally:
            self.in_flight -= 1

    async def _request(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.addr}\r\n"
            f"Content-Type: {self.content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection = await self._connect(min(constants.CONNECT_TIMEOUT_S, timeout))
        if not self.may_send():
            # The process may have been suspended since the caller checked its lease.
            connection.abort()
            raise NoAnswerError("no longer entitled to send", sent=False)
        response = await self._exchange(connection, head.encode() + body, timeout)
        if connection.reusable and not connection.closed and len(self.idle) < self.max_idle:
            connection.idle_since = asyncio.get_running_loop().time()
            self.idle.append(connection)
        else:
            connection.abort()
        return response

    async def _exchange(
        self, connection: ClientConnection, data: bytes, timeout: float
    ) -> tuple[int, bytes]:
        """Send the encoded request and wait for the response."""
        response = connection.send(data)
        reason = f"no answer from {self.addr}"
        timer = asyncio.get_running_loop().call_later(timeout, connection.fail, reason)
        try:
            return await response
        except BaseException:
            # Cancellation as well: a late response must not be taken for that of a later request.
            connection.abort()
            if response.done() and not response.cancelled():
                response.exception()  # retrieves it, or asyncio warns when the caller is cancelled
            raise
        finally:
            timer.cancel()

    def close(self) -> None:
        """Close the idle connections. A connection with a request in flight stays open until the
        response has arrived, and is then pooled as usual."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
