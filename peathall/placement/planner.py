"""One round of placement decisions, without side effects: the same arguments give the same plan."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from peathall.config.platform import Team
from peathall.placement.capacity import pack_gang
from peathall.placement.ordering import job_sort_key
from peathall.placement.plan import Assignment, Move, Plan
from peathall.placement.pool import MachinePool
from peathall.placement.preemption import Preemption
from peathall.placement.quota_preemption import TeamWorkloadLookup
from peathall.placement.quotas import LastingUsageLookup, TeamQuotas
from peathall.placement.views import JobView, MachineView, TeamWorkload
from peathall.protocol.jobs import JobSpec


class Round:
    """The decisions of one round: starts, preemptions, moves, and which jobs lack capacity.

    `usage` holds the CPUs and GPUs that each team uses. `reserved` lists jobs, each with the number
    of tasks for which part of their team's limit is reserved. `lowest_priority` is the lowest
    priority of all running attempts (the highest number); by default it is looked up on the
    machines. `MachinePool` and `Preemption` describe the other arguments.
    """

    def __init__(
        self,
        machines: list[MachineView],
        teams: dict[str, Team],
        usage: dict[str, list[float]],
        *,
        prefer_spot: bool = False,
        recent_gangs: Sequence[JobSpec] = (),
        lowest_priority: int | None = None,
        team_workload: TeamWorkloadLookup = lambda team, priority: TeamWorkload(),
        lasting_usage: LastingUsageLookup = lambda team, priority: (0.0, 0.0),
        reserved: Sequence[tuple[JobSpec, int]] = (),
    ) -> None:
        self.pool = MachinePool(machines, prefer_spot, recent_gangs)
        self.quotas = TeamQuotas(teams, usage, lasting_usage)
        for spec, count in reserved:
            self.quotas.reserve(spec, count)
        self.plan = Plan()
        if lowest_priority is None:
            lowest_priority = max(
                (v.priority for m in machines for v in m.detail().victims), default=-1
            )
        self.preemption = Preemption(
            self.pool, self.quotas, self.plan, lowest_priority, team_workload
        )

    def run(self, jobs: list[JobView]) -> Iterator[None]:
        """Place the jobs one by one; the caller may run other coroutines at each yield."""
        waiting = [job for job in jobs if job.pending > 0 or job.moving]
        if not waiting:
            return
        self.pool.prepare(waiting)
        totals = self.pool.totals()
        for job in sorted(waiting, key=lambda job: job_sort_key(job, totals)):
            try:
                self._place(job)
            except Exception as exc:
                # The other jobs of the round must not wait for a fault that concerns this one.
                self.plan.leave_out(job.spec.id, exc)
            yield
        self.plan.free_capacity = {m.name: m.free for m in self.pool.machines}

    def reserve(self, job: JobView) -> list[Assignment]:
        """Find capacity for all tasks of the job that the jobs of the round have left free. Must be
        called after `run`. Returns an empty list if the capacity does not suffice."""
        spec = job.spec
        if self.quotas.allowance_for(spec, spec.tasks) < spec.tasks:
            return []
        self.pool.prepare([job])
        before = len(self.plan.assignments)
        found = self._place_gang(job) if spec.gang else not self._place_tasks(job, spec.tasks)
        assignments = self.plan.assignments[before:]
        del self.plan.assignments[before:]
        if found:
            return assignments
        for assignment in assignments:
            self.pool.take(self.pool.by_name[assignment.machine], spec, -assignment.count)
            self.quotas.use(spec, -assignment.count)
        return []

    def _start(self, job: JobView, machine: MachineView, count: int) -> None:
        """Plan an assignment, and deduct it from the machine's capacity and the team's limit."""
        spec = job.spec
        self.plan.assignments.append(Assignment(spec.id, machine.name, count))
        self.pool.take(machine, spec, count)
        machine.detail().fetching.add(spec.image)
        self.quotas.use(spec, count)
        job.running_zones[machine.zone] = job.running_zones.get(machine.zone, 0) + count
        job.pending -= count

    def _place(self, job: JobView) -> None:
        """Place the job's pending tasks, or preempt other attempts or claim capacity for them."""
        self.quotas.release_reserved(job.spec)
        if job.spec.gang:
            self._place_or_preempt_gang(job)
            return
        if job.moving:
            self._place_moves(job)
        if job.pending and not job.changes_zone:
            self._place_or_preempt_tasks(job)
        if job.spec.daemon and job.keeps_quota:
            self.quotas.reserve(job.spec, job.pending)

    def _place_or_preempt_gang(self, job: JobView) -> None:
        """Place all tasks of a gang, or none and preempt other attempts for them."""
        spec = job.spec
        if job.has_old_attempts:
            return
        if self.quotas.allowance_for(spec, spec.tasks) < spec.tasks:
            will_fit = self.preemption.preempt_own_team(job, spec.tasks)
            if not will_fit and job.is_starving and self.quotas.may_ever_allow(spec):
                # Otherwise smaller jobs of the team would use each part of the limit once freed.
                self.quotas.use(spec, spec.tasks)
            return
        if self.preemption.wait_for_image(job, spec.tasks):
            return
        if not (self._place_on_reservations(job) or self._place_gang(job)) and job.may_preempt:
            self.preemption.preempt(job, spec.tasks)
            self.plan.unplaced.append((job, spec.tasks))

    def _place_or_preempt_tasks(self, job: JobView) -> None:
        """Place tasks of an array or replicas of a daemon, as many as capacity and team limit
        allow, and preempt other attempts for the rest."""
        wanted = self.quotas.allowance_for(job.spec, job.pending)
        over_limit = job.pending - wanted
        if wanted and self.preemption.wait_for_image(job, wanted):
            return
        left = self._place_tasks(job, wanted)
        if left > 0 and job.may_preempt:
            self.preemption.preempt(job, left)
            self.plan.unplaced.append((job, left))
        elif over_limit and job.may_preempt:
            self.preemption.preempt_own_team(job, over_limit)

    def _place_tasks(self, job: JobView, wanted: int) -> int:
        """Place as many of the independent tasks as fit. Returns the number that do not fit."""
        wanted -= self._start_on_reservations(job, wanted)
        if wanted <= 0:
            return wanted
        spec = job.spec
        machines = self.pool.candidates(job)
        limits = [spec.tasks] * len(machines)  # maximum number of tasks for each machine
        if spec.daemon:
            # First place one replica on each machine that has none, so that the loss of a machine
            # costs as few replicas as possible.
            without_replica = [m for m in machines if m.name not in job.replica_machines]
            limits = [1] * len(without_replica) + limits
            machines = without_replica + machines
        leaves_gang_capacity = not (job.urgent or job.may_use_gang_capacity)
        for machine, limit in zip(machines, limits, strict=True):
            if wanted <= 0:
                break
            count = min(machine.capacity_for(spec), wanted, limit)
            if leaves_gang_capacity:
                count = self.pool.limit_for_gangs(machine, spec, count)
            count = min(count, job.zone_allowance(machine.zone))
            if count > 0:
                self._start(job, machine, count)
                wanted -= count
                leaves_gang_capacity = not job.urgent
        return wanted

    def _place_gang(self, job: JobView) -> bool:
        """Place all tasks of the gang; if they must share a zone, in the one where the fewest have
        to fetch the image. Returns False if they do not fit."""
        spec = job.spec
        machines = self.pool.candidates(job)
        options = []
        for zone in self.pool.zones(spec):
            choice = pack_gang(spec, [m for m in machines if zone is None or m.zone == zone])
            if choice is not None:
                uncached = sum(n for m, n in choice if spec.image not in m.images)
                options.append((uncached, str(zone), choice))
        if not options:
            return False
        _, _, best = min(options, key=lambda option: option[:2])
        for machine, count in best:
            self._start(job, machine, count)
        return True

    def _place_on_reservations(self, job: JobView) -> bool:
        """Place a gang on the capacity reserved for it. Returns False unless all of it fits."""
        reserved = {
            self.pool.by_name[name]: count
            for name, count in job.reservations.items()
            if name in self.pool.by_name
        }
        for machine, count in reserved.items():
            machine.take(job.spec, -count)
        choice = pack_gang(job.spec, list(reserved)) if reserved else None
        for machine, count in choice or ():
            self._start(job, machine, count)
        if choice is None:
            for machine, count in reserved.items():
                machine.take(job.spec, count)
        return choice is not None

    def _start_on_reservations(self, job: JobView, wanted: int) -> int:
        """Place independent tasks on the capacity reserved for them. Returns the number placed."""
        started = 0
        for name, reserved in job.reservations.items():
            machine = self.pool.by_name.get(name)
            if machine is None:
                continue
            machine.take(job.spec, -reserved)
            allowance = job.zone_allowance(machine.zone)
            count = min(reserved, machine.capacity_for(job.spec), wanted - started, allowance)
            if count > 0:
                self._start(job, machine, count)
                started += count
            machine.take(job.spec, reserved - max(0, count))  # the rest stays reserved
        return started

    def _place_moves(self, job: JobView) -> None:
        """Find capacity elsewhere for replicas on draining machines. Each replica keeps running
        until capacity for it is reserved, and is in its old zone until it has ended: afterwards
        `running_zones` counts it in both zones."""
        spec = job.spec
        machines = self.pool.candidates(job)
        machines.sort(key=lambda machine: machine.name in job.replica_machines)
        waiting = 0
        moved_from: list[str] = []
        for replica in job.moving:
            job.running_zones[replica.zone] = job.running_zones.get(replica.zone, 1) - 1
            target = next(
                (m for m in machines if m.capacity_for(spec) and job.zone_allowance(m.zone) > 0),
                None,
            )
            if target is None:
                job.running_zones[replica.zone] += 1
                waiting += 1
                continue
            self.pool.take(target, spec, 1)
            job.running_zones[target.zone] = job.running_zones.get(target.zone, 0) + 1
            job.replica_machines = {*job.replica_machines, target.name}
            machines.sort(key=lambda machine: machine.name in job.replica_machines)
            self.plan.moves.append(Move(spec.id, replica.task, target.name))
            moved_from.append(replica.zone)
            job.changes_zone |= spec.one_zone and target.zone != replica.zone
        for zone in moved_from:
            job.running_zones[zone] += 1
        if waiting:
            self.preemption.preempt(job, waiting)
            self.plan.unplaced.append((job, waiting))


def make_plan(
    jobs: list[JobView],
    machines: list[MachineView],
    teams: dict[str, Team],
    usage: dict[str, list[float]],
) -> Plan:
    """Plan a whole round without yielding."""
    current = Round(machines, teams, usage)
    for _ in current.run(jobs):
        pass
    return current.plan
