"""A small HTTP/1.1 server and client with CBOR bodies, for the stand-ins and the tests."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import cbor2

HOST = "127.0.0.1"
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


class Record:
    """Appends JSON lines to record.txt; several processes may append to the same file."""

    def __init__(self, path: str, who: str) -> None:
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.who = who

    def write(self, what: str, **fields: Any) -> None:
        line = {"t": round(time.monotonic(), 3), "who": self.who, "what": what, **fields}
        os.write(self.file, json.dumps(line).encode() + b"\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes, bool] | None:
    """First line and body of a message, and whether the connection stays open."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length, keep = 0, True
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        elif name.lower() == "connection" and value.strip().lower() == "close":
            keep = False
    return lines[0], await reader.readexactly(length) if length else b"", keep


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Serve on a loopback port. A handler that returns status 0 leaves the request unanswered."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, body, keep = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                fields = {k: v[0] for k, v in parse_qs(query).items()}
                try:
                    value = cbor2.loads(body) if body else None
                except Exception:
                    value = None
                status, answer = await handler(method, unquote(path), fields, value)
                if not status:
                    break
                raw = cbor2.dumps(answer)
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
                if not keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port, limit=2**20, backlog=1000)


class Connection:
    """A client's connection that stays open from one request to the next."""

    def __init__(self, addr: str) -> None:
        host, _, port = addr.rpartition(":")
        self.host, self.port = host, int(port)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def request(
        self, method: str, path: str, value: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Status and body; status 0 if there is no answer in time."""
        try:
            async with asyncio.timeout(timeout):
                return await self._request(method, path, value)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            return 0, None
        except BaseException:
            self.close()
            raise

    async def _request(self, method: str, path: str, value: Any) -> tuple[int, Any]:
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.host, self.port, limit=2**20)
        reader, writer = self.streams
        body = b"" if value is None else cbor2.dumps(value)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        first, raw, keep = await read_message(reader)
        if not keep:
            self.close()
        return int(first.split(" ")[1]), cbor2.loads(raw) if raw else None


async def ask(
    addr: str, method: str, path: str, value: Any = None, timeout: float = 5.0
) -> tuple[int, Any]:
    """One request on a connection of its own."""
    connection = Connection(addr)
    try:
        return await connection.request(method, path, value, timeout)
    finally:
        connection.close()
