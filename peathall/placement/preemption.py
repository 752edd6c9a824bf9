"""Preemption in one round: the attempts that a job preempts, and the capacity held for it."""

from __future__ import annotations

from math import inf

from msgspec import Struct

from peathall import constants
from peathall.placement.capacity import MachineCapacity, capacity_with_victims, earliest_fit
from peathall.placement.plan import Plan
from peathall.placement.planned_preemptions import PlannedPreemptions
from peathall.placement.pool import MachinePool
from peathall.placement.quota_preemption import QuotaVictims, TeamWorkloadLookup
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import JobView, MachineView, Victim
from peathall.protocol.jobs import JobSpec


class FutureCapacity(Struct, frozen=True):
    """Capacity for `count` tasks on a machine, once attempts there have ended by themselves."""

    wait_s: float
    machine: MachineView
    count: int


class ZoneRoom:
    """How many more tasks of a job its zone rules allow in each zone, beside those chosen so far.

    Without it, capacity would be kept for tasks that may never start there.
    """

    def __init__(self, job: JobView) -> None:
        self._job = job
        self._left: dict[str, int] = {}  # by zone; asked for each machine, so computed once

    def left(self, zone: str) -> int:
        """How many more tasks may be chosen in the zone."""
        left = self._left.get(zone)
        if left is None:
            left = self._left[zone] = max(0, self._job.zone_allowance(zone))
        return left

    def take(self, zone: str, wanted: int) -> int:
        """Choose up to `wanted` tasks in the zone; returns their number."""
        count = min(wanted, self.left(zone))
        self._left[zone] -= count
        return count


class Preemption:
    """Preempts attempts for jobs that lack capacity on machines or under their team's limit."""

    def __init__(
        self,
        pool: MachinePool,
        quotas: TeamQuotas,
        plan: Plan,
        lowest_priority: int,
        team_workload: TeamWorkloadLookup,
    ) -> None:
        self.pool = pool
        self.quotas = quotas
        self.plan = plan
        self.lowest_priority = lowest_priority  # of all running attempts; the highest number
        self.planned = PlannedPreemptions(pool, plan)
        self.quota_victims = QuotaVictims(pool, quotas, self.planned, team_workload)

    def may_preempt(self, victim: Victim, job: JobView) -> bool:
        """Whether the rules allow the job to preempt the victim."""
        if victim.key in self.planned.keys:
            return False
        if victim.priority > job.spec.priority or (victim.borrowed and job.within_quota):
            return True
        # A job within quota does not preempt work of higher priority outside quota: that job would
        # be placed first in the next round, and the two would preempt each other forever.
        return (
            job.within_quota
            and not victim.within_quota
            and victim.team != job.spec.team
            and victim.priority == job.spec.priority
        )

    def wait_for_image(self, job: JobView, wanted: int) -> bool:
        """Preempt attempts on machines that have the image cached, if the image takes long to fetch
        elsewhere. Returns whether the job waits for these machines."""
        spec = job.spec
        if job.fetch_s < constants.LONG_FETCH_S or not job.urgent:
            return False
        cached = [m for m in self.pool.usable(job) if spec.image in m.images]
        free = sum(m.capacity_for(spec) for m in cached if self.pool.may_start_on(m, spec))
        if not cached or free >= wanted:
            return False
        return self.preempt(job, wanted, cached)

    def preempt_own_team(self, job: JobView, wanted: int) -> bool:
        """Preempt work of the same team with lower priority, when the team's limit is used up.

        Preempted attempts count against the limit until they are proven gone, so the job starts in
        a later round; until then its part of the limit is reserved. Nothing is preempted unless
        machines have capacity for the job. Returns whether the limit will soon allow its tasks.
        """
        spec = job.spec
        if not job.may_preempt or not (job.urgent or job.within_quota):
            return False
        count, victims = self.quota_victims.choose(spec, wanted)
        if not count:
            return False
        capacity = self._find_capacity(job, count)
        if sum(found.count for found in capacity or ()) < (count if spec.gang else 1):
            # Preemption alone would not let the job start: machines must be provisioned first.
            self.plan.unplaced.append((job, count))
            return False
        for victim in victims:
            self.planned.add(victim)
        self.preempt(job, count)
        self.quotas.use(spec, count)
        return True

    def preempt(self, job: JobView, wanted: int, only: list[MachineView] | None = None) -> bool:
        """Claim capacity that is free or being freed, and preempt other attempts where the rules
        allow it; only on the machines `only`, if given. Returns whether all tasks will fit.

        Claimed capacity is withdrawn from this round, so that later jobs do not use it up in small
        parts while a larger job waits for it.
        """
        spec = job.spec
        if not spec.gang and not job.within_quota and spec.priority >= self.lowest_priority:
            # Nothing can be preempted, and independent tasks need not get all capacity at once.
            return False
        if not job.urgent and not job.within_quota:
            return False
        best = self._find_capacity(job, wanted, only)
        if best is None and spec.gang and only is None:
            self._hold_machines(job)
        for found in best or ():
            for victim in found.victims:
                self.planned.add(victim)
            self._claim(found.machine, spec, found.count)
        return best is not None and sum(found.count for found in best) >= wanted

    def _find_capacity(
        self, job: JobView, wanted: int, only: list[MachineView] | None = None
    ) -> list[MachineCapacity] | None:
        """The machines on which the tasks would fit with the least lost work of preempted attempts;
        None if there are none, or if not all tasks of a gang fit."""
        spec = job.spec
        best: list[MachineCapacity] | None = None
        best_cost = 0.0
        for zone in self.pool.zones(spec):
            machines = self.pool.usable(job, zone) if only is None else only
            options = self._options(job, wanted, zone, machines)
            chosen: list[MachineCapacity] = []
            left, total = wanted, 0.0
            room = ZoneRoom(job)
            for found in options:
                count = room.take(found.machine.zone, min(left, found.count))
                if count <= 0:
                    continue
                chosen.append(found.at_most(count))
                left -= count
                total += found.cost / found.count
            if left > 0 and spec.gang:
                continue
            if chosen and (best is None or total < best_cost):
                best, best_cost = chosen, total
        return best

    def _options(
        self, job: JobView, wanted: int, zone: str | None, machines: list[MachineView]
    ) -> list[MachineCapacity]:
        """The machines, in `zone` or in all zones, on which a task would fit: those with scarce
        properties last, then by the cost of preemption per task."""
        options = []
        room = ZoneRoom(job)
        for machine in machines:
            if zone is not None and machine.zone != zone:
                continue
            allowed = min(wanted, room.left(machine.zone))
            if allowed <= 0:
                continue
            found = capacity_with_victims(
                machine, job.spec, allowed, lambda victim: self.may_preempt(victim, job)
            )
            if found.count:
                options.append(found)
        prefer_spot = self.pool.prefer_spot
        options.sort(
            key=lambda found: (
                found.machine.gpus,
                prefer_spot and not found.machine.spot,
                found.cost / found.count,
                found.machine.name,
            )
        )
        return options

    def _hold_machines(self, job: JobView) -> None:
        """Hold the machines that become free soonest for a gang that cannot get enough capacity by
        preemption."""
        spec = job.spec
        best: list[FutureCapacity] | None = None
        for zone in self.pool.zones(spec):
            options = []
            for machine in self.pool.usable(job, zone):
                wait_s, count = earliest_fit(machine, spec)
                if count and wait_s < inf:
                    options.append(FutureCapacity(wait_s, machine, count))
            options.sort(key=lambda option: (option.wait_s, option.machine.name))
            chosen, left = [], spec.tasks
            room = ZoneRoom(job)
            for option in options:
                count = room.take(option.machine.zone, min(left, option.count))
                if count > 0:
                    chosen.append(option)
                    left -= count
            if left <= 0 and (best is None or chosen[-1].wait_s < best[-1].wait_s):
                best = chosen
        if best is not None:
            for option in best:
                option.machine.gang_wait_s = best[-1].wait_s

    @staticmethod
    def _claim(machine: MachineView, spec: JobSpec, count: int) -> None:
        """Withdraw capacity for `count` tasks from the round, first what is being freed."""
        being_freed = machine.detail().being_freed
        for i, need in enumerate((spec.cpus * count, spec.gpus * count, spec.ram * count)):
            from_freed = min(being_freed[i], need)
            being_freed[i] -= from_freed
            machine.free[i] -= need - from_freed
