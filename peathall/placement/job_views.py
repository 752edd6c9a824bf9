"""Views of the jobs that have a task to start or a replica to move."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Collection

from peathall import constants
from peathall.cluster.job import Job, JobHealth, JobPhase
from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Objective
from peathall.placement.bin_packing import allowed, fitting_tasks
from peathall.placement.context import RoundContext
from peathall.placement.ordering import gang_starving_bonus_s, latest_start
from peathall.placement.reservations import Reservations
from peathall.placement.views import JobView, MovingReplica
from peathall.protocol.jobs import JobSpec
from peathall.workers.faults import FaultTracker

log = logging.getLogger("peathall.placement")


def is_starving(job: Job, now: float) -> bool:
    """Whether the job has been without attempts for so long, at monotonic time `now`, that it is
    placed before all others."""
    return now - _waiting_since(job) > constants.STARVING_S - gang_starving_bonus_s(job.spec)


def _waiting_since(job: Job) -> float:
    """Monotonic time since which the job has waited for a start. Each failed start of a failing job
    begins its wait anew, after the pause that follows."""
    if job.health is JobHealth.FAILING:
        return max(job.idle_since, job.backoff_until)
    return job.idle_since


def startable_tasks(job: Job, now: float) -> int:
    """How many tasks of the job may start at monotonic time `now`. Of a failing job only one task
    starts, as a canary, or the whole gang."""
    if job.on_hold or now < job.backoff_until:
        return 0
    if job.health is not JobHealth.FAILING:
        return len(job.pending)
    if job.attempts or not job.pending:
        return 0
    return job.spec.tasks if job.spec.gang else 1


class JobViews:
    """Builds the views, and collects the recent gangs and reserved quota that a round considers."""

    def __init__(
        self,
        cluster: ClusterState,
        objectives: list[Objective],
        faults: FaultTracker,
        reservations: Reservations,
        context: RoundContext,
    ) -> None:
        self.cluster = cluster
        self.objectives = objectives
        self.faults = faults
        self.reservations = reservations
        self.context = context
        self._recent_gangs: dict[str, JobSpec] = {}  # by class

    def active(self) -> list[Job]:
        """Jobs that have not ended."""
        return [job for job in self.cluster.jobs.values() if job.phase is JobPhase.ACTIVE]

    def views(self) -> list[JobView]:
        """Views of the jobs that have a task to start or a replica to move."""
        views = []
        for job in self.active():
            try:
                view = self._view_if_waiting(job)
            except Exception:
                # The other jobs must not wait for a fault that concerns this one.
                log.exception("job %s is left out of this round", job.spec.id)
                continue
            if view is not None:
                views.append(view)
        return views

    def _view_if_waiting(self, job: Job) -> JobView | None:
        """The view of the job; None if it has nothing to start or move now."""
        startable, moving = startable_tasks(job, self.context.now), self._moving(job)
        if not (startable or moving) or self._zone_unknown(job):
            return None
        return self._view(job, startable, moving)

    @staticmethod
    def other_cells_view(spec: JobSpec) -> JobView:
        """View of a job of another cell for which capacity is to be reserved."""
        return JobView(spec, spec.tasks, urgent=False, borrowed=True)

    def recent_gangs(self) -> list[JobSpec]:
        """The largest recently submitted gang of each class."""
        gangs = [job.spec for job in self.cluster.jobs.values() if job.spec.gang]
        recent = [
            spec
            for spec in [*self._recent_gangs.values(), *gangs]
            if self.context.wall - spec.submitted < constants.RECENT_GANG_S
        ]
        self._recent_gangs = {}
        for spec in recent:
            known = self._recent_gangs.get(spec.class_name)
            if known is None or (spec.tasks, spec.submitted) >= (known.tasks, known.submitted):
                self._recent_gangs[spec.class_name] = spec
        return list(self._recent_gangs.values())

    def reserved(self) -> list[tuple[JobSpec, int]]:
        """Jobs for which part of their team's limit is reserved, each with the number of tasks."""
        return [*self._lost_replicas(), *self.reservations.for_other_cells()]

    def _lost_replicas(self) -> list[tuple[JobSpec, int]]:
        """Daemons that have run before, each with the number of missing replicas."""
        return [
            (job.spec, len(job.pending))
            for job in self.active()
            if job.spec.daemon
            and job.pending
            and (job.has_started or job.attempts)
            and job.health is not JobHealth.FAILING
            and self._keeps_quota(job)
        ]

    def _keeps_quota(self, job: Job) -> bool:
        return self.context.now - job.pending_since < constants.REPLICA_QUOTA_HOLD_S

    def _zone_unknown(self, job: Job) -> bool:
        """Whether the job has a zone rule and a task on a machine whose zone is unknown. Such a
        machine is known from stored records only: it has sent no heartbeat yet and the cloud has
        not listed it yet."""
        if not (job.spec.one_zone or job.spec.spread):
            return False
        return any(not self.cluster.machines[a.machine].zone for a in job.attempts.values())

    def _moving(self, job: Job) -> list[MovingReplica]:
        """Replicas on draining machines, which must be moved: they never end by themselves."""
        if not job.spec.daemon:
            return []
        moving = []
        for attempt in job.attempts.values():
            machine = self.cluster.machines[attempt.machine]
            if machine.phase is MachinePhase.DRAINING and not attempt.stopping:
                moving.append(MovingReplica(attempt.task, machine.zone))
        return moving

    def _view(self, job: Job, startable: int, moving: list[MovingReplica]) -> JobView:
        starving = not job.attempts and is_starving(job, self.context.now)
        if job.health is JobHealth.FAILING and not (starving and not job.borrowed):
            return self._canary_view(job, startable, moving)
        if job.borrowed:
            return self._borrowed_view(job, startable)
        latest = latest_start(job.spec, self.objectives, self.context.wall, 0.0)
        late = latest - self.context.wall < constants.URGENT_SLACK_S
        return JobView(
            job.spec,
            startable,
            within_quota=job.spec.id in self.context.within_quota,
            latest_start=latest,
            running_zones=self._running_zones(job),
            has_old_attempts=job.spec.gang and bool(job.attempts),
            urgent=starving or job.spec.daemon or late,
            may_use_gang_capacity=not job.attempts
            and self.context.now - job.idle_since > constants.GANG_CAPACITY_WAIT_S,
            is_starving=starving,
            fetch_s=self._fetch_s(job.spec),
            avoid=self._avoid(job),
            replica_machines=self._replica_machines(job),
            moving=moving,
            changes_zone=self._changes_zone(job),
            keeps_quota=self._keeps_quota(job),
            reservations=self.reservations.ready(job) if job.spec.daemon else {},
        )

    def _canary_view(self, job: Job, startable: int, moving: list[MovingReplica]) -> JobView:
        return JobView(
            job.spec,
            startable,
            # The canary of a failing job is not urgent until it starves: it uses capacity that
            # others leave.
            latest_start=self.context.wall + constants.CANARY_DELAY_S,
            running_zones=self._running_zones(job),
            urgent=False,
            is_canary=True,
            avoid=self._avoid(job),
            replica_machines=self._replica_machines(job),
            moving=moving,
            changes_zone=self._changes_zone(job),
            keeps_quota=False,
        )

    def _borrowed_view(self, job: Job, startable: int) -> JobView:
        return JobView(
            job.spec,
            startable,
            latest_start=self.context.wall,
            running_zones=self._running_zones(job),
            has_old_attempts=job.spec.gang and bool(job.attempts),
            urgent=False,
            borrowed=True,
            avoid=self._avoid(job),
            reservations=self.reservations.ready(job),
        )

    def _avoid(self, job: Job) -> frozenset[str]:
        """The machines on which the job failed lately. If no other machine could ever take it, they
        are avoided only until it may try again."""
        now = self.context.now
        names = frozenset(self.faults.machines_to_avoid(job, now))
        if not names or self._fits_elsewhere(job.spec, names):
            return names
        return frozenset(name for name in names if not self.faults.may_retry(job, name, now))

    def _fits_elsewhere(self, spec: JobSpec, names: Collection[str]) -> bool:
        """Whether a task fits on another machine than these, once it is empty."""
        return any(
            machine.is_schedulable
            and machine.name not in names
            and allowed(machine, spec)
            and fitting_tasks((machine.cpus, machine.gpus, machine.ram), spec) > 0
            for machine in self.cluster.machines.values()
        )

    def _running_zones(self, job: Job) -> dict[str, int]:
        """Zone -> tasks there; empty unless the job has a zone rule. A replica that is being moved
        counts where it still is, and where it is to run next if the rule limits the number."""
        if not (job.spec.one_zone or job.spec.spread):
            return {}
        machines = [attempt.machine for attempt in job.attempts.values()]
        if job.spec.spread:
            machines += self.reservations.awaited(job)
        return dict(Counter(self.cluster.machines[name].zone for name in machines))

    def _changes_zone(self, job: Job) -> bool:
        """Whether replicas that must share a zone are being moved to another one."""
        if not job.spec.one_zone:
            return False
        zones = {self.cluster.machines[a.machine].zone for a in job.attempts.values()}
        targets = {self.cluster.machines[name].zone for name in self.reservations.awaited(job)}
        return not targets <= zones

    @staticmethod
    def _replica_machines(job: Job) -> Collection[str]:
        return {a.machine for a in job.attempts.values()} if job.spec.daemon else ()

    def _fetch_s(self, spec: JobSpec) -> float:
        """Seconds to fetch the image on the slowest machine type that the job allows."""
        types = self.cluster.types.values()
        rates = [t.fetch_gb_per_s for t in types if spec.types is None or t.name in spec.types]
        return spec.image_gb / min(rates, default=1.0)
