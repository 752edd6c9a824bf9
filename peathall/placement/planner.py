"""One round of placement decisions; pure: same arguments, same plan."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from math import inf
from zlib import crc32

from peathall import constants as c
from peathall.placement.ordering import order, rank
from peathall.placement.views import (
    EPS,
    Group,
    JobView,
    MachineView,
    Plan,
    Start,
    Victim,
    allowed,
    fits_in,
)
from peathall.settings import Team
from peathall.wire.names import JobSpec


class Round:
    def __init__(
        self,
        machines: list[MachineView],
        teams: dict[str, Team],
        usage: dict[str, list[float]],
        keep_ordinary: bool = False,
        shapes: Sequence[JobSpec] = (),
        lowest: int | None = None,
    ) -> None:
        self.keep_ordinary = keep_ordinary
        self.shapes = shapes
        self.machines = machines
        self.teams = teams
        self.usage = {team: list(use) for team, use in usage.items()}
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
        waiting = [job for job in jobs if job.todo > 0]
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

    def within_limit(self, spec: JobSpec, wanted: int) -> int:
        """How many of the tasks the team's limit still allows."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        use = self.usage.setdefault(spec.team, [0.0, 0.0])
        limits = ((team.cpus_max, use[0], spec.cpus), (team.gpus_max, use[1], spec.gpus))
        for limit, used, need in limits:
            if limit and need > 0:
                wanted = min(wanted, int((limit - used + EPS) / need))
        return max(0, wanted)

    def use(self, spec: JobSpec, count: int) -> None:
        use = self.usage.setdefault(spec.team, [0.0, 0.0])
        use[0] += spec.cpus * count
        use[1] += spec.gpus * count

    def start(self, job: JobView, machine: MachineView, count: int) -> None:
        spec = job.spec
        self.plan.starts.append(Start(spec.id, machine.name, count))
        self._take(machine, spec, count)
        machine.look().pulling.add(spec.image)
        self.use(spec, count)
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
        spec = job.spec
        if spec.gang:
            if job.lingering:
                return
            if self.within_limit(spec, spec.tasks) < spec.tasks:
                if job.aged:
                    # What its team's smaller jobs give back is not for the next of them.
                    self.use(spec, spec.tasks)
                return
            if self.wait_for_image(job, spec.tasks):
                return
            if not self.place_gang(job) and not job.probe:
                self.make_room(job, spec.tasks)
                self.plan.short.append((job, spec.tasks))
            return
        wanted = self.within_limit(spec, job.todo)
        if wanted and self.wait_for_image(job, wanted):
            return
        left = self.place_tasks(job, wanted)
        if left > 0 and not job.probe:
            self.make_room(job, left)
            self.plan.short.append((job, left))

    def place_tasks(self, job: JobView, wanted: int) -> int:
        """Independent tasks: as many as there is room for. Returns how many lack room."""
        spec = job.spec
        if wanted <= 0:
            return wanted
        cap = (spec.tasks + 1) // 2
        home = next(iter(job.running_zones), None) if spec.one_zone else None
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
            if home is not None and machine.zone != home:
                continue
            count = min(machine.fits(spec), wanted, at_most)
            if not job.urgent:
                count = self.sparing(machine, spec, count)
            if spec.spread:
                count = min(count, cap - job.running_zones.get(machine.zone, 0))
            if count > 0:
                if spec.one_zone:
                    home = machine.zone
                self.start(job, machine, count)
                wanted -= count
        return wanted

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
        best: list[tuple[MachineView, int, list[Victim]]] | None = None
        best_cost = 0.0
        for zone in self.zones(spec):
            options = []
            for machine in self.usable(job, zone) if only is None else only:
                if zone is not None and machine.zone != zone:
                    continue
                count, victims, cost = self.room_with_victims(machine, job, wanted)
                if count:
                    scarce = (machine.gpus, self.keep_ordinary and not machine.spot)
                    options.append((scarce, cost / count, machine.name, machine, count, victims))
            options.sort(key=lambda x: x[:3])
            chosen: list[tuple[MachineView, int, list[Victim]]] = []
            left, total = wanted, 0.0
            for _, cost, _, machine, count, victims in options:
                if left <= 0:
                    break
                chosen.append((machine, min(count, left), victims))
                left -= count
                total += cost
            if left > 0 and spec.gang:
                continue
            if chosen and (best is None or total < best_cost):
                best, best_cost = chosen, total
        if best is None and spec.gang and only is None:
            self.keep_machines(job)
        for machine, count, victims in best or ():
            coming = machine.look().coming
            for victim in victims:
                if victim.key not in self.stopped:
                    self.stopped.add(victim.key)
                    self.plan.stops.append(victim.key)
                coming[0] += victim.cpus
                coming[1] += victim.gpus
                coming[2] += victim.ram
            self.claim(machine, spec, count)
        return best is not None and sum(count for _, count, _ in best) >= wanted

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

    def room_with_victims(
        self, machine: MachineView, job: JobView, wanted: int
    ) -> tuple[int, list[Victim], float]:
        spec = job.spec
        room = machine.room()
        count = min(fits_in(room, spec), wanted)
        victims: list[Victim] = []
        cost = 0.0
        if count >= wanted:
            return count, victims, cost
        picked: list[Victim] = []
        for victim in machine.look().victims:
            if not self.may_stop(victim, job):
                continue
            helps = (victim.cpus and spec.cpus) or (victim.gpus and spec.gpus) or victim.ram
            if not helps:
                continue
            room[0] += victim.cpus
            room[1] += victim.gpus
            room[2] += victim.ram
            picked.append(victim)
            now_fits = min(fits_in(room, spec), wanted)
            if now_fits > count:
                count = now_fits
                victims = list(picked)
                cost = sum(v.lost for v in victims)
                if count >= wanted:
                    break
        return count, victims, cost

    def claim(self, machine: MachineView, spec: JobSpec, count: int) -> None:
        coming = machine.look().coming
        for i, need in enumerate((spec.cpus * count, spec.gpus * count, spec.ram * count)):
            from_coming = min(coming[i], need)
            coming[i] -= from_coming
            machine.free[i] -= need - from_coming


def free_in(machine: MachineView, spec: JobSpec) -> tuple[float, int]:
    """After how many seconds a task of the job fits, if nothing new is placed here."""
    room = machine.room()
    wait = 0.0
    for victim in machine.look().by_end:
        if fits_in(room, spec):
            break
        room[0] += victim.cpus
        room[1] += victim.gpus
        room[2] += victim.ram
        wait = victim.ends
    return wait, min(spec.tasks, fits_in(room, spec))


def choose(spec: JobSpec, machines: list[MachineView]) -> list[tuple[MachineView, int]] | None:
    """Room for all tasks of a gang, on machines in order of preference; None if too little."""
    cap = (spec.tasks + 1) // 2
    per_zone: dict[str, int] = {}
    left = spec.tasks
    chosen = []
    for machine in machines:
        count = min(machine.fits(spec), left)
        if spec.spread:
            count = min(count, cap - per_zone.get(machine.zone, 0))
        if count > 0:
            chosen.append((machine, count))
            per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
            left -= count
        if left == 0:
            return chosen
    return None


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
