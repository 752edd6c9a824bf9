"""Direct commands, which are sent to a worker without waiting for its next heartbeat."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from msgspec import Struct

from peathall import constants
from peathall.cluster.machine import Machine
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec
from peathall.protocol.heartbeats import COMMANDS_PATH, Heartbeat, decode_heartbeat
from peathall.store.token_bucket import TokenBucket

log = logging.getLogger("peathall.workers")


class CommandSource(Protocol):
    """Chooses the commands for a machine, and applies the worker's response to them."""

    def commands_due(self, machine: Machine) -> dict[str, Any] | None:
        """The encoded request with the commands that are due; None if there are none."""

    def note_command_response(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply the response, which has the form of a heartbeat."""


class DeliveryLimits(Struct, frozen=True):
    """Limits on direct commands."""

    connections: int  # maximum number open at once
    # Deferrable commands beyond this rate wait.
    deferrable_per_s: float = constants.DEFERRABLE_COMMANDS_PER_S


class CommandDelivery:
    """Sends direct commands, one request at a time for each machine.

    At most `connections` requests are open at once, and at most `rate` deferrable commands are sent
    per second.
    """

    def __init__(
        self, source: CommandSource, is_leader: Callable[[], bool], connections: int, rate: float
    ) -> None:
        self.source = source
        self.is_leader = is_leader
        self.loop = asyncio.get_running_loop()
        self.connections = connections
        # By machine; cancelled by close().
        self.requests_in_flight: dict[str, asyncio.Task[None]] = {}
        self.deferrable = TokenBucket(rate)
        self._connection_slots = asyncio.Semaphore(connections)
        # By worker address, the least recently used first.
        self._clients: OrderedDict[str, HttpClient] = OrderedDict()

    def push(self, machine: Machine, deferrable: bool = False) -> None:
        """Begin to send the commands that are due to the machine.

        Deferrable commands above their rate limit wait for the machine's next heartbeat, whose
        response carries all of them: the more there is to start, the more requests this saves.
        """
        if deferrable and self.deferrable.try_acquire(1, self.loop.time()) > 0:
            return
        if machine.addr and machine.name not in self.requests_in_flight and self.is_leader():
            self.requests_in_flight[machine.name] = self.loop.create_task(self._deliver(machine))

    async def _deliver(self, machine: Machine) -> None:
        try:
            await asyncio.sleep(0)  # so that all commands of this event loop pass share one request
            async with self._connection_slots:
                await self._deliver_now(machine)
        except (NoAnswerError, codec.MalformedError) as exc:
            log.info(
                "direct commands to machine %s failed, retry at next heartbeat: %s",
                machine.name,
                exc,
            )
        finally:
            del self.requests_in_flight[machine.name]

    async def _deliver_now(self, machine: Machine) -> None:
        message = self.source.commands_due(machine)
        if message is None or not self.is_leader():
            return
        status, raw = await self._client(machine.addr).request(
            "POST", COMMANDS_PATH, codec.encode_cbor(message), constants.DIRECT_COMMAND_TIMEOUT_S
        )
        if status != 200:
            log.info(
                "direct commands to machine %s refused, retry at next heartbeat: HTTP status %d",
                machine.name,
                status,
            )
        elif self.is_leader():
            self.source.note_command_response(machine, decode_heartbeat(codec.decode_cbor_map(raw)))

    def _client(self, addr: str) -> HttpClient:
        """The HTTP client for a worker.

        The least recently used idle clients beyond `connections` are closed, so that hundreds of
        machines do not use up the sockets.
        """
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = HttpClient(addr, max_idle=1, may_send=self.is_leader)
        self._clients.move_to_end(addr)
        idle = [
            a for a, other in self._clients.items() if not other.in_flight and other is not client
        ]
        for idle_addr in idle[: max(0, len(self._clients) - self.connections)]:
            self._clients.pop(idle_addr).close()
        return client

    def forget(self, machine: Machine) -> None:
        """Close the connection to a machine that is gone."""
        client = self._clients.pop(machine.addr, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Cancel the requests in flight, and close all connections."""
        for task in self.requests_in_flight.values():
            task.cancel()
        for client in self._clients.values():
            client.close()
