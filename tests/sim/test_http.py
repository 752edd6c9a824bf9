"""Invalid, slow and idle clients do not affect other clients."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import msgspec

from peathall import constants
from peathall.controller.controller import Controller
from peathall.http.client import HttpClient
from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.operator_config.settings import OperatorSettings
from peathall.protocol.heartbeats import Heartbeat
from tests.sim.days import virtual_loop
from tests.sim.net import HOST, Host, VirtualLoop
from tests.sim.sites import controller_settings


async def echo(request: Request) -> Response:
    return Response(200, request.body)


class RawConnection(asyncio.Protocol):
    """A client's connection without HTTP; keeps the bytes received."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False

    def data_received(self, data: bytes) -> None:
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True


def run_scenario(scenario: Callable[[VirtualLoop], Awaitable[None]]) -> None:
    with virtual_loop(1) as loop:
        context = contextvars.copy_context()
        context.run(HOST.set, Host("10.0.0.1"))
        loop.run_until_complete(context.run(loop.create_task, scenario(loop)))  # type: ignore[arg-type]


async def connect_and_send(loop: VirtualLoop, data: bytes) -> RawConnection:
    transport, protocol = await loop.create_connection(RawConnection, "10.0.0.1", 80)
    transport.write(data)
    return protocol  # type: ignore[no-any-return]


def test_invalid_and_slow_requests_end_only_their_own_connection() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        server = HttpServer(echo, 100)
        await server.start("10.0.0.1", 80)
        client = HttpClient("10.0.0.1:80")
        garbage = await connect_and_send(loop, b"\x00\xffnot http\r\n\r\n")
        huge = await connect_and_send(
            loop, b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 90_000
        )
        slow = await connect_and_send(loop, b"POST / HTTP/1.1\r\nContent-Le")
        idle = await connect_and_send(loop, b"")
        assert await client.request("POST", "/", b"hello") == (200, b"hello")
        await asyncio.sleep(1.0)
        assert garbage.data.startswith(b"HTTP/1.1 400")
        assert huge.data.startswith(b"HTTP/1.1 400")
        await asyncio.sleep(
            constants.REQUEST_RECEIVE_TIMEOUT_S + 2 * constants.CONNECTION_SWEEP_INTERVAL_S
        )
        assert slow.closed
        assert not idle.closed
        await asyncio.sleep(constants.IDLE_CONNECTION_TIMEOUT_S)
        assert idle.closed
        assert await client.request("POST", "/", b"again") == (200, b"again")

    run_scenario(scenario)


def test_idle_clients_cannot_use_up_the_sockets() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        server = HttpServer(echo, 10)
        await server.start("10.0.0.1", 80)
        idle = [await connect_and_send(loop, b"") for _ in range(30)]
        response = await HttpClient("10.0.0.1:80").request("POST", "/", b"hello")
        assert response == (200, b"hello")
        assert len(server.connections) <= 10
        assert sum(protocol.closed for protocol in idle) >= 20

    run_scenario(scenario)


def test_more_workers_than_sockets_take_turns_and_displace_no_user() -> None:
    """After a failover 970 workers connect to one controller that may open 1,200 sockets."""

    class StubLeader:
        def __init__(self) -> None:
            self.heartbeats = 0

        async def handle_heartbeat(self, report: Heartbeat) -> tuple[int, dict[str, Any]]:
            self.heartbeats += 1
            return 200, {"mandate": 1, "writs": []}

    async def scenario(loop: VirtualLoop) -> None:
        settings = controller_settings(0)
        limits = msgspec.structs.replace(settings.params.machine_limits, fd_limit=1200)
        params = msgspec.structs.replace(settings.params, machine_limits=limits)
        controller = Controller(
            msgspec.structs.replace(settings, params=params), OperatorSettings(), lambda: 0.0
        )
        controller.assemble()
        leader: Any = StubLeader()
        controller.leader = leader
        await controller.public_listener.start("10.0.0.1", 80)
        users = [await connect_and_send(loop, b"GET /healthz HTTP/1.1\r\n\r\n") for _ in range(100)]
        peak = 0

        async def worker(number: int) -> None:
            nonlocal peak
            client = HttpClient("10.0.0.1:80", max_idle=1)
            await asyncio.sleep(number / 970)
            for tick in range(4):
                report = {"hall": f"m-{number}", "tenure": 1, "tick": tick, "parcels": []}
                status, _ = await client.request("POST", "/checkin", cbor2.dumps(report), 4.0)
                assert status == 200
                peak = max(peak, len(controller.public_listener.connections))
                await asyncio.sleep(2.0 + loop.rng.random())

        await asyncio.gather(*(worker(number) for number in range(970)))
        assert leader.heartbeats == 4 * 970
        assert not any(user.closed for user in users)
        assert peak < controller.public_listener.max_connections

    run_scenario(scenario)


def test_paths_and_methods() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        controller = Controller(controller_settings(0), OperatorSettings(), lambda: 0.0)
        controller.assemble()
        expected: list[tuple[str, str, bytes, int]] = [
            ("GET", "/healthz", b"", 200),
            ("POST", "/healthz", b"", 405),
            ("GET", "/work", b"", 405),
            ("DELETE", "/work/j-1", b"", 405),
            ("GET", "/work/j-1/withdraw", b"", 405),
            ("GET", "/nowhere", b"", 404),
            ("GET", "/work/nonsense", b"", 404),
            ("POST", "/work", b"garbage", 400),
            ("POST", "/checkin", b"garbage", 400),
            # Neither a leader nor the state service can be reached here.
            ("GET", "/work/j-1", b"", 503),
            ("POST", "/work/j-1/withdraw", b"", 503),
        ]
        for method, path, body, status in expected:
            response: Any = await controller.public_routes.serve(Request(method, path, "", body))
            assert (method, path, response.status) == (method, path, status)
            assert (response.retry_after is not None) == (status == 503)

    run_scenario(scenario)


def test_requests_in_one_segment_are_answered_in_order() -> None:
    """Regression: the second of two requests that arrived together was dropped."""

    async def scenario(loop: VirtualLoop) -> None:
        async def slowly_first(request: Request) -> Response:
            await asyncio.sleep(1.0 if request.path == "/1" else 0.0)
            return Response(200, request.path.encode())

        await HttpServer(slowly_first, 10).start("10.0.0.1", 80)
        requests = b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % n for n in (1, 2, 3))
        connection = await connect_and_send(loop, requests + b"GET /4 HTTP/1.1\r\n")
        await asyncio.sleep(2.0)
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in connection.data.split(b"HTTP/1.1")]
        assert bodies[1:] == [b"/1", b"/2", b"/3"]
        assert not connection.closed

    run_scenario(scenario)


def test_403_has_its_reason() -> None:
    """Regression: it went out as "403 Status"."""
    assert Response(403).encode().startswith(b"HTTP/1.1 403 Forbidden\r\n")
