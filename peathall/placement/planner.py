"""One round of placement decisions; pure: same arguments, same plan."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from peathall.config.platform import Team
from peathall.placement.capacity import choose
from peathall.placement.ordering import order
from peathall.placement.pool import MachinePool
from peathall.placement.preemption import Preemption, TeamWorkLookup
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import Assignment, JobView, MachineView, Move, Plan, TeamWork
from peathall.protocol.jobs import JobSpec


class Round:
    """The decisions of one round: starts, stops, moves, and which jobs lack room."""

    def __init__(
        self,
        machines: list[MachineView],
        teams: dict[str, Team],
        usage: dict[str, list[float]],
        keep_ordinary: bool = False,
        shapes: Sequence[JobSpec] = (),
        lowest: int | None = None,
        team_work: TeamWorkLookup = lambda team, priority: TeamWork(),
        reserved: Sequence[tuple[JobSpec, int]] = (),
    ) -> None:
        self.pool = MachinePool(machines, keep_ordinary, shapes)
        self.limits = TeamQuotas(teams, usage)
        for spec, count in reserved:
            self.limits.reserve(spec, count)
        self.plan = Plan()
        if lowest is None:
            lowest = max((v.priority for m in machines for v in m.look().victims), default=-1)
        self.preemption = Preemption(self.pool, self.limits, self.plan, lowest, team_work)

    def run(self, jobs: list[JobView]) -> Iterator[None]:
        """Job by job, so that the caller can let others have their turn in between."""
        waiting = [job for job in jobs if job.pending > 0 or job.moving]
        if not waiting:
            return
        self.pool.prepare(waiting)
        totals = self.pool.totals()
        for job in sorted(waiting, key=lambda j: order(j, totals)):
            self.place(job)
            yield
        self.plan.free_capacity = {m.name: m.free for m in self.pool.machines}

    def start(self, job: JobView, machine: MachineView, count: int) -> None:
        """Plan a start, and take its room and its part of the limit."""
        spec = job.spec
        self.plan.assignments.append(Assignment(spec.id, machine.name, count))
        self.pool.take(machine, spec, count)
        machine.look().pulling.add(spec.image)
        self.limits.use(spec, count)
        job.running_zones[machine.zone] = job.running_zones.get(machine.zone, 0) + count
        job.pending -= count

    def place(self, job: JobView) -> None:
        """Starts for the job's waiting tasks, or room made or kept for them."""
        self.limits.release_reserved(job.spec)
        if job.spec.gang:
            self.place_whole(job)
            return
        if job.moving:
            self.place_moves(job)
        if job.pending:
            self.place_independent(job)
        if job.spec.daemon:
            self.limits.reserve(job.spec, job.pending)

    def place_whole(self, job: JobView) -> None:
        """A gang: all of its tasks, or none."""
        spec = job.spec
        if job.has_old_attempts:
            return
        if self.limits.allowance_for(spec, spec.tasks) < spec.tasks:
            if not self.preemption.preempt_own_team(job, spec.tasks) and job.is_starving:
                # What its team's smaller jobs give back is not for the next of them.
                self.limits.use(spec, spec.tasks)
            return
        if self.preemption.wait_for_image(job, spec.tasks):
            return
        if not (self.place_on_reservations(job) or self.place_gang(job)) and job.may_preempt:
            self.preemption.preempt(job, spec.tasks)
            self.plan.unplaced.append((job, spec.tasks))

    def place_independent(self, job: JobView) -> None:
        """Tasks of an array, or replicas: as many as room and limit allow."""
        wanted = self.limits.allowance_for(job.spec, job.pending)
        over_limit = job.pending - wanted
        if wanted and self.preemption.wait_for_image(job, wanted):
            return
        left = self.place_tasks(job, wanted)
        if left > 0 and job.may_preempt:
            self.preemption.preempt(job, left)
            self.plan.unplaced.append((job, left))
        elif over_limit and job.may_preempt:
            self.preemption.preempt_own_team(job, over_limit)

    def place_tasks(self, job: JobView, wanted: int) -> int:
        """Independent tasks: as many as there is room for. Returns how many lack room."""
        wanted -= self.start_on_reservations(job, wanted)
        if wanted <= 0:
            return wanted
        spec = job.spec
        found = self.pool.candidates(job)
        most = [spec.tasks] * len(found)
        if spec.daemon:
            # One replica on each machine without any first: a machine's end shall cost one.
            fresh = [m for m in found if m.name not in job.hosts]
            most = [1] * len(fresh) + most
            found = fresh + found
        for machine, at_most in zip(found, most, strict=True):
            if wanted <= 0:
                break
            count = min(machine.fits(spec), wanted, at_most)
            if not job.urgent:
                count = self.pool.sparing(machine, spec, count)
            count = min(count, zone_allowance(job, machine.zone))
            if count > 0:
                self.start(job, machine, count)
                wanted -= count
        return wanted

    # --- room kept before ----------------------------------------------------
    def reserve(self, job: JobView) -> list[Assignment]:
        """Room for all of the job at once that is left after all jobs of the round; none if it
        does not suffice."""
        spec = job.spec
        if self.limits.allowance_for(spec, spec.tasks) < spec.tasks:
            return []
        self.pool.prepare([job])
        before = len(self.plan.assignments)
        found = self.place_gang(job) if spec.gang else not self.place_tasks(job, spec.tasks)
        assignments = self.plan.assignments[before:]
        del self.plan.assignments[before:]
        if found:
            return assignments
        for start in assignments:
            self.pool.take(self.pool.by_name[start.machine], spec, -start.count)
            self.limits.use(spec, -start.count)
        return []

    def place_on_reservations(self, job: JobView) -> bool:
        """A gang goes to the room that was kept for all of it, or stays for the usual search."""
        booked = {self.pool.by_name[name]: count for name, count in job.reservations.items()
                  if name in self.pool.by_name}  # fmt: skip
        for machine, count in booked.items():
            machine.take(job.spec, -count)
        choice = choose(job.spec, list(booked)) if booked else None
        for machine, count in choice or ():
            self.start(job, machine, count)
        if choice is None:
            for machine, count in booked.items():
                machine.take(job.spec, count)
        return choice is not None

    # --- planned moves -------------------------------------------------------
    def start_on_reservations(self, job: JobView, wanted: int) -> int:
        """Replicas that were stopped for a move go to the room booked for them."""
        started = 0
        for name, booked in job.reservations.items():
            machine = self.pool.by_name.get(name)
            if machine is None:
                continue
            machine.take(job.spec, -booked)
            allowance = zone_allowance(job, machine.zone)
            count = min(booked, machine.fits(job.spec), wanted - started, allowance)
            if count > 0:
                self.start(job, machine, count)
                started += count
            machine.take(job.spec, booked - max(0, count))  # stays booked
        return started

    def place_moves(self, job: JobView) -> None:
        """Book room for replicas whose machines are to be left. Each runs on until then."""
        spec = job.spec
        found = self.pool.candidates(job)
        found.sort(key=lambda machine: machine.name in job.hosts)
        waiting = 0
        for replica in job.moving:
            job.running_zones[replica.zone] = job.running_zones.get(replica.zone, 1) - 1
            target = next(
                (m for m in found if m.fits(spec) and zone_allowance(job, m.zone) > 0), None
            )
            if target is None:
                job.running_zones[replica.zone] += 1
                waiting += 1
                continue
            self.pool.take(target, spec, 1)
            job.running_zones[target.zone] = job.running_zones.get(target.zone, 0) + 1
            job.hosts = {*job.hosts, target.name}
            found.sort(key=lambda machine: machine.name in job.hosts)
            self.plan.moves.append(Move(spec.id, replica.task, target.name))
        if waiting:
            self.preemption.preempt(job, waiting)
            self.plan.unplaced.append((job, waiting))

    def place_gang(self, job: JobView) -> bool:
        """Starts for all tasks, in the zone where the fewest must fetch; False without room."""
        spec = job.spec
        found = self.pool.candidates(job)
        options = []
        for zone in self.pool.zones(spec):
            choice = choose(spec, [m for m in found if zone is None or m.zone == zone])
            if choice is not None:
                uncached = sum(n for m, n in choice if spec.image not in m.images)
                options.append((uncached, str(zone), choice))
        if not options:
            return False
        _, _, best = min(options, key=lambda x: x[:2])
        for machine, count in best:
            self.start(job, machine, count)
        return True


def zone_allowance(job: JobView, zone: str) -> int:
    """How many more of the job's tasks its own rules allow in that zone."""
    spec = job.spec
    if not (spec.one_zone or spec.spread):
        return spec.tasks
    used = {name: count for name, count in job.running_zones.items() if count > 0}
    if spec.one_zone and used and zone not in used:
        return 0
    if spec.spread:
        return (spec.tasks + 1) // 2 - used.get(zone, 0)
    return spec.tasks


def make_plan(
    jobs: list[JobView],
    machines: list[MachineView],
    teams: dict[str, Team],
    usage: dict[str, list[float]],
) -> Plan:
    """A whole round at once."""
    current = Round(machines, teams, usage)
    for _ in current.run(jobs):
        pass
    return current.plan
