"""Making room in one round: whom a job may stop, and what is kept for it meanwhile. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import ceil, inf

from peathall import constants
from peathall.placement.capacity import MachineCapacity, capacity_with_victims, free_in
from peathall.placement.pool import MachinePool
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import EPS, JobView, MachineView, Plan, TeamWork, Victim
from peathall.protocol.jobs import JobSpec

# Of a team, what has a lower priority than the one given.
TeamWorkLookup = Callable[[str, int], TeamWork]


class Preemption:
    """Stops work of lower priority for jobs that lack room on machines or under a limit."""

    def __init__(
        self,
        pool: MachinePool,
        limits: TeamQuotas,
        plan: Plan,
        lowest: int,
        team_work: TeamWorkLookup,
    ) -> None:
        self.pool = pool
        self.limits = limits
        self.plan = plan
        self.lowest = lowest  # priority of what matters least of all that runs
        self.team_work = team_work
        self.stopped: set[tuple[str, int]] = set()
        self.stopping: dict[str, list[float]] = {}  # team -> CPUs and GPUs of this round's stops

    def may_stop(self, victim: Victim, job: JobView) -> bool:
        """Whether the rules let the job stop it."""
        if victim.key in self.stopped:
            return False
        if victim.priority > job.spec.priority or (victim.borrowed and job.within_quota):
            return True
        # A guarantee may reach above its own priority, but that job would be placed
        # first again in the next round and the two would stop one another for ever.
        return (
            job.within_quota
            and not victim.within_quota
            and victim.team != job.spec.team
            and victim.priority == job.spec.priority
        )

    def wait_for_image(self, job: JobView, wanted: int) -> bool:
        """Clear machines that have the image, if that is sooner than a fetch elsewhere."""
        spec = job.spec
        if job.fetch_s < constants.FETCH_WORTH_S or not job.urgent:
            return False
        cached = [m for m in self.pool.usable(job) if spec.image in m.images]
        free = sum(m.fits(spec) for m in cached if self.pool.may_fill(m, spec))
        if not cached or free >= wanted:
            return False
        return self.preempt(job, wanted, cached)

    def preempt_own_team(self, job: JobView, wanted: int) -> bool:
        """The team's limit is in the way: stop work of lower priority of the same team.

        Whatever is stopped uses the limit until it is proven gone, so the job starts in a later
        round; until then the limit is kept for it. Nothing is stopped unless the job would
        find room. Returns whether room under the limit is on its way.
        """
        spec = job.spec
        if not job.may_preempt or not (job.urgent or job.within_quota):
            return False
        work = self.team_work(spec.team, spec.priority)
        count, victims = self._fit_limit(spec, wanted, work)
        if not count:
            return False
        room = self._find_room(job, count)
        if sum(found.count for found in room or ()) < (count if spec.gang else 1):
            self.plan.unplaced.append((job, count))  # rented first, and nothing stopped before
            return False
        for victim in victims:
            self._stop(victim)
        self.preempt(job, count)
        self.limits.use(spec, count)
        return True

    def _fit_limit(self, spec: JobSpec, wanted: int, work: TeamWork) -> tuple[int, list[Victim]]:
        """For how many of the tasks the limit has room once the victims are gone: those that
        matter least, and no more of them than are needed. A gang needs room for all tasks."""
        gone = [a + b for a, b in zip(work.is_leaving, self._stops_of(spec.team), strict=True)]
        units = [
            unit
            for unit in work.stoppable
            if all(v.key not in self.stopped and v.machine in self.pool.by_name for v in unit)
        ]
        units.sort(key=lambda unit: (-unit[0].priority, sum(v.lost for v in unit), unit[0].key))
        chosen: list[Sequence[Victim]] = []
        count = self._fits_after(spec, wanted, gone)
        for unit in units:
            if count >= wanted:
                break
            gone = [gone[0] + sum(v.cpus for v in unit), gone[1] + sum(v.gpus for v in unit)]
            chosen.append(unit)
            count = self._fits_after(spec, wanted, gone)
        if spec.gang and count < wanted:
            return 0, []
        for unit in chosen[::-1]:  # what was no help after all, the dearest first
            without = [gone[0] - sum(v.cpus for v in unit), gone[1] - sum(v.gpus for v in unit)]
            if self._fits_after(spec, wanted, without) >= count:
                gone = without
                chosen.remove(unit)
        return count, [victim for unit in chosen for victim in unit]

    def _stops_of(self, team: str) -> list[float]:
        return self.stopping.get(team, [0.0, 0.0])

    def _fits_after(self, spec: JobSpec, wanted: int, gone: Sequence[float]) -> int:
        """How many of the tasks fit under the limit once so many CPUs and GPUs are given back."""
        cpus, gpus = self.limits.lacking(spec, wanted)
        missing = 0
        for lacking, back, need in ((cpus, gone[0], spec.cpus), (gpus, gone[1], spec.gpus)):
            if lacking > back + EPS:
                missing = max(missing, ceil((lacking - back - EPS) / need))
        return max(0, wanted - missing)

    def _stop(self, victim: Victim) -> None:
        """Once a round; its room counts as being freed, on its machine and under the limit."""
        if victim.key in self.stopped:
            return
        self.stopped.add(victim.key)
        self.plan.stops.append(victim.key)
        stops = self.stopping.setdefault(victim.team, [0.0, 0.0])
        stops[0] += victim.cpus
        stops[1] += victim.gpus
        self.pool.by_name[victim.machine].look().free_soon(victim)

    def preempt(self, job: JobView, wanted: int, only: list[MachineView] | None = None) -> bool:
        """Claim room that is or becomes free, and stop others where the rules allow it.

        Claimed room is taken out of this round, so that later jobs do not fill it
        up again piece by piece while a larger one waits for it.
        """
        spec = job.spec
        if not spec.gang and not job.within_quota and spec.priority >= self.lowest:
            return False  # nobody may be stopped, and independent tasks need no room together
        if not job.urgent and not job.within_quota:
            return False
        best = self._find_room(job, wanted, only)
        if best is None and spec.gang and only is None:
            self.keep_machines(job)
        for found in best or ():
            for victim in found.victims:
                self._stop(victim)
            self.claim(found.machine, spec, found.count)
        return best is not None and sum(found.count for found in best) >= wanted

    def _find_room(
        self, job: JobView, wanted: int, only: list[MachineView] | None = None
    ) -> list[MachineCapacity] | None:
        """Where the tasks would fit, at the least cost to those that would be stopped."""
        spec = job.spec
        best: list[MachineCapacity] | None = None
        best_cost = 0.0
        for zone in self.pool.zones(spec):
            options = []
            for machine in self.pool.usable(job, zone) if only is None else only:
                if zone is not None and machine.zone != zone:
                    continue
                found = capacity_with_victims(
                    machine, spec, wanted, lambda v: self.may_stop(v, job)
                )
                if found.count:
                    scarce = (machine.gpus, self.pool.keep_ordinary and not machine.spot)
                    options.append((scarce, found.cost / found.count, machine.name, found))
            options.sort(key=lambda option: option[:3])
            chosen: list[MachineCapacity] = []
            left, total = wanted, 0.0
            for _, cost, _, found in options:
                if left <= 0:
                    break
                chosen.append(found.at_most(left))
                left -= found.count
                total += cost
            if left > 0 and spec.gang:
                continue
            if chosen and (best is None or total < best_cost):
                best, best_cost = chosen, total
        return best

    def keep_machines(self, job: JobView) -> None:
        """Nothing may be stopped: let the machines that are free soonest run empty."""
        spec = job.spec
        best: list[tuple[float, str, MachineView, int]] | None = None
        for zone in self.pool.zones(spec):
            options = []
            for machine in self.pool.usable(job, zone):
                wait, count = free_in(machine, spec)
                if count and wait < inf:
                    options.append((wait, machine.name, machine, count))
            options.sort(key=lambda x: x[:2])
            chosen, left = [], spec.tasks
            for option in options:
                if left <= 0:
                    break
                chosen.append(option)
                left -= option[3]
            if left <= 0 and (best is None or chosen[-1][0] < best[-1][0]):
                best = chosen
        for _, _, machine, _ in best or ():
            assert best is not None
            machine.kept_for = best[-1][0]

    @staticmethod
    def claim(machine: MachineView, spec: JobSpec, count: int) -> None:
        """Take room out of the round, first what is being freed."""
        coming = machine.look().coming
        for i, need in enumerate((spec.cpus * count, spec.gpus * count, spec.ram * count)):
            from_coming = min(coming[i], need)
            coming[i] -= from_coming
            machine.free[i] -= need - from_coming
