"""The project's own stand-in of the state service, with the limits of one deployment.

    store.py PORT VALUE_KB TXN_OPS RPS WRITE_RPS

The stand-in is `tests/sim/state.py`, as `bench/stand_in.py` starts it, with limits as arguments.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from bench.stand_in import HOST, RealLoop
from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.protocol import codec
from tests.sim.net import CALLER
from tests.sim.state import StateService

KEPT_CHANGES = 10_000  # the service keeps the last 10,000 changes, says PROTOCOL-peathall.md


class State(StateService):
    """The stand-in with the one rule that it lacks: 410 for a watch that begins too long ago."""

    async def watch(self, query: dict[str, str]) -> Response:
        """Answers a watch, or 410 if changes after the given revision are not kept any more."""
        if len(self.changes) > KEPT_CHANGES:
            newest_lost = self.changes[-KEPT_CHANGES - 1][0]
            if newest_lost > int(query["after"]):
                return codec.cbor_response(410, {"error": "too old"})
        return await super().watch(query)

    async def handle(self, request: Request) -> Response:
        """Answers a request; POST /age?N makes N changes of a key that nobody reads."""
        if request.path == "/age":
            for _ in range(int(request.query)):
                self.revision += 1
                self.data["aged"] = ({}, self.revision, None)
                self.record_change("aged", {}, False)
            return codec.cbor_response(200, {})
        return await super().handle(request)


async def serve(loop: Any, port: int, limits: list[float]) -> None:
    """Serves the state service on loopback."""
    CALLER.set("")
    state = State(loop)
    state.page_size = 60  # a page of the largest values stays within 512 KiB
    state.value_kb, state.txn_ops = limits[0], int(limits[1])
    state.rate_limits = (limits[2], limits[3])
    await HttpServer(state.handle, 1000).start(HOST, port)
    await state.expire_leases()


def main() -> None:
    """Runs until it is killed."""
    loop = RealLoop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(serve(loop, int(sys.argv[1]), [float(a) for a in sys.argv[2:6]]))


if __name__ == "__main__":
    main()
