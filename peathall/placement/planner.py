"""One round of placement decisions; pure: same arguments, same plan."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from math import ceil, inf
from zlib import crc32

from peathall import constants as c
from peathall.placement.limits import TeamLimits
from peathall.placement.ordering import order, rank
from peathall.placement.room import MachineRoom, choose, free_in, room_with_victims
from peathall.placement.views import (
    EPS,
    Group,
    JobView,
    MachineView,
    Move,
    Plan,
    Start,
    TeamWork,
    Victim,
    allowed,
    fits_in,
)
from peathall.settings import Team
from peathall.wire.names import JobSpec


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
        team_work: Callable[[str, int], TeamWork] = lambda team, priority: TeamWork(),
        reserved: Sequence[tuple[JobSpec, int]] = (),
    ) -> None:
        self.keep_ordinary = keep_ordinary
        self.shapes = shapes
        self.machines = machines
        self.by_name = {machine.name: machine for machine in machines}
        self.limits = TeamLimits(teams, usage)
        for spec, count in reserved:
            self.limits.reserve(spec, count)
        self.team_work = team_work  # of a team, what has a lower priority than the one given
        self.stopping: dict[str, list[float]] = {}  # team -> CPUs and GPUs of this round's stops
        self.plan = Plan()
        self.stopped: set[tuple[str, int]] = set()
        if lowest is None:
            lowest = max((v.priority for m in machines for v in m.look().victims), default=-1)
        self.lowest = lowest  # priority of what matters least of all that runs
        self.groups: dict[tuple[str, str, bool], Group] = {}
        for machine in machines:
            key = (machine.type, machine.zone, machine.spot)
            if key not in self.groups:
                self.groups[key] = Group(machine)
            self.groups[key].machines.append(machine)
        self.zone_names = list(dict.fromkeys(m.zone for m in machines))
        self.floor = (0.0, 0.0, 0.0)
        self.roomy: list[int] = []  # see _count_roomy

    def run(self, jobs: list[JobView]) -> Iterator[None]:
        """Job by job, so that the caller can let others have their turn in between."""
        waiting = [job for job in jobs if job.todo > 0 or job.moving]
        if not waiting:
            return
        if any(not job.spec.gang and not job.urgent for job in waiting):
            self._count_roomy()
        else:
            self.shapes = ()  # nobody will spare anything
        totals = (sum(m.cpus for m in self.machines), sum(m.gpus for m in self.machines))
        specs = [job.spec for job in waiting]
        # A machine without room for the least that any job needs is not looked at again.
        self.floor = (
            min(s.cpus for s in specs) - EPS,
            min(s.gpus for s in specs) - EPS,
            min(s.ram for s in specs) - EPS,
        )
        for group in self.groups.values():
            group.open = group.machines
            self._narrow(group)
        for job in sorted(waiting, key=lambda j: order(j, totals)):
            self.place(job)
            yield
        self.plan.leftover = {m.name: m.free for m in self.machines}

    def _count_roomy(self) -> None:
        """How many machines have room for one more task of each of `shapes`."""
        self.roomy = [
            sum(m.fits(shape) > 0 for g in self.groups.values() if allowed(g, shape)
                for m in g.machines)
            for shape in self.shapes
        ]  # fmt: skip

    def _narrow(self, group: Group) -> None:
        cpus, gpus, ram = self.floor
        group.open = [
            m for m in group.open if m.free[0] >= cpus and m.free[1] >= gpus and m.free[2] >= ram
        ]

    def start(self, job: JobView, machine: MachineView, count: int) -> None:
        spec = job.spec
        self.plan.starts.append(Start(spec.id, machine.name, count))
        self._take(machine, spec, count)
        machine.look().pulling.add(spec.image)
        self.limits.use(spec, count)
        job.running_zones[machine.zone] = job.running_zones.get(machine.zone, 0) + count
        job.todo -= count

    def _take(self, machine: MachineView, spec: JobSpec, count: int) -> None:
        before = [machine.fits(shape) > 0 for shape in self.shapes]
        machine.take(spec, count)
        for i, shape in enumerate(self.shapes):
            if before[i] and not machine.fits(shape) and allowed(machine, shape):
                self.roomy[i] -= 1

    @staticmethod
    def may_fill(machine: MachineView, spec: JobSpec) -> bool:
        """On a machine that is kept for a gang, only what ends before that can start."""
        return machine.kept_for is None or (not spec.gang and spec.expected_s < machine.kept_for)

    def allowed_groups(self, spec: JobSpec) -> list[Group]:
        return [group for group in self.groups.values() if allowed(group, spec)]

    def usable(self, job: JobView, zone: str | None = None) -> list[MachineView]:
        """The machines that the job allows, in one zone or in all."""
        return [
            m
            for group in self.allowed_groups(job.spec)
            if zone is None or group.zone == zone
            for m in group.machines
            if m.name not in job.avoid
        ]

    def candidates(self, job: JobView) -> list[MachineView]:
        """The machines with room for a task of the job, best first."""
        spec = job.spec
        cpus, gpus, ram = spec.cpus - EPS, spec.gpus - EPS, spec.ram - EPS
        found = []
        for group in self.allowed_groups(spec):
            self._narrow(group)
            for m in group.open:
                free = m.free
                if (
                    free[0] >= cpus
                    and free[1] >= gpus
                    and free[2] >= ram
                    and self.may_fill(m, spec)
                    and m.name not in job.avoid
                ):
                    found.append(m)
        seed = crc32(f"{spec.id} ".encode())
        found.sort(key=lambda m: rank(m, spec, self.keep_ordinary, seed))
        return found

    def place(self, job: JobView) -> None:
        """Starts for the job's waiting tasks, or room made or kept for them."""
        self.limits.release_reserved(job.spec)
        if job.spec.gang:
            self.place_whole(job)
            return
        if job.moving:
            self.place_moves(job)
        if job.todo:
            self.place_independent(job)
        if job.spec.daemon:
            self.limits.reserve(job.spec, job.todo)

    def place_whole(self, job: JobView) -> None:
        """A gang: all of its tasks, or none."""
        spec = job.spec
        if job.lingering:
            return
        if self.limits.room_for(spec, spec.tasks) < spec.tasks:
            if not self.preempt_own_team(job, spec.tasks) and job.aged:
                # What its team's smaller jobs give back is not for the next of them.
                self.limits.use(spec, spec.tasks)
            return
        if self.wait_for_image(job, spec.tasks):
            return
        if not self.place_gang(job) and not job.probe:
            self.make_room(job, spec.tasks)
            self.plan.short.append((job, spec.tasks))

    def place_independent(self, job: JobView) -> None:
        """Tasks of an array, or replicas: as many as room and limit allow."""
        wanted = self.limits.room_for(job.spec, job.todo)
        over_limit = job.todo - wanted
        if wanted and self.wait_for_image(job, wanted):
            return
        left = self.place_tasks(job, wanted)
        if left > 0 and not job.probe:
            self.make_room(job, left)
            self.plan.short.append((job, left))
        elif over_limit and not job.probe:
            self.preempt_own_team(job, over_limit)

    def place_tasks(self, job: JobView, wanted: int) -> int:
        """Independent tasks: as many as there is room for. Returns how many lack room."""
        wanted -= self.start_on_bookings(job, wanted)
        if wanted <= 0:
            return wanted
        spec = job.spec
        found = self.candidates(job)
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
                count = self.sparing(machine, spec, count)
            count = min(count, zone_allowance(job, machine.zone))
            if count > 0:
                self.start(job, machine, count)
                wanted -= count
        return wanted

    # --- planned moves -------------------------------------------------------
    def start_on_bookings(self, job: JobView, wanted: int) -> int:
        """Replicas that were stopped for a move go to the room booked for them."""
        started = 0
        for name, booked in job.bookings.items():
            machine = self.by_name.get(name)
            if machine is None:
                continue
            machine.take(job.spec, -booked)
            allowance = zone_allowance(job, machine.zone)
            count = min(booked, machine.fits(job.spec), wanted - started, allowance)
            if count > 0:
                self.start(job, machine, count)
                started += count
        return started

    def place_moves(self, job: JobView) -> None:
        """Book room for replicas whose machines are to be left. Each runs on until then."""
        spec = job.spec
        found = self.candidates(job)
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
            self._take(target, spec, 1)
            job.running_zones[target.zone] = job.running_zones.get(target.zone, 0) + 1
            job.hosts = {*job.hosts, target.name}
            found.sort(key=lambda machine: machine.name in job.hosts)
            self.plan.moves.append(Move(spec.id, replica.task, target.name))
        if waiting:
            self.make_room(job, waiting)
            self.plan.short.append((job, waiting))

    def sparing(self, machine: MachineView, spec: JobSpec, count: int) -> int:
        """As many tasks as leave room for the next gang of each class, somewhere: for all of
        a gang that could not stop these tasks, for one task of any other."""
        for i, shape in enumerate(self.shapes):
            spared = shape.tasks if shape.priority >= spec.priority else 1
            # Only the last machines with room for such a task have to spare it.
            if self.roomy[i] > spared or not allowed(machine, shape) or not machine.fits(shape):
                continue
            spare = [
                a - b
                for a, b in zip(machine.free, (shape.cpus, shape.gpus, shape.ram), strict=True)
            ]
            count = min(count, fits_in(spare, spec))
        return count

    def zones(self, spec: JobSpec) -> list[str | None]:
        return list(self.zone_names) if spec.one_zone else [None]

    def place_gang(self, job: JobView) -> bool:
        spec = job.spec
        found = self.candidates(job)
        options = []
        for zone in self.zones(spec):
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

    # --- preemption ----------------------------------------------------------
    def may_stop(self, victim: Victim, job: JobView) -> bool:
        if victim.key in self.stopped:
            return False
        if victim.priority > job.spec.priority:
            return True
        # A guarantee may reach above its own priority, but that job would be placed
        # first again in the next round and the two would stop one another for ever.
        return (
            job.covered
            and not victim.guaranteed
            and victim.team != job.spec.team
            and victim.priority == job.spec.priority
        )

    def wait_for_image(self, job: JobView, wanted: int) -> bool:
        """Clear machines that have the image, if that is sooner than a fetch elsewhere."""
        spec = job.spec
        if job.fetch_s < c.FETCH_WORTH_S or not job.urgent:
            return False
        cached = [m for m in self.usable(job) if spec.image in m.images]
        free = sum(m.fits(spec) for m in cached if self.may_fill(m, spec))
        if not cached or free >= wanted:
            return False
        return self.make_room(job, wanted, cached)

    def preempt_own_team(self, job: JobView, wanted: int) -> bool:
        """The team's limit is in the way: stop work of lower priority of the same team.

        Whatever is stopped uses the limit until it is proven gone, so the job starts in a later
        round; until then the limit is kept for it. Nothing is stopped unless the job would
        find room. Returns whether room under the limit is on its way.
        """
        spec = job.spec
        if job.probe or not (job.urgent or job.covered):
            return False
        work = self.team_work(spec.team, spec.priority)
        count, victims = self._fit_limit(spec, wanted, work)
        if not count:
            return False
        room = self._find_room(job, count)
        if sum(found.count for found in room or ()) < (count if spec.gang else 1):
            self.plan.short.append((job, count))  # rented first, and nothing stopped before
            return False
        for victim in victims:
            self._stop(victim)
        self.make_room(job, count)
        self.limits.use(spec, count)
        return True

    def _fit_limit(self, spec: JobSpec, wanted: int, work: TeamWork) -> tuple[int, list[Victim]]:
        """For how many of the tasks the limit has room once the victims are gone: those that
        matter least, and no more of them than are needed. A gang needs room for all tasks."""
        gone = [a + b for a, b in zip(work.leaving, self._stops_of(spec.team), strict=True)]
        units = [
            unit
            for unit in work.stoppable
            if all(v.key not in self.stopped and v.machine in self.by_name for v in unit)
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
        self.by_name[victim.machine].look().free_soon(victim)

    def make_room(self, job: JobView, wanted: int, only: list[MachineView] | None = None) -> bool:
        """Claim room that is or becomes free, and stop others where the rules allow it.

        Claimed room is taken out of this round, so that later jobs do not fill it
        up again piece by piece while a larger one waits for it.
        """
        spec = job.spec
        if not spec.gang and not job.covered and spec.priority >= self.lowest:
            return False  # nobody may be stopped, and independent tasks need no room together
        if not job.urgent and not job.covered:
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
    ) -> list[MachineRoom] | None:
        """Where the tasks would fit, at the least cost to those that would be stopped."""
        spec = job.spec
        best: list[MachineRoom] | None = None
        best_cost = 0.0
        for zone in self.zones(spec):
            options = []
            for machine in self.usable(job, zone) if only is None else only:
                if zone is not None and machine.zone != zone:
                    continue
                found = room_with_victims(machine, spec, wanted, lambda v: self.may_stop(v, job))
                if found.count:
                    scarce = (machine.gpus, self.keep_ordinary and not machine.spot)
                    options.append((scarce, found.cost / found.count, machine.name, found))
            options.sort(key=lambda option: option[:3])
            chosen: list[MachineRoom] = []
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
        for zone in self.zones(spec):
            options = []
            for machine in self.usable(job, zone):
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

    def claim(self, machine: MachineView, spec: JobSpec, count: int) -> None:
        coming = machine.look().coming
        for i, need in enumerate((spec.cpus * count, spec.gpus * count, spec.ram * count)):
            from_coming = min(coming[i], need)
            coming[i] -= from_coming
            machine.free[i] -= need - from_coming


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
