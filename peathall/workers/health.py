"""Which machines are silent, and whose fault that is: theirs, the network's or our own."""

from __future__ import annotations

import logging
from collections.abc import Callable

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import WorkerSettings

log = logging.getLogger("peathall.workers")

# Machine -> session and sequence number of its latest report to another controller.
HeartbeatsElsewhere = Callable[[], dict[str, tuple[int, int]]]


class MachineHealth:
    """Judges machines by the age of their reports, and by what other controllers hear of them."""

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
        self.last_tick = self.active_since = now  # see note_tick()

    def seconds_since_heartbeat(self, machine: Machine, now: float) -> float:
        """Seconds since its last report."""
        return now - machine.last_heard

    def note_tick(self, now: float) -> None:
        """Called every second while we may act. A gap means that we stood still, or that our
        lease did: the reports of that time went unanswered, which is no machine's fault."""
        if now - self.last_tick > constants.STALL_S:
            log.info("did not attend to the machines for %.1f s", now - self.last_tick)
            self.active_since = now
        self.last_tick = now

    def silent_to_us_s(self, machine: Machine, now: float) -> float:
        """Seconds for which the machine could have reported to us, and has not."""
        return now - max(machine.last_heard, self.active_since)

    def missed_a_report(self, machine: Machine, now: float) -> bool:
        """Whether its next report should have come, however late reports come."""
        limit = constants.PROBE_AFTER_HEARTBEATS * self.settings.report_s
        return self.silent_to_us_s(machine, now) > limit

    def most_are_live(self, now: float) -> bool:
        """Whether most machines report as ever: who does not has a trouble of its own."""
        limit = constants.PROBE_RECENT_HEARTBEATS * self.settings.report_s
        up = self.expected()
        heard = [
            m for m in up if m.unacknowledged_since is None and self.silent_to_us_s(m, now) <= limit
        ]
        return len(heard) >= constants.PROBE_MIN_LIVE_SHARE * len(up)

    def live_share(self, now: float) -> float:
        """Share of the machines that hear us and have lately reported."""
        limit = self.suspect_s()
        up = self.expected()
        heard = [
            m
            for m in up
            if m.unacknowledged_since is None and self.seconds_since_heartbeat(m, now) < limit
        ]
        return len(heard) / max(1, len(up))

    def suspect_s(self) -> float:
        """So long after a machine's last report it takes no new work."""
        return min(
            constants.SUSPECT_HEARTBEATS * self.settings.report_s,
            constants.SUSPECT_LEASE * self.settings.lease_s,
        )

    def lost_s(self) -> float:
        """So long after it, deleting the machine frees its tasks well before its lease does."""
        return min(
            constants.LOST_HEARTBEATS * self.settings.report_s,
            constants.LOST_LEASE * self.settings.lease_s,
        )

    def unreached_s(self) -> float:
        """Two missed reports: by then every machine would have been heard."""
        return 2 * self.settings.report_s + constants.TICK_S

    def heartbeats_elsewhere(self) -> Callable[[Machine], bool]:
        """Tells of a machine whether it has lately sent another controller a report newer
        than all we had. A late copy of an old report is no sign of life."""
        elsewhere = self.elsewhere()
        return lambda machine: elsewhere.get(machine.name, (0, -1)) > machine.last_received

    def expected(self) -> list[Machine]:
        """Machines that should report to us, known from reports or only from records."""
        phases = (MachinePhase.UP, MachinePhase.RECOVERED)
        return [m for m in self.cluster.machines.values() if m.phase in phases]

    def is_partitioned(self, now: float) -> bool:
        """Most machines are alive, but don't hear us or are not heard: our own trouble."""
        self.note_tick(now)
        up, limit = self.expected(), self.unreached_s()
        lost = [
            m
            for m in up
            if m.unacknowledged_since is not None or self.silent_to_us_s(m, now) > limit
        ]
        return len(lost) > constants.UNREACHABLE_SHARE * len(up) and any(
            map(self.heartbeats_elsewhere(), lost)
        )
