"""The part of a leader that communicates with workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from peathall.cluster.job import Attempt
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.config.platform import WorkerSettings
from peathall.protocol.heartbeats import Heartbeat, encode_commands
from peathall.workers.attempt_control import AttemptControl
from peathall.workers.attempt_tracking import AttemptTracking
from peathall.workers.commands import DueCommands
from peathall.workers.delivery import CommandDelivery, DeliveryLimits
from peathall.workers.direct_starts import DirectStarts
from peathall.workers.events import WorkerListener
from peathall.workers.exit_handler import ExitHandler
from peathall.workers.exits import ExitedAttempts
from peathall.workers.faults import FaultTracker
from peathall.workers.fencing import FencingTokenCounter
from peathall.workers.health import HeartbeatsElsewhere, MachineHealth
from peathall.workers.heartbeats import HeartbeatHandler, HeartbeatResponse
from peathall.workers.images import CachedImages
from peathall.workers.leases import LeaseExpiry
from peathall.workers.probes import LivenessProbes
from peathall.workers.quarantine import Quarantine
from peathall.workers.reconciler import Reconciler
from peathall.workers.unknown_tasks import UnknownTasks


class Workers:
    """Wires the parts together, and is what other packages hold.

    `failover_at` is the steady time from which this leader serves: until then, leases may have
    been renewed by an earlier one.
    """

    def __init__(
        self,
        cluster: ClusterState,
        settings: WorkerSettings,
        now: float,
        is_leader: Callable[[], bool],
        listener: WorkerListener,
        limits: DeliveryLimits,
        elsewhere: HeartbeatsElsewhere = dict,
    ) -> None:
        self.cluster = cluster
        self.settings = settings
        self.is_leader = is_leader
        self.failover_at = now
        self.loop = asyncio.get_running_loop()
        self.tokens = FencingTokenCounter(cluster)
        self.faults = FaultTracker(cluster)
        self.health = MachineHealth(cluster, settings, now, elsewhere)
        self.probes = LivenessProbes(self.health, is_leader)
        self.tracking = AttemptTracking(ExitedAttempts(cluster), UnknownTasks(), DirectStarts())
        self.commands = DueCommands(self.tokens, self.tracking)
        self.delivery = CommandDelivery(
            self, is_leader, limits.connections, limits.deferrable_per_s
        )
        self.control = AttemptControl(cluster, self.delivery, self.tracking.direct_starts, listener)
        self.leases = LeaseExpiry(
            cluster, settings.lease_expiry_s, self.tracking.exits, self.control
        )
        self._quarantine = Quarantine(listener)
        images = CachedImages(cluster, listener)
        self.exit_handler = ExitHandler(
            cluster,
            self.tokens,
            self.tracking.direct_starts,
            self.faults,
            self._quarantine,
            self.control,
            images,
            listener,
        )
        self.reconciler = Reconciler(
            cluster, self.tokens, self.tracking, self.exit_handler, self.control, images, listener
        )
        self.heartbeats = HeartbeatHandler(
            cluster, self.tokens, self.reconciler, self.commands, listener
        )

    @property
    def lowest_fencing_token(self) -> int:
        """The lowest fencing token of this term."""
        return self.tokens.lowest

    @property
    def fencing_token(self) -> int:
        """The fencing token of answers and commands that are sent now."""
        return self.tokens.current

    def raise_fencing_token(self) -> None:
        """Invalidate start commands on their way to workers that get a later answer first."""
        self.tokens.advance()

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatResponse:
        """Apply a heartbeat and answer it."""
        return self.heartbeats.handle(heartbeat, now)

    def stop(self, attempt: Attempt, grace_s: float, now: float) -> None:
        """Stop an attempt, with so many seconds to checkpoint."""
        self.control.stop(attempt, grace_s, now)

    def quarantine(self, machine: Machine, reason: str) -> None:
        """Let the machine take no new work; it is deleted once it is empty."""
        self._quarantine.drain(machine, reason)

    def reported_task_count(self, machine: Machine) -> int:
        """Number of tasks in its next heartbeat: its attempts, and exits not yet forgotten."""
        return len(machine.attempts) + len(self.tracking.exits.of(machine.name))

    def commands_due(self, machine: Machine) -> dict[str, Any] | None:
        """The encoded message with the direct commands that are due; None if there are none."""
        commands = self.commands.for_delivery(machine, self.loop.time())
        return encode_commands(self.fencing_token, machine.epoch, commands) if commands else None

    def note_command_response(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply the response to direct commands, unless a newer heartbeat was applied before."""
        if (heartbeat.epoch, heartbeat.sequence) > (machine.epoch, machine.sequence):
            self.reconciler.apply(machine, heartbeat, self.loop.time(), conclusive=False)

    def tick(self, now: float) -> None:
        """Every second: raise the token, check health, probes, faults and leases.

        The token that a heartbeat shows then tells which answers the worker has received, and
        direct start commands are refused once they are a second late.
        """
        self.raise_fencing_token()
        self.health.note_tick(now)
        self.probes.tick(now)
        self._quarantine.drain_unhealthy(self.faults.note_runtimes(now))
        self.leases.check(now, self.failover_at)

    def machine_gone(self, machine: Machine, now: float, reason: str) -> None:
        """The cloud's answer, or its list, proves that the machine is gone."""
        self.cluster.note_deleted(machine.name, now)
        self.tracking.drop_machine(machine.name)
        self.delivery.forget(machine)
        self.control.note_lost(self.cluster.remove_machine(machine, now, reason), now)

    def close(self) -> None:
        """Cancel direct commands and probes: the term is over."""
        self.delivery.close()
        self.probes.close()
