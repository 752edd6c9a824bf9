"""Heartbeat requests: duplicates, acknowledgement, confirmation, and the response."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

from peathall.cluster.machine import NO_HEARTBEAT, Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.protocol.heartbeats import Heartbeat, encode_heartbeat_response
from peathall.workers.commands import DueCommands
from peathall.workers.events import WorkerListener
from peathall.workers.fencing import FencingTokenCounter
from peathall.workers.reconciler import Reconciler

log = logging.getLogger("peathall.workers")


class HeartbeatResponse(NamedTuple):
    """The response to a heartbeat: HTTP status and encoded body."""

    status: int
    body: dict[str, Any] | None


# An error without a body, so that a refused heartbeat does not renew the worker's lease.
REFUSED = HeartbeatResponse(503, None)


class HeartbeatHandler:
    """Checks and applies heartbeats, and builds the responses."""

    def __init__(
        self,
        cluster: ClusterState,
        tokens: FencingTokenCounter,
        reconciler: Reconciler,
        commands: DueCommands,
        listener: WorkerListener,
    ) -> None:
        self.cluster = cluster
        self.tokens = tokens
        self.reconciler = reconciler
        self.commands = commands
        self.listener = listener

    def handle(self, heartbeat: Heartbeat, now: float) -> HeartbeatResponse:
        """Apply a heartbeat and return the response, which renews the worker's lease."""
        if self.cluster.was_deleted(heartbeat.machine):
            return REFUSED  # a delayed copy from a machine that no longer exists
        known = self.cluster.machines.get(heartbeat.machine)
        position = (heartbeat.epoch, heartbeat.sequence)
        if known is not None and (position <= known.last_received or heartbeat.epoch < known.epoch):
            return REFUSED  # a duplicate, or a heartbeat of an epoch that has ended
        machine = known or self.cluster.machine(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, MachinePhase.UP, now
        )
        if machine.last_received == NO_HEARTBEAT:
            machine.registered_at = machine.idle_since = now
        machine.last_received = position
        self._note_acknowledgement(machine, heartbeat.fencing_token)
        # A heartbeat older than an applied response to direct commands gets a response only.
        if position > (machine.epoch, machine.sequence):
            self.reconciler.apply(machine, heartbeat, now, conclusive=True)
            if not machine.confirmed and heartbeat.fencing_token >= self.tokens.lowest:
                self._confirm(machine)
        token = self.tokens.current
        machine.lease_renewed_at = now
        machine.last_response_token = token
        machine.last_response_at = now
        return HeartbeatResponse(
            200, encode_heartbeat_response(token, self.commands.for_response(machine, now))
        )

    def _note_acknowledgement(self, machine: Machine, seen_token: int) -> None:
        """Record whether the worker has received the response to its previous heartbeat.

        If it has not, all responses and commands to the worker may be getting lost, so its machine
        takes no new work until a heartbeat carries the token of the latest response.
        """
        if seen_token >= machine.last_response_token:
            if machine.unacknowledged_since is not None:
                log.info("machine %s acknowledges heartbeat responses again", machine.name)
                self.listener.state_changed()
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            machine.unacknowledged_since = machine.last_response_at
            log.info(
                "machine %s takes no new work: it did not acknowledge the last heartbeat response",
                machine.name,
            )

    def _confirm(self, machine: Machine) -> None:
        machine.confirmed = True
        self.listener.machine_confirmed(machine)
        log.info(
            "machine %s confirmed with %d tasks: its heartbeat has a fencing token of this term",
            machine.name,
            len(machine.attempts),
        )
        self.listener.state_changed()
