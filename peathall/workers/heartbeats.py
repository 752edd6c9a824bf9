"""Heartbeats as requests: copies, acknowledgement, confirmation, and the answer."""

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
    """The answer to a heartbeat: HTTP status and encoded body."""

    status: int
    body: dict[str, Any] | None


# A refused heartbeat gets no answer that the worker could take for a renewal of its lease.
REFUSED = HeartbeatResponse(503, None)


class HeartbeatHandler:
    """Answers heartbeats."""

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
        """Apply a heartbeat and answer it, which renews the lease of the worker."""
        if self.cluster.was_deleted(heartbeat.machine):
            return REFUSED  # a delayed copy from a machine that no longer exists
        known = self.cluster.machines.get(heartbeat.machine)
        position = (heartbeat.epoch, heartbeat.sequence)
        if known is not None and (position <= known.last_received or heartbeat.epoch < known.epoch):
            return REFUSED  # a copy, or a heartbeat of an epoch that has ended
        machine = known or self.cluster.machine(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, MachinePhase.UP, now
        )
        if machine.last_received == NO_HEARTBEAT:
            machine.registered_at = machine.idle_since = now
        machine.last_received = position
        self._note_acknowledgement(machine, heartbeat.fencing_token)
        # A heartbeat that is older than a response to direct commands is answered, not applied.
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
        """Whether the worker has received the answer to its previous heartbeat.

        If it has not, answers and commands to it may be lost altogether, so it takes no new work
        until it shows the token of an answer again.
        """
        if seen_token >= machine.last_response_token:
            if machine.unacknowledged_since is not None:
                log.info("machine %s acknowledges answers again", machine.name)
                self.listener.state_changed()
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            machine.unacknowledged_since = machine.last_response_at
            log.info("machine %s takes no new work: it did not get the last answer", machine.name)

    def _confirm(self, machine: Machine) -> None:
        machine.confirmed = True
        self.listener.machine_confirmed(machine)
        log.info(
            "machine %s confirmed, %d tasks: it shows a fencing token of this term",
            machine.name,
            len(machine.attempts),
        )
        self.listener.state_changed()
