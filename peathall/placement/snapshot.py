"""Views of jobs, machines and attempts, as they are when a round of placement begins."""

from __future__ import annotations

from collections.abc import Iterator

from peathall import constants
from peathall.cluster.job import Attempt, Job, JobHealth, JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.placement.ordering import gathering_s, latest_start
from peathall.placement.reservations import Reservations
from peathall.placement.views import (
    JobView,
    MachineDetail,
    MachineView,
    MovingReplica,
    TeamWork,
    Victim,
)
from peathall.protocol.jobs import JobSpec
from peathall.workers.service import Workers


class Snapshot:
    """What a round decides on. Machines' details are looked up during the round, when needed."""

    def __init__(
        self, cluster: ClusterState, params: Params, workers: Workers, reservations: Reservations
    ) -> None:
        self.cluster = cluster
        self.params = params
        self.workers = workers
        self.reservations = reservations
        self.teams = {team.name: team for team in params.teams}
        self.wall = self.now = 0.0
        self.within_quota: set[str] = set()  # jobs within their teams' guarantees
        self.shapes: dict[str, JobSpec] = {}  # by class, see gang_shapes()

    def begin(self, wall: float, now: float) -> None:
        """The round that begins at this time of day and steady time."""
        self.wall, self.now = wall, now
        self.within_quota = self._jobs_within_quota()

    def active(self) -> list[Job]:
        """Jobs with work left."""
        return [job for job in self.cluster.jobs.values() if job.phase is JobPhase.ACTIVE]

    def jobs(self) -> list[JobView]:
        """Those of which a task may start or a replica is to move."""
        views = []
        for job in self.active():
            pending, moving = self._may_start(job, self.now), self._moving(job)
            if (pending or moving) and not self._zone_unknown(job):
                views.append(self._job_view(job, pending, moving))
        return views

    def machines(self) -> list[MachineView]:
        """Those that take new work."""
        booked = self.reservations.room()
        return [
            self._machine_view(machine, booked.get(machine.name))
            for machine in self.cluster.machines.values()
            if self.is_schedulable(machine, self.now)
        ]

    def starting(self, now: float) -> list[tuple[float, MachineView]]:
        """Machines on their way, and in how many seconds they should be up."""
        return [
            (max(1.0, self.cluster.types[machine.type].boot_s - (now - machine.created_at)),
             self._machine_view(machine, None))
            for machine in self.cluster.machines.values()
            if machine.phase is MachinePhase.STARTING and machine.cpus > 0
        ]  # fmt: skip

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Whether it takes new work: it hears us, and we have heard it lately."""
        silent = self.workers.health.seconds_since_heartbeat(machine, now)
        return (
            machine.is_schedulable and machine.cpus > 0 and silent < self.workers.health.suspect_s()
        )

    def gang_shapes(self) -> list[JobSpec]:
        """The largest gang of each class that came lately."""
        gangs = [job.spec for job in self.cluster.jobs.values() if job.spec.gang]
        lately = [
            spec
            for spec in [*self.shapes.values(), *gangs]
            if self.wall - spec.submitted < constants.SHAPE_MEMORY_S
        ]
        self.shapes = {}
        for spec in lately:
            known = self.shapes.get(spec.class_name)
            if known is None or (spec.tasks, spec.submitted) >= (known.tasks, known.submitted):
                self.shapes[spec.class_name] = spec
        return list(self.shapes.values())

    def _jobs_within_quota(self) -> set[str]:
        """Jobs that fit into their team's guarantee with the team's earlier unfinished ones."""
        sums: dict[str, list[float]] = {}
        within_quota = set()
        # What may be mistaken takes its team's guarantee from no other job.
        active = [
            job for job in self.active() if job.health is not JobHealth.FAILING and not job.borrowed
        ]
        for job in sorted(active, key=lambda j: j.spec.submitted):
            team = self.teams.get(job.spec.team)
            if team is None or not (team.cpus or team.gpus):
                continue
            use = sums.setdefault(team.name, [0.0, 0.0])
            left = job.spec.tasks - len(job.done)
            use[0] += job.spec.cpus * left
            use[1] += job.spec.gpus * left
            asks = (team.gpus and job.spec.gpus) or (team.cpus and job.spec.cpus)
            if (
                asks
                and (not team.cpus or use[0] <= team.cpus)
                and (not team.gpus or use[1] <= team.gpus)
            ):
                within_quota.add(job.spec.id)
        return within_quota

    def _zone_unknown(self, job: Job) -> bool:
        """Whether its other tasks decide where the next may go, and one of them is on a machine
        whose zone is not known: known from records only, neither heard nor listed yet."""
        if not (job.spec.one_zone or job.spec.spread):
            return False
        return any(not self.cluster.machines[a.machine].zone for a in job.attempts.values())

    @staticmethod
    def _may_start(job: Job, now: float) -> int:
        """How many tasks may start now: of a job that may be mistaken, one probe at a time."""
        if job.on_hold or now < job.backoff_until:
            return 0
        if job.health is not JobHealth.FAILING:
            return len(job.pending)
        return 0 if job.attempts or not job.pending else job.spec.tasks if job.spec.gang else 1

    def _moving(self, job: Job) -> list[MovingReplica]:
        """Replicas on machines that are to be left: they would never end by themselves."""
        if not job.spec.daemon:
            return []
        found = []
        for attempt in job.attempts.values():
            machine = self.cluster.machines[attempt.machine]
            if machine.phase is MachinePhase.DRAINING and not attempt.stopping:
                found.append(MovingReplica(attempt.task, machine.zone))
        return found

    def lost_replicas(self) -> list[tuple[JobSpec, int]]:
        """Of each job that has served before, how many replicas are missing."""
        return [
            (job.spec, len(job.pending))
            for job in self.active()
            if job.spec.daemon
            and job.pending
            and (job.has_started or job.attempts)
            and job.health is not JobHealth.FAILING
        ]

    def reserved(self) -> list[tuple[JobSpec, int]]:
        """What of the teams' limits is kept, for which job and how many of its tasks."""
        return [*self.lost_replicas(), *self.reservations.reserved()]

    def offered_view(self, spec: JobSpec) -> JobView:
        """Another cell's job that is looked for room for."""
        return JobView(spec, spec.tasks, urgent=False, borrowed=True)

    def _job_view(self, job: Job, pending: int, moving: list[MovingReplica]) -> JobView:
        zones: dict[str, int] = {}
        if job.spec.one_zone or job.spec.spread:
            for attempt in job.attempts.values():
                zone = self.cluster.machines[attempt.machine].zone
                zones[zone] = zones.get(zone, 0) + 1
        hosts = {a.machine for a in job.attempts.values()} if job.spec.daemon else ()
        avoid = self.workers.faults.machines_to_avoid(job)
        if job.health is JobHealth.FAILING:
            # A probe, in room that nobody else wants: whether it goes well is soon known.
            last = self.wall + constants.CANARY_DELAY_S
            return JobView(
                job.spec,
                pending,
                False,
                last,
                zones,
                urgent=False,
                avoid=avoid,
                is_canary=True,
                hosts=hosts,
                moving=moving,
            )
        reservations = self.reservations.ready(job) if job.spec.daemon or job.borrowed else None
        if job.borrowed:
            return JobView(
                job.spec,
                pending,
                False,
                self.wall,
                zones,
                has_old_attempts=job.spec.gang and bool(job.attempts),
                urgent=False,
                reservations=reservations,
                avoid=avoid,
                borrowed=True,
            )
        latest = latest_start(job.spec, self.params.objectives, self.wall, 0.0)
        is_starving = not job.attempts and self.is_starving(job, self.now)
        return JobView(
            job.spec,
            pending,
            job.spec.id in self.within_quota,
            latest,
            zones,
            has_old_attempts=job.spec.gang and bool(job.attempts),
            urgent=is_starving or job.spec.daemon or latest - self.wall < constants.URGENT_S,
            is_starving=is_starving,
            hosts=hosts,
            moving=moving,
            reservations=reservations,
            avoid=avoid,
            fetch_s=self._fetch_s(job.spec),
        )

    @staticmethod
    def is_starving(job: Job, now: float) -> bool:
        """Whether none of its tasks has had a place for so long that it goes first."""
        return now - job.idle_since > constants.STARVING_S - gathering_s(job.spec)

    def _fetch_s(self, spec: JobSpec) -> float:
        kinds = self.cluster.types.values()
        rates = [k.fetch_gb_per_s for k in kinds if spec.types is None or k.name in spec.types]
        return spec.image_gb / min(rates, default=1.0)

    def _machine_view(self, machine: Machine, booked: list[float] | None) -> MachineView:
        free = (machine.free_cpus, machine.free_gpus, machine.free_ram)
        if booked is not None:
            free = (free[0] - booked[0], free[1] - booked[1], free[2] - booked[2])
        report_s = self.params.workers.report_s * 1.25  # reports come up to a quarter late
        return MachineView(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            (machine.cpus, machine.gpus, machine.ram),
            free,
            machine.images,
            int(self.workers.health.seconds_since_heartbeat(machine, self.now) / report_s),
            lambda: self._detail(machine),
            max(0, constants.MACHINE_TASKS - self.workers.reported_task_count(machine)),
            machine.replicas,
        )

    def _detail(self, machine: Machine) -> MachineDetail:
        cpus = gpus = ram = 0.0
        for attempt in machine.attempts.values():
            if attempt.is_leaving:
                spec = attempt.job.spec
                cpus, gpus, ram = cpus + spec.cpus, gpus + spec.gpus, ram + spec.ram
        return MachineDetail(machine.fetching(), (cpus, gpus, ram), self.victims(machine, self.now))

    def victims(self, machine: Machine, now: float) -> Iterator[Victim]:
        """What on the machine could be stopped."""
        for attempt in machine.attempts.values():
            victim = self._victim(attempt, machine, now)
            if victim is not None:
                yield victim

    def _victim(self, attempt: Attempt, machine: Machine, now: float) -> Victim | None:
        """The attempt as one that could be stopped, unless it is to be left alone."""
        if attempt.is_leaving:
            return None
        spec = attempt.job.spec
        ran = now - attempt.since if attempt.running else 0.0
        if attempt.job.started_late and ran < constants.STABLE_START_S:
            return None  # it has waited so long that its start shall count
        lost = spec.save_s if spec.checkpoint_s else ran
        if ran < constants.STABLE_START_S:
            lost += constants.STABLE_START_S  # its start would not count any more
        share = max(spec.cpus / machine.cpus, spec.gpus / max(machine.gpus, 1.0))
        return Victim(
            (spec.id, attempt.task),
            (spec.cpus, spec.gpus, spec.ram),
            spec.priority,
            spec.team,
            spec.id in self.within_quota,
            (lost + constants.RESTART_S) * share,
            max(1.0, spec.expected_s - ran),
            machine=machine.name,
            borrowed=attempt.job.borrowed,
        )

    def team_work(self, team: str, priority: int) -> TeamWork:
        """What of the team is being stopped, and what else a job of that priority may stop."""
        cpus = gpus = 0.0
        units: list[list[Victim]] = []
        for job in self.cluster.jobs.values():
            spec = job.spec
            if spec.team != team or not job.attempts:
                continue
            is_leaving = sum(1 for attempt in job.attempts.values() if attempt.is_leaving)
            cpus, gpus = cpus + spec.cpus * is_leaving, gpus + spec.gpus * is_leaving
            if spec.priority > priority and is_leaving < len(job.attempts):
                units += self._stopped_together(job)
        return TeamWork((cpus, gpus), units)

    def _stopped_together(self, job: Job) -> list[list[Victim]]:
        """Each task of an array by itself; a gang as a whole, if none of it is to be left alone."""
        victims = []
        for attempt in job.attempts.values():
            machine = self.cluster.machines[attempt.machine]
            victim = self._victim(attempt, machine, self.now) if machine.cpus else None
            if victim is not None:
                victims.append(victim)
        if not job.spec.gang:
            return [[victim] for victim in victims]
        return [victims] if len(victims) == len(job.attempts) else []
