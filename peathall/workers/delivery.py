"""Direct orders: what is due to a machine, sent without waiting for its next report."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from peathall import constants
from peathall.cluster.machine import Machine
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec
from peathall.protocol.heartbeats import COMMANDS_PATH, Heartbeat, decode_heartbeat
from peathall.store.token_bucket import TokenBucket

log = logging.getLogger("peathall.workers")


class CommandSource(Protocol):
    """Who knows what is due to a machine, and learns from its answer."""

    def commands_due(self, machine: Machine) -> dict[str, Any] | None:
        """The orders that are due now, or None."""

    def note_command_response(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """The machine's report after them."""


class CommandDelivery:
    """Sends direct orders, one request at a time for each machine."""

    def __init__(
        self, source: CommandSource, is_leader: Callable[[], bool], connections: int, rate: float
    ) -> None:
        self.source = source
        self.is_leader = is_leader
        self.loop = asyncio.get_running_loop()
        self.connections = connections  # at most, at once
        self.under_way: dict[str, asyncio.Task[None]] = {}  # by machine
        self.deferrable = TokenBucket(rate)  # of orders that might as well wait for a report
        self._turn = asyncio.Semaphore(connections)
        self._clients: OrderedDict[str, HttpClient] = OrderedDict()  # least lately used first

    def push(self, machine: Machine, deferrable: bool = False) -> None:
        """Send what is due straight to the worker.

        What is deferrable goes out like this only while few such orders do: the more there is to
        start, the more of it waits for the next check-in, which comes anyway and carries all.
        """
        if deferrable and self.deferrable.wait(1, self.loop.time()) > 0:
            return
        if machine.addr and machine.name not in self.under_way and self.is_leader():
            self.under_way[machine.name] = self.loop.create_task(self._deliver(machine))

    async def _deliver(self, machine: Machine) -> None:
        try:
            await asyncio.sleep(0)  # whatever is decided in this turn goes out together
            async with self._turn:
                await self._deliver_now(machine)
        except (NoAnswerError, codec.MalformedError) as exc:
            log.info("direct orders to %s: %s", machine.name, exc)
        finally:
            del self.under_way[machine.name]

    async def _deliver_now(self, machine: Machine) -> None:
        message = self.source.commands_due(machine)
        if message is None or not self.is_leader():
            return
        status, raw = await self._client(machine.addr).request(
            "POST", COMMANDS_PATH, codec.cbor_bytes(message), constants.DIRECT_TIMEOUT_S
        )
        if status != 200:
            log.info("direct orders to %s refused: %d", machine.name, status)
        elif self.is_leader():
            self.source.note_command_response(machine, decode_heartbeat(codec.cbor_map(raw)))

    def _client(self, addr: str) -> HttpClient:
        """A connection to a worker; of the unused ones the oldest are closed, so that
        hundreds of machines do not use up the sockets."""
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = HttpClient(addr, keep=1, may_send=self.is_leader)
        self._clients.move_to_end(addr)
        unused = [
            a for a, other in self._clients.items() if not other.in_flight and other is not client
        ]
        for other in unused[: max(0, len(self._clients) - self.connections)]:
            self._clients.pop(other).close()
        return client

    def forget(self, machine: Machine) -> None:
        """The machine is gone."""
        client = self._clients.pop(machine.addr, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Give up what is under way."""
        for task in self.under_way.values():
            task.cancel()
        for client in self._clients.values():
            client.close()
