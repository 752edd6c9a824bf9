"""The interface of this package: how a leader communicates with workers."""

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
from peathall.workers.start_tokens import StartTokens
from peathall.workers.unknown_tasks import UnknownTasks


class Workers:
    """Creates the parts of this package, and is their interface for other packages.

    `failover_at` is the monotonic time at which this leader began to serve: until then, an earlier
    leader may have renewed worker leases.
    """

    def __init__(
        self,
        cluster: ClusterState,
        settings: WorkerSettings,
        now: float,
        is_leader: Callable[[], bool],
        listener: WorkerListener,
        limits: DeliveryLimits,
        heartbeats_elsewhere: HeartbeatsElsewhere = dict,
    ) -> None:
        self.cluster = cluster
        self.settings = settings
        self.is_leader = is_leader
        self.failover_at = now
        self.loop = asyncio.get_running_loop()
        self.tokens = FencingTokenCounter(cluster)
        self.faults = FaultTracker(cluster)
        self.health = MachineHealth(cluster, settings, now, heartbeats_elsewhere)
        self.probes = LivenessProbes(self.health, is_leader)
        self.tracking = AttemptTracking(ExitedAttempts(cluster), UnknownTasks(), StartTokens())
        self.commands = DueCommands(self.tokens, self.tracking)
        self.delivery = CommandDelivery(
            self, is_leader, limits.connections, limits.deferrable_per_s
        )
        self.control = AttemptControl(cluster, self.delivery, self.tracking.start_tokens, listener)
        self.leases = LeaseExpiry(
            cluster, settings.lease_expiry_s, self.tracking.exits, self.control
        )
        self._quarantine = Quarantine(listener)
        images = CachedImages(cluster, listener)
        self.exit_handler = ExitHandler(
            cluster,
            self.tokens,
            self.tracking.start_tokens,
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
        """The fencing token of responses and commands that are sent now."""
        return self.tokens.current

    def raise_fencing_token(self) -> None:
        """Raise the fencing token.

        A start command in flight is then refused by a worker that receives a later response first.
        """
        self.tokens.advance()

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatResponse:
        """Apply a heartbeat and return the response."""
        return self.heartbeats.handle(heartbeat, now)

    def stop(self, attempt: Attempt, grace_s: float, now: float) -> None:
        """Stop an attempt, giving it `grace_s` seconds to save a checkpoint."""
        self.control.stop(attempt, grace_s, now)

    def quarantine(self, machine: Machine, reason: str) -> None:
        """Drain the machine: it takes no new work for now, and is deleted once it is empty."""
        self._quarantine.drain(machine, reason, self.loop.time())

    def reported_task_count(self, machine: Machine) -> int:
        """Number of tasks in the machine's next heartbeat: attempts, and exits until forgotten."""
        return len(machine.attempts) + len(self.tracking.exits.of(machine.name))

    def commands_due(self, machine: Machine) -> dict[str, Any] | None:
        """The encoded request with the direct commands that are due; None if there are none."""
        commands = self.commands.for_delivery(machine, self.loop.time())
        return encode_commands(self.fencing_token, machine.epoch, commands) if commands else None

    def note_command_response(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply the response to direct commands, unless a newer heartbeat is already applied."""
        if (heartbeat.epoch, heartbeat.sequence) > (machine.epoch, machine.sequence):
            self.reconciler.apply(machine, heartbeat, self.loop.time(), conclusive=False)

    def tick(self, now: float) -> None:
        """Raise the fencing token, and check health, probes, faults and leases; called each second.

        Because the token rises, the token in a heartbeat shows which responses the worker has
        received, and workers refuse direct start commands that are more than a second late.
        """
        self.raise_fencing_token()
        self.health.note_tick(now)
        self.probes.tick(now)
        self._quarantine.drain_unhealthy(self.faults.note_runtimes(now), now)
        self._quarantine.tick(now)
        self.leases.check(now, self.failover_at)

    def machine_gone(self, machine: Machine, now: float, reason: str) -> None:
        """Remove a machine that, according to the cloud, is deleted or has failed."""
        self.cluster.note_deleted(machine.name, now)
        self.tracking.drop_machine(machine.name)
        self.delivery.forget(machine)
        self.control.note_lost(self.cluster.remove_machine(machine, now, reason), now)

    def close(self) -> None:
        """Cancel direct commands and probes at the end of the term."""
        self.delivery.close()
        self.probes.close()
