"""Health of machines according to their heartbeats: which machines are silent, and whether the
machine, the network or this controller is the likely cause."""

from __future__ import annotations

import logging
from collections.abc import Callable

from peathall import constants
from peathall.cluster.machine import NO_HEARTBEAT, Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import WorkerSettings

log = logging.getLogger("peathall.workers")

# Returns epoch and sequence of the latest heartbeat to another controller, by machine name.
HeartbeatsElsewhere = Callable[[], dict[str, tuple[int, int]]]


class MachineHealth:
    """Judges machines by the age of their heartbeats, and by heartbeats to other controllers.

    All times are monotonic, in seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        settings: WorkerSettings,
        now: float,
        heartbeats_elsewhere: HeartbeatsElsewhere = dict,
    ) -> None:
        self.cluster = cluster
        self.settings = settings
        self.heartbeats_elsewhere = heartbeats_elsewhere
        self.last_tick = now
        # Time since which this process has handled heartbeats without a gap; see note_tick().
        self.active_since = now

    def seconds_since_heartbeat(self, machine: Machine, now: float) -> float:
        """Seconds since the machine's latest heartbeat."""
        return now - machine.last_heard

    def note_tick(self, now: float) -> None:
        """Record that heartbeats are handled now; called each second under a valid leader lease.

        A gap between calls means that the process was stalled or the leader lease had expired.
        Heartbeats sent meanwhile got no response, so that time must not count as machine silence.
        """
        if now - self.last_tick > constants.STALL_S:
            log.info(
                "handled no heartbeats for %.1f s; silence of machines is measured from now",
                now - self.last_tick,
            )
            self.active_since = now
        self.last_tick = now

    def silence_s(self, machine: Machine, now: float) -> float:
        """Seconds without a heartbeat from the machine while this leader could have handled one."""
        return now - max(machine.last_heard, self.active_since)

    def heartbeat_is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the machine's next heartbeat is overdue, allowing for varying intervals."""
        limit = constants.PROBE_AFTER_HEARTBEATS * self.settings.report_s
        return self.silence_s(machine, now) > limit

    def most_are_live(self, now: float) -> bool:
        """Whether most machines send heartbeats, so that the fault probably lies with the silent
        machines rather than with the network or this controller."""
        limit = constants.PROBE_RECENT_HEARTBEATS * self.settings.report_s
        up = self.expected_machines()
        heard = [
            m for m in up if m.unacknowledged_since is None and self.silence_s(m, now) <= limit
        ]
        return len(heard) >= constants.PROBE_MIN_LIVE_SHARE * len(up)

    def live_share(self, now: float) -> float:
        """Share of the machines that recently sent a heartbeat and acknowledge the responses."""
        limit = self.unschedulable_after_s()
        up = self.expected_machines()
        heard = [
            m
            for m in up
            if m.unacknowledged_since is None and self.seconds_since_heartbeat(m, now) < limit
        ]
        return len(heard) / max(1, len(up))

    def unschedulable_after_s(self) -> float:
        """Seconds of silence after which a machine takes no new work."""
        return min(
            constants.UNSCHEDULABLE_HEARTBEATS * self.settings.report_s,
            constants.UNSCHEDULABLE_LEASE_SHARE * self.settings.lease_s,
        )

    def lost_after_s(self) -> float:
        """Seconds of silence after which a machine is deleted, which releases its tasks well before
        the worker's lease expires."""
        return min(
            constants.LOST_HEARTBEATS * self.settings.report_s,
            constants.LOST_LEASE_SHARE * self.settings.lease_s,
        )

    def unreachable_after_s(self) -> float:
        """Seconds of silence that are two missed heartbeats: the machine counts as unreachable."""
        return 2 * self.settings.report_s + constants.TICK_S

    def heard_elsewhere(self) -> Callable[[Machine], bool]:
        """A predicate: whether a machine recently sent another controller a heartbeat that is newer
        than all heartbeats that this leader received. A delayed copy of an older heartbeat does
        not prove that the machine is alive.
        """
        latest = self.heartbeats_elsewhere()
        return lambda machine: latest.get(machine.name, NO_HEARTBEAT) > machine.last_received

    def expected_machines(self) -> list[Machine]:
        """Machines that should send heartbeats, including those known only from stored records."""
        phases = (MachinePhase.UP, MachinePhase.RECOVERED)
        return [m for m in self.cluster.machines.values() if m.phase in phases]

    def is_partitioned(self, now: float) -> bool:
        """Whether this controller is probably partitioned from the workers: most machines are
        silent or do not acknowledge its responses, and some of these send heartbeats to other
        controllers."""
        self.note_tick(now)
        up, limit = self.expected_machines(), self.unreachable_after_s()
        unreached = [
            m for m in up if m.unacknowledged_since is not None or self.silence_s(m, now) > limit
        ]
        return len(unreached) > constants.UNREACHABLE_SHARE * len(up) and any(
            map(self.heard_elsewhere(), unreached)
        )
