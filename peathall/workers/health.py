"""Health of machines by their heartbeats: which are silent, and whether the machines, the network
or this controller are the cause."""

from __future__ import annotations

import logging
from collections.abc import Callable

from peathall import constants
from peathall.cluster.machine import NO_HEARTBEAT, Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import WorkerSettings

log = logging.getLogger("peathall.workers")

# Returns, by machine, epoch and sequence of its latest heartbeat to another controller.
HeartbeatsElsewhere = Callable[[], dict[str, tuple[int, int]]]


class MachineHealth:
    """Judges machines by the age of their heartbeats, and by heartbeats to other controllers.

    All times are steady times in seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        settings: WorkerSettings,
        now: float,
        elsewhere: HeartbeatsElsewhere = dict,
    ) -> None:
        self.cluster = cluster
        self.settings = settings
        self.elsewhere = elsewhere
        self.last_tick = now
        # Heartbeats could be received and answered without a gap since then; see note_tick().
        self.active_since = now

    def seconds_since_heartbeat(self, machine: Machine, now: float) -> float:
        """Seconds since its latest heartbeat."""
        return now - machine.last_heard

    def note_tick(self, now: float) -> None:
        """Called every second while the leader lease is valid.

        A gap means that the process was stalled or the leader lease had expired. Heartbeats of
        that time went unanswered, which must not be attributed to the machines.
        """
        if now - self.last_tick > constants.STALL_S:
            log.info(
                "silence of machines counts from now: no heartbeats were handled for %.1f s",
                now - self.last_tick,
            )
            self.active_since = now
        self.last_tick = now

    def silence_s(self, machine: Machine, now: float) -> float:
        """Seconds for which the machine could have sent a heartbeat to this leader, and has not."""
        return now - max(machine.last_heard, self.active_since)

    def heartbeat_is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether its next heartbeat is overdue, allowing for delays."""
        limit = constants.PROBE_AFTER_HEARTBEATS * self.settings.report_s
        return self.silence_s(machine, now) > limit

    def most_are_live(self, now: float) -> bool:
        """Whether most machines send heartbeats: the fault is with those that do not."""
        limit = constants.PROBE_RECENT_HEARTBEATS * self.settings.report_s
        up = self.expected()
        heard = [
            m for m in up if m.unacknowledged_since is None and self.silence_s(m, now) <= limit
        ]
        return len(heard) >= constants.PROBE_MIN_LIVE_SHARE * len(up)

    def live_share(self, now: float) -> float:
        """Share of the machines with recent heartbeats that acknowledge the answers."""
        limit = self.unschedulable_after_s()
        up = self.expected()
        heard = [
            m
            for m in up
            if m.unacknowledged_since is None and self.seconds_since_heartbeat(m, now) < limit
        ]
        return len(heard) / max(1, len(up))

    def unschedulable_after_s(self) -> float:
        """Seconds after its latest heartbeat from which a machine takes no new work."""
        return min(
            constants.SUSPECT_HEARTBEATS * self.settings.report_s,
            constants.SUSPECT_LEASE * self.settings.lease_s,
        )

    def lost_after_s(self) -> float:
        """Seconds after its latest heartbeat from which a machine is deleted: that releases its
        tasks well before the lease expiry would."""
        return min(
            constants.LOST_HEARTBEATS * self.settings.report_s,
            constants.LOST_LEASE * self.settings.lease_s,
        )

    def unreachable_after_s(self) -> float:
        """Seconds after which every machine would have been heard: two missed heartbeats."""
        return 2 * self.settings.report_s + constants.TICK_S

    def heartbeats_elsewhere(self) -> Callable[[Machine], bool]:
        """A test whether a machine recently sent another controller a heartbeat that is newer than
        all that this leader received. A delayed copy of an old one does not show that it lives.
        """
        elsewhere = self.elsewhere()
        return lambda machine: elsewhere.get(machine.name, NO_HEARTBEAT) > machine.last_received

    def expected(self) -> list[Machine]:
        """Machines that should send heartbeats, known from heartbeats or only from records."""
        phases = (MachinePhase.UP, MachinePhase.RECOVERED)
        return [m for m in self.cluster.machines.values() if m.phase in phases]

    def is_partitioned(self, now: float) -> bool:
        """Whether this controller is likely to be cut off: most machines are silent or do not
        acknowledge its answers, and some of these send heartbeats to other controllers."""
        self.note_tick(now)
        up, limit = self.expected(), self.unreachable_after_s()
        unreached = [
            m for m in up if m.unacknowledged_since is not None or self.silence_s(m, now) > limit
        ]
        return len(unreached) > constants.UNREACHABLE_SHARE * len(up) and any(
            map(self.heartbeats_elsewhere(), unreached)
        )
