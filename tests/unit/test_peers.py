"""Exchange of redirected workers between controllers, and malformed messages."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from peathall.http.message import Request
from peathall.peers.messages import (
    JobRequest,
    MalformedMessageError,
    PingResponse,
    decode,
    decode_job_request,
)
from peathall.peers.redirected_workers import RedirectedWorkers
from peathall.peers.server import PeerServer


def new_peer_server(redirected: RedirectedWorkers) -> PeerServer:
    """The peer server of a follower; every valid forwarded request is answered with 200."""

    async def serve_forwarded(request: JobRequest) -> tuple[int, Any]:
        return 200, None

    return PeerServer(lambda: False, redirected, serve_forwarded)


def test_a_delayed_copy_of_a_heartbeat_does_not_show_that_the_worker_is_alive() -> None:
    redirected = RedirectedWorkers()
    redirected.note("m-1", (1, 7), 0.0)
    assert redirected.recent(1.0) == {"m-1": (1, 7)}
    redirected.note("m-1", (1, 7), 20.0)
    redirected.note("m-1", (1, 5), 20.0)
    assert redirected.recent(21.0) == {}
    redirected.note("m-1", (2, 1), 22.0)
    assert redirected.recent(23.0) == {"m-1": (2, 1)}


def test_a_ping_response_names_all_redirected_workers() -> None:
    """When a response named at most 500 workers, the leader took the others for silent and deleted
    their machines."""

    async def run() -> None:
        redirected = RedirectedWorkers()
        server = new_peer_server(redirected)
        for number in range(970):
            redirected.note(f"m-{number}", (1, 7), server.loop.time())
        with_workers = await server.serve(Request("GET", "/ping", "knocks", b""))
        assert len(orjson.loads(with_workers.body)["knocks"]) == 970
        without_workers = await server.serve(Request("GET", "/ping", "", b""))
        assert "knocks" not in orjson.loads(without_workers.body)  # only a leader asks for them

    asyncio.run(run())


@pytest.mark.parametrize(
    "raw",
    [b"", b"{", b"\xff\xfe", b"null", b"[1]", b'{"op": "query"}', b'{"op": "none", "id": "j-1"}',
     b'{"op": "accept", "job": {}}', b'{"op": "accept", "id": "j-1"}', b'{"op": 3, "id": "j-1"}'],
)  # fmt: skip
def test_an_invalid_forwarded_request_is_malformed(raw: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_job_request(raw)

    async def run() -> None:
        server = new_peer_server(RedirectedWorkers())
        response = await server.serve(Request("POST", "/forward", "", raw))
        assert (response.status, response.body) == (400, b"null")

    asyncio.run(run())


@pytest.mark.parametrize(
    "raw", [b"", b"\xff\xfe", b"null", b"{}", b'{"leads": true, "knocks": {"m-1": 7}}']
)
def test_an_invalid_ping_response_is_malformed(raw: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode(raw, PingResponse)
