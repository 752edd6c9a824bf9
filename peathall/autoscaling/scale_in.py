"""Which machines are returned, and why. Pure but for what it remembers of earlier returns."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from peathall import constants
from peathall.autoscaling.scale_out import offer_of, suits
from peathall.autoscaling.startup_times import StartupTimes
from peathall.cluster.job import JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.protocol.jobs import JobSpec
from peathall.workers.health import MachineHealth

log = logging.getLogger("peathall.fleet")


@dataclass(frozen=True, slots=True)
class CapacityShortage:
    """What the cloud does not give."""

    starved: list[JobSpec]  # jobs that have waited long for machines
    refused: bool  # the cloud lately gave less than was asked for


class ScaleIn:
    """Decides which machines go back: silent, unusable, taken, late or idle ones."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        health: MachineHealth,
        startup_times: StartupTimes,
        idle_hold_s: float | None,
    ) -> None:
        self.cluster = cluster
        self.health = health
        self.startup_times = startup_times
        self.idle_hold_s = idle_hold_s
        self.guaranteed = any(team.cpus or team.gpus for team in params.teams)
        self.made_way_at = -1e9

    def to_delete(self, now: float, shortage: CapacityShortage) -> list[Machine]:
        """Machines that are of no use any more, at most as many as one request may name."""
        self.health.note_tick(now)
        self.startup_times.note()
        heard, elsewhere = self.health.live_share(now), self.health.heartbeats_elsewhere()
        chosen = []
        for machine in self.cluster.machines.values():
            why = self._why_delete(machine, now, heard, elsewhere)
            if not why and self._unreachable(machine, now) and not elsewhere(machine):
                why = (
                    f"silent for {self.health.silent_to_us_s(machine, now):.0f} s, and unreachable"
                )
            if why:
                if machine.phase is not MachinePhase.DELETING:
                    log.info("machine %s is to be deleted: %s", machine.name, why)
                chosen.append(machine)
        for machine in self._make_way(now, shortage):
            log.info("machine %s is to be deleted: it may be in the way", machine.name)
            chosen.append(machine)
        chosen.sort(key=lambda m: not m.attempts)  # first those whose tasks wait for it
        return chosen[: constants.DELETE_MAX]

    def _why_delete(
        self, machine: Machine, now: float, heard: float, elsewhere: Callable[[Machine], bool]
    ) -> str:
        phase = machine.phase
        if phase is MachinePhase.DELETING:
            return "again"
        if phase is MachinePhase.STARTING:
            return self._why_delete_booting(machine, now)
        if phase is MachinePhase.DRAINING:
            return self._why_delete_draining(machine, now)
        if phase in (MachinePhase.UP, MachinePhase.RECOVERED) and heard >= constants.MIN_LIVE_SHARE:
            why = self._why_delete_silent(machine, now, heard, elsewhere)
            if why:
                return why
        # One that is not confirmed takes no work yet: it is not idle.
        if (
            phase is MachinePhase.UP
            and machine.confirmed
            and not machine.attempts
            and now - machine.idle_since > self.hold_s(machine, now)
        ):
            return "idle"
        return ""

    def _why_delete_booting(self, machine: Machine, now: float) -> str:
        overtaken = self.startup_times.overtaken(machine)
        patience = constants.STARTUP_PATIENCE if overtaken else constants.STARTUP_PATIENCE_ALL
        limit = max(constants.STARTUP_PATIENCE_MIN_S, patience * self.startup_times.boot_s(machine))
        return "it never came up" if now - machine.created_at > limit else ""

    @staticmethod
    def _why_delete_draining(machine: Machine, now: float) -> str:
        if not machine.attempts:
            return machine.drain_reason
        if (
            machine.reclaimed_at is not None
            and now > machine.reclaimed_at + constants.RECLAIM_MARGIN_S
        ):
            return "taken back by now"  # the answer frees its tasks before their lease
        return ""

    def _why_delete_silent(
        self, machine: Machine, now: float, heard: float, elsewhere: Callable[[Machine], bool]
    ) -> str:
        """Silent, deaf, or known from a single report."""
        lost_s = self.health.lost_s()
        quiet = self.health.silent_to_us_s(machine, now)
        if quiet > lost_s and (heard >= constants.CERTAIN_LIVE_SHARE or not elsewhere(machine)):
            return f"silent for {quiet:.0f} s"
        if machine.unacknowledged_since is not None and now - machine.unacknowledged_since > lost_s:
            return f"got no answer of ours for {now - machine.unacknowledged_since:.0f} s"
        late = machine.phase is MachinePhase.UP and not machine.confirmed
        if late and now - machine.registered_at > 2 * lost_s:
            return "reported once, and nothing since shows that it exists"
        return ""

    def _unreachable(self, machine: Machine, now: float) -> bool:
        """A machine whose replicas are missed at once: silent, and no probe of it is answered."""
        return (
            machine.failed_probes >= constants.PROBE_TRIES
            and machine.replicas > 0
            and machine.phase is MachinePhase.UP
            and self.health.missed_a_report(machine, now)
            and self.health.most_are_live(now)
        )

    def _make_way(self, now: float, shortage: CapacityShortage) -> list[Machine]:
        """A cloud that refuses what a job has long waited for may have given all it has: a few
        machines that have long been idle and are of no use to the job are not held beside it.
        Seldom, since clouds mostly count each type and zone by itself."""
        if (
            not shortage.starved
            or not shortage.refused
            or now - self.made_way_at < constants.RETURNED_FOR_STARVING_JOB_GAP_S
        ):
            return []
        idle = [
            (machine, offer_of(machine, self.cluster.types))
            for machine in self.cluster.machines.values()
            if machine.phase is MachinePhase.UP
            and not machine.attempts
            and now - machine.idle_since > constants.RETURNED_FOR_STARVING_JOB_IDLE_S
        ]
        found = [
            m for m, kind in idle if kind and not any(suits(kind, s) for s in shortage.starved)
        ]
        if found:
            self.made_way_at = now
        return found[: constants.RETURNED_FOR_STARVING_JOB]

    def _nothing_to_do(self) -> bool:
        return not any(
            job.phase is JobPhase.ACTIVE and (job.pending or not job.spec.daemon)
            for job in self.cluster.jobs.values()
        )

    def hold_s(self, machine: Machine, now: float) -> float:
        """How long an idle machine is kept: as long as renting it anew would cost."""
        if self.idle_hold_s is not None:
            return self.idle_hold_s
        size = self.cluster.types.get(machine.type)
        if size is None:
            return constants.QUOTA_IDLE_HOLD_S
        quiet = now - self.cluster.last_submission_at > size.boot_s
        if self.guaranteed and not (quiet and self._nothing_to_do()):
            return constants.QUOTA_IDLE_HOLD_S  # guaranteed teams need not wait: room is held ready
        if quiet:
            return constants.QUIET_HOLD_S  # nothing arrives that it could be held for
        # A spot machine given back may come back only as an ordinary one.
        dearer = size.price / size.spot_price if machine.spot and size.spot_price else 1.0
        return constants.IDLE_STARTUP_TIMES * size.boot_s * dearer
