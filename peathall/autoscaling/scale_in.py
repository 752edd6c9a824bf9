"""The scale-in policy: which machines are deleted, and why."""

from __future__ import annotations

import logging
from collections.abc import Callable

from msgspec import Struct

from peathall import constants
from peathall.autoscaling.scale_out import offer_of, suits
from peathall.autoscaling.startup_times import StartupTimes
from peathall.cluster.job import JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.protocol.jobs import JobSpec
from peathall.workers.health import MachineHealth

log = logging.getLogger("peathall.autoscaling")


class CapacityShortage(Struct, frozen=True):
    """The demand that the cloud does not meet at present."""

    starving: list[JobSpec]  # jobs that have long waited for machines
    has_capacity_errors: bool  # the cloud recently provisioned less than was requested


class ScaleInPolicy:
    """Selects the machines to delete: silent, draining, reclaimed, idle, or late to start.

    `idle_hold_s`: seconds for which idle machines are kept; None derives them from costs.
    """

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        health: MachineHealth,
        startup_times: StartupTimes,
        idle_hold_s: float | None,
    ) -> None:
        self._cluster = cluster
        self._health = health
        self._startup_times = startup_times
        self._idle_hold_s = idle_hold_s
        self._has_guarantees = any(team.cpus or team.gpus for team in params.teams)
        self._last_freed_capacity_at = -1e9

    def machines_to_delete(self, now: float, shortage: CapacityShortage) -> list[Machine]:
        """Machines that are no longer useful, at most as many as one deletion request may name."""
        self._health.note_tick(now)
        self._startup_times.update()
        live_share = self._health.live_share(now)
        heard_elsewhere = self._health.heard_elsewhere()
        chosen = []
        for machine in self._cluster.machines.values():
            reason = self._reason(machine, now, live_share, heard_elsewhere)
            if not reason and self._is_unreachable(machine, now) and not heard_elsewhere(machine):
                silent_s = self._health.silence_s(machine, now)
                reason = f"no heartbeat for {silent_s:.0f} s, and it answers no liveness probe"
            if reason:
                if machine.phase is not MachinePhase.DELETING:
                    log.info("machine %s is to be deleted: %s", machine.name, reason)
                chosen.append(machine)
        for machine in self.idle_for_starving_jobs(now, shortage):
            log.info(
                "machine %s is to be deleted: it is idle, no starving job can use it, and the "
                "cloud has no capacity for such a job",
                machine.name,
            )
            chosen.append(machine)
        chosen.sort(key=lambda m: not m.attempts)  # first those with tasks: deletion frees them
        return chosen[: constants.MAX_DELETION_NAMES]

    def _reason(
        self,
        machine: Machine,
        now: float,
        live_share: float,
        heard_elsewhere: Callable[[Machine], bool],
    ) -> str:
        """Why the machine is to be deleted; empty if it is to be kept."""
        phase = machine.phase
        if phase is MachinePhase.DELETING:
            return "its deletion is repeated"
        if phase is MachinePhase.STARTING:
            return self._reason_starting(machine, now)
        if phase is MachinePhase.DRAINING:
            return self._reason_draining(machine, now)
        enough_live = live_share >= constants.MIN_LIVE_SHARE
        if phase in (MachinePhase.UP, MachinePhase.RECOVERED) and enough_live:
            reason = self._reason_silent(machine, now, live_share, heard_elsewhere)
            if reason:
                return reason
        # An unconfirmed machine does not count as idle, since it cannot take work yet.
        if (
            phase is MachinePhase.UP
            and machine.confirmed
            and not machine.attempts
            and now - machine.idle_since > self._hold_s(machine, now)
        ):
            return "idle"
        return ""

    def _reason_starting(self, machine: Machine, now: float) -> str:
        is_late_alone = self._startup_times.later_machine_is_up(machine)
        factor = (
            constants.STARTUP_TIMEOUT_FACTOR
            if is_late_alone
            else constants.STARTUP_TIMEOUT_FACTOR_ALL_LATE
        )
        limit_s = max(
            constants.MIN_STARTUP_TIMEOUT_S, factor * self._startup_times.nominal_s(machine)
        )
        age_s = now - machine.created_at
        return f"it has not started up in {age_s:.0f} s" if age_s > limit_s else ""

    @staticmethod
    def _reason_draining(machine: Machine, now: float) -> str:
        if not machine.attempts:
            return machine.drain_reason
        if (
            machine.reclaimed_at is not None
            and now > machine.reclaimed_at + constants.RECLAIM_MARGIN_S
        ):
            # The response to the deletion releases its tasks before their lease expires.
            return "the cloud has reclaimed it by now"
        return ""

    def _reason_silent(
        self,
        machine: Machine,
        now: float,
        live_share: float,
        heard_elsewhere: Callable[[Machine], bool],
    ) -> str:
        """Why a machine that is up counts as lost; empty if it does not."""
        lost_s = self._health.lost_after_s()
        silent_s = self._health.silence_s(machine, now)
        is_certain = live_share >= constants.CERTAIN_LIVE_SHARE
        if silent_s > lost_s and (is_certain or not heard_elsewhere(machine)):
            return f"no heartbeat for {silent_s:.0f} s"
        since = machine.unacknowledged_since
        if since is not None and now - since > lost_s:
            return f"it has acknowledged no response for {now - since:.0f} s"
        is_unconfirmed = machine.phase is MachinePhase.UP and not machine.confirmed
        if is_unconfirmed and now - machine.registered_at > 2 * lost_s:
            # The heartbeat may be a late copy from a machine that no longer exists.
            return "it sent one heartbeat, and none since that acknowledges a response"
        return ""

    def _is_unreachable(self, machine: Machine, now: float) -> bool:
        """Whether a machine is silent and fails its liveness probes. Only machines with replicas
        are deleted this early, since missing replicas are noticed at once."""
        return (
            machine.failed_probes >= constants.PROBE_TRIES
            and machine.replicas > 0
            and machine.phase is MachinePhase.UP
            and self._health.heartbeat_is_overdue(machine, now)
            and self._health.most_are_live(now)
        )

    def idle_for_starving_jobs(self, now: float, shortage: CapacityShortage) -> list[Machine]:
        """A few long-idle machines that no starving job can use, if the cloud has returned capacity
        errors: deleting them may free capacity for machines that the job can use. Done rarely,
        since most clouds limit each type and zone separately."""
        gap_s = now - self._last_freed_capacity_at
        if (
            not shortage.starving
            or not shortage.has_capacity_errors
            or gap_s < constants.DELETED_FOR_STARVING_JOB_INTERVAL_S
        ):
            return []
        idle = [
            (machine, offer_of(machine, self._cluster.types))
            for machine in self._cluster.machines.values()
            if machine.phase is MachinePhase.UP
            and not machine.attempts
            and now - machine.idle_since > constants.DELETED_FOR_STARVING_JOB_IDLE_S
        ]
        found = [
            machine
            for machine, offer in idle
            if offer and not any(suits(offer, spec) for spec in shortage.starving)
        ]
        if found:
            self._last_freed_capacity_at = now
        return found[: constants.MAX_DELETED_FOR_STARVING_JOB]

    def _has_no_work(self) -> bool:
        return not any(
            job.phase is JobPhase.ACTIVE and (job.pending or not job.spec.daemon)
            for job in self._cluster.jobs.values()
        )

    def _hold_s(self, machine: Machine, now: float) -> float:
        """Seconds for which an idle machine is kept: until a new one later would cost less."""
        if self._idle_hold_s is not None:
            return self._idle_hold_s
        machine_type = self._cluster.types.get(machine.type)
        if machine_type is None:
            return constants.QUOTA_IDLE_HOLD_S
        startup_s = machine_type.startup_s
        is_quiet = now - self._cluster.last_submission_at > startup_s
        if self._has_guarantees and not (is_quiet and self._has_no_work()):
            # Teams with a quota guarantee must not wait, so capacity is kept for them.
            return constants.QUOTA_IDLE_HOLD_S
        if is_quiet:
            return constants.QUIET_IDLE_HOLD_S  # no jobs arrive that could use it
        # A deleted spot machine may only be replaceable by a dearer on-demand machine.
        price_ratio = (
            machine_type.price / machine_type.spot_price
            if machine.spot and machine_type.spot_price
            else 1.0
        )
        return constants.IDLE_HOLD_STARTUP_FACTOR * startup_s * price_ratio
