"""Rules of placement rounds and of scale-out plans.

The planner is also compared with a slow reference planner that places one task at a time.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from peathall.autoscaling.scale_out import Bin, MachineOffer, plan_scale_out
from peathall.config.platform import Objective, Team
from peathall.placement.bin_packing import fitting_tasks
from peathall.placement.ordering import latest_start
from peathall.placement.plan import Plan
from peathall.placement.planner import Round, make_plan
from peathall.placement.pool import MachinePool
from peathall.placement.views import (
    JobView,
    MachineDetail,
    MachineView,
    MovingReplica,
    TeamWorkload,
    Victim,
)
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec


def spec(**changes: object) -> JobSpec:
    base: dict[str, object] = {
        "id": "j-1", "class_name": "c", "team": "t", "gang": False, "priority": 2, "tasks": 1,
        "cpus": 1.0, "gpus": 0.0, "ram": 1.0, "image": "i", "image_gb": 1.0, "types": None,
        "zone": None, "one_zone": False, "spread": False, "spot": True, "estimate_s": 10.0,
        "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": None, "submitted": 0.0,
    }  # fmt: skip
    return JobSpec(**(base | changes))  # type: ignore[arg-type]


def machine(name: str, size: tuple[float, float, float], **more: object) -> MachineView:
    zone, spot = str(more.pop("zone", "a")), bool(more.pop("spot", False))
    return MachineView(name, "g", zone, spot, size, size, **more)  # type: ignore[arg-type]


def random_round_input(
    rng: random.Random,
) -> tuple[list[JobView], list[MachineView], dict[str, Team]]:
    machines = []
    for i in range(rng.randrange(1, 8)):
        size = rng.choice([(4.0, 0.0, 8.0), (8.0, 2.0, 16.0), (16.0, 4.0, 32.0)])
        machines.append(
            machine(
                f"m-{i}",
                size,
                zone=rng.choice("ab"),
                spot=rng.random() < 0.5,
                images=rng.sample(["x", "y", "z"], rng.randrange(3)),
                missed_intervals=rng.randrange(2),
            )
        )
    jobs = []
    for i in range(rng.randrange(1, 9)):
        gang = rng.random() < 0.4
        one_zone = rng.random() < 0.3
        job = spec(
            id=f"j-{i}", team=rng.choice(["t", "u"]), gang=gang, priority=rng.randrange(1, 4),
            tasks=rng.randrange(1, 7), cpus=float(rng.randrange(1, 4)),
            gpus=float(rng.choice([0, 0, 1])), ram=float(rng.randrange(1, 5)),
            image=rng.choice(["x", "y", "z"]), zone=rng.choice([None, None, "a"]),
            one_zone=one_zone, spread=not one_zone and rng.random() < 0.3,
            spot=rng.random() < 0.7, submitted=float(i),
        )  # fmt: skip
        jobs.append(JobView(job, job.tasks, latest_start=rng.choice([5.0, 9.0]), urgent=False))
    return jobs, machines, {"t": Team("t", gpus_max=3.0), "u": Team("u", cpus_max=12.0)}


class ReferencePlanner:
    """Places one task at a time, on the best of all machines."""

    def __init__(self, machines: list[MachineView], teams: dict[str, Team]) -> None:
        self.machines, self.teams = machines, teams
        self.free = {m.name: list(m.free) for m in machines}
        self.fetching = {m.name: set(m.detail().fetching) for m in machines}
        self.used = {t: [0.0, 0.0] for t in teams}
        self.assignments: Counter[tuple[str, str]] = Counter()

    def fits(self, m: MachineView, s: JobSpec) -> bool:
        free = self.free[m.name]
        return free[0] >= s.cpus and free[1] >= s.gpus and free[2] >= s.ram

    def best_machine(
        self, s: JobSpec, zones: Counter[str], only_zone: str | None
    ) -> MachineView | None:
        def rank(m: MachineView) -> tuple[object, ...]:
            from zlib import crc32

            return (
                m.gpus, s.image not in m.images,
                s.image not in m.images and s.image not in self.fetching[m.name],
                m.missed_intervals,
                not m.spot, self.free[m.name][2], self.free[m.name][0],
                crc32(f"{s.id} {m.name}".encode()),
            )  # fmt: skip

        options = [
            m
            for m in self.machines
            if self.fits(m, s)
            and (s.zone in (None, m.zone))
            and (only_zone in (None, m.zone))
            and (s.spot or not m.spot)
            and not (s.spread and zones[m.zone] >= (s.tasks + 1) // 2)
        ]
        return min(options, key=rank, default=None)

    def is_within_limit(self, s: JobSpec) -> bool:
        team, used = self.teams[s.team], self.used[s.team]
        return not (
            (team.cpus_max and used[0] + s.cpus > team.cpus_max)
            or (team.gpus_max and s.gpus and used[1] + s.gpus > team.gpus_max)
        )

    def try_place(self, s: JobSpec, only_zone: str | None) -> list[tuple[str, str]]:
        zones: Counter[str] = Counter()
        placed = []
        while len(placed) < s.tasks and self.is_within_limit(s):
            m = self.best_machine(s, zones, only_zone)
            if m is None:
                break
            if s.one_zone:
                only_zone = m.zone
            for i, need in enumerate((s.cpus, s.gpus, s.ram)):
                self.free[m.name][i] -= need
            self.fetching[m.name].add(s.image)
            self.used[s.team][0] += s.cpus
            self.used[s.team][1] += s.gpus
            zones[m.zone] += 1
            placed.append((s.id, m.name))
        return placed

    def place(self, job: JobView) -> None:
        s = job.spec
        if not s.gang:
            self.assignments.update(self.try_place(s, None))
            return
        options = []
        zones = list(dict.fromkeys(m.zone for m in self.machines))
        for only_zone in zones if s.one_zone else [None]:
            saved = (
                {k: list(v) for k, v in self.free.items()},
                {k: set(v) for k, v in self.fetching.items()},
                {k: list(v) for k, v in self.used.items()},
            )
            placed = self.try_place(s, only_zone)
            if len(placed) == s.tasks:
                images = {m.name: m.images for m in self.machines}
                uncached = sum(s.image not in images[name] for _, name in placed)
                options.append((uncached, str(only_zone), only_zone))
            self.free, self.fetching, self.used = saved
        if options:
            self.assignments.update(self.try_place(s, min(options)[2]))


def reference_order(job: JobView, machines: list[MachineView]) -> tuple[float, ...]:
    s, cpus, gpus = job.spec, sum(m.cpus for m in machines), sum(m.gpus for m in machines)
    share = max(s.cpus / cpus, s.gpus / gpus if gpus else 0.0)
    start = job.latest_start + 3.0 * s.tasks * share * s.estimate_s
    return (s.priority, not s.gang, start, s.submitted)


def test_the_planner_agrees_with_the_reference_planner() -> None:
    rng = random.Random(3)
    placed = 0
    for _ in range(400):
        jobs, machines, teams = random_round_input(rng)
        reference = ReferencePlanner(machines, teams)
        for job in sorted(jobs, key=lambda j: reference_order(j, machines)):
            reference.place(job)
        plan = make_plan(jobs, machines, teams, {})
        got: Counter[tuple[str, str]] = Counter()
        for start in plan.assignments:
            got[(start.job, start.machine)] += start.count
        assert got == reference.assignments
        placed += sum(got.values())
    assert placed > 1000


def victim(name: str, priority: int, team: str = "u", guaranteed: bool = False) -> Victim:
    job = spec(id=name, cpus=4.0, gpus=0.0, ram=8.0, priority=priority, team=team)
    return Victim(job, 0, "m-0", within_quota=guaranteed, lost_machine_s=1.0, ends_in_s=60.0)


def full_machine(priority: int, **more: object) -> MachineView:
    """A machine all of whose capacity is used by an attempt of this priority."""
    detail = MachineDetail(victims=[victim("j-9", priority, **more)])  # type: ignore[arg-type]
    view = machine("m-0", (4.0, 0.0, 8.0), load_detail=lambda: detail)
    view.free = [0.0, 0.0, 0.0]
    return view


TEAMS = {"t": Team("t"), "u": Team("u")}


def preempted_tasks(job: JobView, view: MachineView) -> list[tuple[str, int]]:
    return make_plan([job], [view], TEAMS, {}).stops


def test_which_work_a_job_may_preempt() -> None:
    high = JobView(spec(priority=1), 1)
    assert preempted_tasks(high, full_machine(2)) == [("j-9", 0)]
    assert preempted_tasks(high, full_machine(1)) == []
    assert preempted_tasks(JobView(spec(priority=1), 1, urgent=False), full_machine(2)) == []
    # A job within its team's quota also preempts other teams' work of its own priority that is not
    # within theirs. If it could preempt work of higher priority as well, the two jobs would preempt
    # each other in turns, twice a second.
    assert preempted_tasks(JobView(spec(), 1, within_quota=True), full_machine(2)) == [("j-9", 0)]
    assert preempted_tasks(JobView(spec(), 1, within_quota=True), full_machine(1)) == []
    assert (
        preempted_tasks(JobView(spec(), 1, within_quota=True), full_machine(2, guaranteed=True))
        == []
    )
    assert preempted_tasks(JobView(spec(), 1, within_quota=True), full_machine(2, team="t")) == []


def test_a_machine_is_held_for_a_gang_and_meanwhile_runs_only_short_tasks() -> None:
    gang = JobView(spec(id="j-1", gang=True, cpus=4.0), 1)
    small = JobView(spec(id="j-2", tasks=4, estimate_s=100.0), 4)
    brief = JobView(spec(id="j-3", tasks=1, estimate_s=5.0), 1)
    view = full_machine(1)
    other = spec(id="j-9", cpus=2.0, gpus=0.0, ram=4.0, priority=1, team="u")
    half = Victim(other, 0, "m-0", within_quota=False, lost_machine_s=1.0, ends_in_s=30.0)
    detail = MachineDetail(victims=[half])
    view.load_detail = lambda: detail
    view.free = [2.0, 0.0, 4.0]
    plan = make_plan([gang, small, brief], [view], TEAMS, {})
    assert [(s.job, s.count) for s in plan.assignments] == [("j-3", 1)]


def test_an_urgent_job_preempts_on_a_machine_that_has_its_image_if_the_fetch_is_slow() -> None:
    cached = full_machine(3)
    cached.images = {"i"}
    empty = machine("m-1", (4.0, 0.0, 8.0))
    slow = JobView(spec(priority=1), 1, fetch_s=20.0)
    plan = make_plan([slow], [cached, empty], TEAMS, {})
    assert (plan.stops, plan.assignments) == ([("j-9", 0)], [])
    quick = JobView(spec(priority=1), 1, fetch_s=2.0)
    plan = make_plan([quick], [cached, empty], TEAMS, {})
    assert (plan.stops, [s.machine for s in plan.assignments]) == ([], ["m-1"])


def test_a_machine_on_which_the_job_failed_is_avoided() -> None:
    views = [machine("m-0", (4.0, 0.0, 8.0)), machine("m-1", (8.0, 0.0, 16.0))]
    plan = make_plan([JobView(spec(), 1, avoid=["m-0"])], views, TEAMS, {})
    assert [s.machine for s in plan.assignments] == ["m-1"]


def test_latest_start_is_for_the_next_objective_that_can_be_met() -> None:
    objectives = [
        Objective("wait", "c", 20.0, 0.9),
        Objective("finished", "c", 100.0, 0.9),
        Objective("deadline", "c", None, 0.9, 1.5),
        Objective("wait", "other", 1.0, 0.9),
    ]
    job = spec(estimate_s=30.0, submitted=1000.0, deadline_s=120.0)
    assert latest_start(job, objectives, 1000.0, 0.0) == 1020.0
    assert latest_start(job, objectives, 1021.0, 0.0) == 1070.0
    assert latest_start(job, objectives, 1071.0, 0.0) == 1150.0
    assert latest_start(job, objectives, 1200.0, 0.0) > 1e6


MACHINE_TYPE = MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 10.0, 3.0, 30.0, ["a", "b"])
OFFERS = [MachineOffer(MACHINE_TYPE, zone, spot) for zone in "ab" for spot in (True, False)]


def machines_to_provision(
    job: JobView, count: int, starting: list[Bin], free: list[Bin]
) -> Counter[tuple[str, bool]]:
    """Number of machines by zone and spot."""
    found: Counter[tuple[str, bool]] = Counter()
    for offer, number in plan_scale_out([(job, count)], starting, free, OFFERS):
        found[(offer.zone, offer.spot)] += number
    return found


def test_new_machines_are_as_many_as_needed_and_in_the_zones_that_the_job_allows() -> None:
    array = JobView(spec(tasks=20), 20)
    assert machines_to_provision(array, 20, [], []) == {("a", True): 3}
    assert machines_to_provision(array, 20, [Bin(OFFERS[0])], []) == {("a", True): 2}
    assert machines_to_provision(JobView(spec(tasks=20, spot=False), 20), 20, [], []) == {
        ("a", False): 3
    }
    # Regression: all machines for a spread gang were provisioned in one zone, repeatedly.
    spread = JobView(spec(gang=True, tasks=4, cpus=8.0, spread=True), 4)
    assert machines_to_provision(spread, 4, [], []) == {("a", True): 2, ("b", True): 2}
    # The whole gang goes to the zone that already has free or starting capacity.
    together = JobView(spec(gang=True, tasks=3, cpus=8.0, one_zone=True), 3)
    assert machines_to_provision(together, 3, [], [Bin(OFFERS[2])]) == {("b", True): 3}
    assert machines_to_provision(together, 3, [Bin(OFFERS[2])], []) == {("b", True): 2}


def test_free_capacity_that_a_job_may_not_use_does_not_replace_new_machines() -> None:
    """Regression: for a job that must stay in one zone, a zone was chosen that the job does not
    allow, or that has too little capacity and no machines to provision. Nothing was provisioned,
    and the job waited forever."""
    bound = JobView(spec(gang=True, tasks=3, cpus=8.0, one_zone=True, zone="b"), 3)
    plenty = [Bin(OFFERS[0]) for _ in range(9)]
    assert machines_to_provision(bound, 3, [], plenty) == {("b", True): 3}
    anywhere = JobView(spec(gang=True, tasks=3, cpus=8.0, one_zone=True), 3)
    only_b = plan_scale_out([(anywhere, 3)], [], plenty[:2], OFFERS[2:])
    assert [(offer.zone, count) for offer, count in only_b] == [("b", 3)]


def test_a_starving_gang_goes_first_and_has_its_team_s_limit_reserved_for_it() -> None:
    teams = {"t": Team("t", cpus_max=8.0)}
    views = [machine(f"m-{i}", (4.0, 0.0, 8.0)) for i in range(3)]
    gang = JobView(spec(id="j-1", gang=True, tasks=2, cpus=4.0, priority=2), 2, is_starving=True)
    small = JobView(spec(id="j-2", cpus=4.0, priority=1), 1)
    assert [s.job for s in make_plan([small, gang], views, teams, {}).assignments] == ["j-1", "j-1"]
    # Half of the limit is in use: without the reservation, smaller jobs of the team would always
    # take the other half.
    for view in views:
        view.free = [4.0, 0.0, 8.0]
    gang.pending, small.pending = 2, 1
    assert make_plan([small, gang], views, teams, {"t": [4.0, 0.0]}).assignments == []
    gang.is_starving = False
    assert [
        s.job for s in make_plan([small, gang], views, teams, {"t": [4.0, 0.0]}).assignments
    ] == ["j-2"]


def test_tasks_leave_capacity_for_a_gang_that_could_not_preempt_them() -> None:
    """Regression: small tasks filled all but one of the machines that fit the gangs of a class.
    Machines for all tasks of a recent gang are left free; only one if the gang could preempt the
    small tasks, and none if their job is urgent."""
    gang = spec(id="j-9", gang=True, tasks=3, cpus=4.0, priority=2)
    for priority, urgent, started in ((2, False, 8), (3, False, 16), (2, True, 20)):
        views = [machine(f"m-{i}", (4.0, 0.0, 80.0)) for i in range(5)]
        job = JobView(spec(tasks=20, priority=priority), 20, urgent=urgent)
        current = Round(views, TEAMS, {}, recent_gangs=[gang], lowest_priority=-1)
        for _ in current.run([job]):
            pass
        assert sum(start.count for start in current.plan.assignments) == started


@pytest.mark.parametrize("need", [1e-310, 1e-300, 5e-324])
@pytest.mark.parametrize("resource", ["cpus", "gpus", "ram"])
def test_a_job_that_needs_next_to_nothing_is_placed(resource: str, need: float) -> None:
    """Regression: a quotient by such an amount is infinite, which ended every round of every
    leader for as long as the job was live."""
    views = [machine("m-1", (4.0, 1.0, 8.0))]
    tiny = spec(id="j-1", tasks=3, **{"cpus": 1.0, "gpus": 0.0, "ram": 1.0, resource: need})
    teams = {"t": Team("t", cpus_max=2.0, gpus_max=1.0)}
    jobs = [JobView(tiny, 3), JobView(spec(id="j-2", gang=True, tasks=2), 2)]
    for usage in ({}, {"t": [2.0, 1.0]}, {"t": [3.0, 2.0]}):
        current = Round(views, teams, usage, team_workload=lambda *_: TeamWorkload((9.0, 9.0)))
        for _ in current.run([JobView(job.spec, job.pending) for job in jobs]):
            pass
        assert current.plan.failed == []
    assert fitting_tasks([4.0, 1.0, 8.0], tiny) == 3
    assert fitting_tasks([-1.0, -1.0, -1.0], tiny) == 0


def test_an_error_while_placing_a_job_costs_only_this_job_its_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    place = Round._place

    def place_with_fault(current: Round, job: JobView) -> None:
        place(current, job)
        if job.spec.id == "j-1":
            raise OverflowError("a fault")

    monkeypatch.setattr(Round, "_place", place_with_fault)
    jobs = [JobView(spec(id=f"j-{n}"), 1) for n in range(3)]
    plan = make_plan(jobs, [machine("m-1", (4.0, 0.0, 8.0))], TEAMS, {})
    assert sorted(a.job for a in plan.assignments) == ["j-0", "j-2"]
    assert [(job_id, str(error)) for job_id, error in plan.failed] == [("j-1", "a fault")]


def test_no_capacity_is_kept_for_tasks_that_may_not_start_in_that_zone() -> None:
    """Regression: half of the replicas of a service with `scatter` ran in a zone. For the others,
    which may not start there, the rest of the zone was kept, and tasks were preempted, as long
    as no other zone had a machine."""
    service = spec(id="j-1", daemon=True, spread=True, tasks=4, cpus=4.0, priority=1)
    victim = Victim(spec(id="j-9", cpus=2.0, priority=3), 0, "m-0", False, 1.0, 60.0)
    for zones, started in (({"a": 2}, ["j-2"] * 4), ({"a": 1, "b": 2}, [])):
        view = machine("m-0", (8.0, 0.0, 16.0))
        view.free = [4.0, 0.0, 16.0]
        view.load_detail = lambda: MachineDetail(victims=[victim])
        replicas = JobView(service, 2, running_zones=dict(zones))
        other = JobView(spec(id="j-2", tasks=4, priority=2), 4, urgent=False)
        plan = make_plan([replicas, other], [view], TEAMS, {})
        if started:
            assert plan.stops == []
            assert [a.job for a in plan.assignments for _ in range(a.count)] == started
        else:
            assert [a.job for a in plan.assignments] == ["j-1"]


def test_tasks_that_have_waited_for_long_fill_one_machine_that_is_kept_for_a_gang() -> None:
    """Regression: an array waited for 128 s beside idle machines that were kept for a next gang."""
    gang = spec(id="j-9", gang=True, tasks=3, cpus=4.0, priority=2)
    for waited, started in ((False, 0), (True, 4)):
        views = [machine(f"m-{i}", (4.0, 0.0, 80.0)) for i in range(3)]
        job = JobView(spec(tasks=20), 20, urgent=False, may_use_gang_capacity=waited)
        current = Round(views, TEAMS, {}, recent_gangs=[gang], lowest_priority=-1)
        for _ in current.run([job]):
            pass
        assert sum(start.count for start in current.plan.assignments) == started


def test_replicas_of_a_job_go_to_different_machines_while_there_are_any() -> None:
    """A replica also starts on no machine held for a gang, since it never ends by itself."""
    views = [machine(f"m-{i}", (4.0, 0.0, 8.0)) for i in range(3)]
    replicas = spec(tasks=4, daemon=True, estimate_s=0.0, priority=0)
    plan = make_plan([JobView(replicas, 4)], views, TEAMS, {})
    assert sorted(start.count for start in plan.assignments) == [1, 1, 1, 1]
    assert len({start.machine for start in plan.assignments}) == 3
    views = [machine(f"m-{i}", (4.0, 0.0, 8.0)) for i in range(3)]
    plan = make_plan([JobView(replicas, 1, replica_machines={"m-0", "m-1"})], views, TEAMS, {})
    assert [start.machine for start in plan.assignments] == ["m-2"]
    held = machine("m-0", (4.0, 0.0, 8.0))
    held.gang_wait_s = 50.0
    assert not MachinePool.may_start_on(held, replicas)
    assert MachinePool.may_start_on(held, spec(estimate_s=10.0))


def same_team_victim(
    name: str, priority: int, gpus: float, machine_name: str = "m-0", task: int = 0
) -> Victim:
    job = spec(id=name, cpus=1.0, gpus=gpus, ram=1.0, priority=priority, team="t")
    return Victim(job, task, machine_name, within_quota=False, lost_machine_s=gpus, ends_in_s=60.0)


def plan_at_the_limit(
    job: JobView,
    preemptible: list[list[Victim]],
    being_freed: float = 0.0,
    others: tuple[JobView, ...] = (),
    free_gpus: float = 8.0,
    used: float = 8.0,
) -> Plan:
    """The plan of a round in which the team uses `used` of the 8 GPUs that its limit allows, and
    `being_freed` of these are in use by attempts that are being stopped."""
    views = [machine("m-0", (64.0, free_gpus, 64.0)), machine("m-1", (64.0, 0.0, 64.0))]

    def team_workload(team: str, priority: int) -> TeamWorkload:
        assert team == "t"
        return TeamWorkload(
            (0.0, being_freed), [unit for unit in preemptible if unit[0].priority > priority]
        )

    teams = {"t": Team("t", gpus_max=8.0)}
    current = Round(
        views, teams, {"t": [8.0, used]}, lowest_priority=3, team_workload=team_workload
    )
    for _ in current.run([job, *others]):
        pass
    return current.plan


def test_a_job_at_its_team_s_limit_preempts_the_team_s_work_of_lower_priority() -> None:
    """Regression: a high-priority job waited for 376 s while its team's limit was used up by the
    team's work of lower priority."""
    high = spec(id="j-1", priority=1, gpus=1.0)
    preemptible = [[same_team_victim("j-8", 2, 1.0)], [same_team_victim("j-9", 3, 1.0)]]
    plan = plan_at_the_limit(JobView(high, 1), preemptible)
    assert (plan.stops, plan.assignments) == (
        [("j-9", 0)],
        [],
    )  # preempts the lowest priority; the job starts only once the victim is gone
    # Enough is being stopped already: nothing more is preempted.
    assert plan_at_the_limit(JobView(high, 1), preemptible[:1], being_freed=1.0).stops == []
    # Nothing is preempted of equal priority, nor for a job that is not urgent.
    assert plan_at_the_limit(JobView(high, 1), [[same_team_victim("j-8", 1, 1.0)]]).stops == []
    assert plan_at_the_limit(JobView(high, 1, urgent=False), preemptible).stops == []
    assert (
        plan_at_the_limit(JobView(high, 1, urgent=False, is_canary=True), preemptible).stops == []
    )


def test_nothing_is_preempted_for_a_limit_as_long_as_no_machine_has_capacity() -> None:
    high = JobView(spec(id="j-1", priority=1, gpus=1.0), 1)
    plan = plan_at_the_limit(high, [[same_team_victim("j-9", 3, 1.0)]], free_gpus=0.0)
    assert plan.stops == []
    # Machines are provisioned instead.
    assert [(job.spec.id, count) for job, count in plan.unplaced] == [("j-1", 1)]


def test_a_gang_preempts_for_the_limit_and_is_preempted_only_as_a_whole() -> None:
    """Nothing is preempted for a gang unless all of it then fits under the limit. A gang is
    preempted as a whole, and the quota that it frees goes to no other job of the team."""
    gang = spec(id="j-1", priority=1, gang=True, tasks=3, gpus=1.0)
    singles = [[same_team_victim(f"j-{n}", 2, 1.0)] for n in (7, 8)]
    assert plan_at_the_limit(JobView(gang, 3), singles).stops == []
    whole = [same_team_victim("j-9", 2, 1.0, task=task) for task in range(4)]
    small = JobView(spec(id="j-2", priority=3, gpus=1.0), 1)
    plan = plan_at_the_limit(JobView(gang, 3), [whole], others=(small,))
    assert plan.stops == [("j-9", task) for task in range(4)]
    assert plan.assignments == []
    # Quota for one of three tasks is free: a smaller job must not take it.
    assert plan_at_the_limit(JobView(gang, 3), [whole], others=(small,), used=7.0).assignments == []
    # Preempting the gang suffices, so the single task is not preempted, although it costs less.
    assert plan_at_the_limit(JobView(gang, 3), [*singles[:1], whole]).stops == plan.stops


def test_the_part_of_the_limit_of_a_lost_replica_stays_reserved_for_it() -> None:
    """Regression: an array of the team used that part of the limit. A starving array, which is
    placed before all other jobs, must not use it either."""
    replica = spec(id="j-1", daemon=True, tasks=2, priority=0)
    starving = JobView(spec(id="j-2", tasks=4), 4, is_starving=True)
    teams = {"t": Team("t", cpus_max=3.0)}
    for waiting in (
        [starving, JobView(replica, 1)],
        [starving],
    ):  # the replica is pending, or backs off after a failed start
        views = [machine("m-0", (8.0, 0.0, 16.0))]
        current = Round(views, teams, {"t": [1.0, 0.0]}, reserved=[(replica, 1)])
        for _ in current.run(waiting):
            pass
        assert [s.count for s in current.plan.assignments if s.job == "j-2"] == [1]
        if len(waiting) == 2:
            assert [s.count for s in current.plan.assignments if s.job == "j-1"] == [1]


def test_a_replica_moves_once_capacity_is_reserved_for_it() -> None:
    replicas = spec(tasks=2, daemon=True, priority=0, spread=True)
    moving = [MovingReplica(0, "a")]
    views = [machine(f"m-{i}", (1.0, 0.0, 8.0), zone="ab"[i % 2]) for i in range(3)]
    zones = {"a": 1, "b": 1}  # the replica in `a` is to move, within its zone
    job = JobView(replicas, 0, running_zones=zones, replica_machines={"m-9", "m-1"}, moving=moving)
    plan = make_plan([job], views, TEAMS, {})
    assert [(m.job, m.task, m.machine) for m in plan.moves] in (
        [("j-1", 0, "m-0")],
        [("j-1", 0, "m-2")],
    )
    assert plan.assignments == plan.stops == []
    # Without capacity the replica stays on its machine, and counts as unplaced.
    job = JobView(replicas, 0, running_zones={"a": 1, "b": 1}, moving=moving)
    plan = make_plan([job], [views[1]], TEAMS, {})
    assert plan.moves == [] and [count for _, count in plan.unplaced] == [1]
    # Work of lower priority is preempted first; the replica runs on until that capacity is free.
    job = JobView(spec(tasks=1, daemon=True, priority=0), 0, moving=moving)
    plan = make_plan([job], [full_machine(2)], TEAMS, {})
    assert (plan.moves, plan.stops) == ([], [("j-9", 0)])
    # Once the old attempt is gone, the replica starts on the reserved capacity, which is not part
    # of the machine's free capacity.
    reserved = machine("m-0", (1.0, 0.0, 8.0))
    reserved.free = [0.0, 0.0, 7.0]
    job = JobView(spec(tasks=1, daemon=True, priority=0), 1, reservations={"m-0": 1})
    assert [s.machine for s in make_plan([job], [reserved], TEAMS, {}).assignments] == ["m-0"]
    # While its team's limit does not allow the replica, the capacity stays reserved for it.
    reserved = machine("m-0", (1.0, 0.0, 8.0))
    reserved.free = [0.0, 0.0, 7.0]
    job = JobView(spec(tasks=1, daemon=True, priority=0), 1, reservations={"m-0": 1})
    other = JobView(spec(id="j-2", team="u", ram=0.5), 1)
    teams = {"t": Team("t", cpus_max=1.0), "u": Team("u")}
    assert make_plan([job, other], [reserved], teams, {"t": [1.0, 0.0]}).assignments == []


def test_pending_replicas_count_a_replica_that_is_being_moved_where_it_still_is() -> None:
    """Regression, review/2: it was counted as gone in the round that moved it, so a pending replica
    of a job that must share a zone started in another zone."""
    moving = [MovingReplica(0, "a")]
    together = spec(tasks=2, daemon=True, priority=0, one_zone=True)
    in_b = machine("m-1", (8.0, 0.0, 64.0), zone="b")
    job = JobView(together, 1, running_zones={"a": 1}, replica_machines={"m-9"}, moving=moving)
    plan = make_plan([job], [in_b], TEAMS, {})
    assert [move.machine for move in plan.moves] == ["m-1"]
    assert plan.assignments == plan.unplaced == []
    # Within its zone the pending one may start at once.
    in_a = machine("m-0", (8.0, 0.0, 64.0), zone="a")
    job = JobView(together, 1, running_zones={"a": 1}, replica_machines={"m-9"}, moving=moving)
    plan = make_plan([job], [in_a], TEAMS, {})
    assert [move.machine for move in plan.moves] == ["m-0"]
    assert [start.machine for start in plan.assignments] == ["m-0"]
    # At most two of four may be in one zone. One is moved out of `a`, and is there until it ends.
    spread = spec(tasks=4, daemon=True, priority=0, spread=True)
    job = JobView(spread, 2, running_zones={"a": 2}, replica_machines={"m-9"}, moving=moving)
    in_a = machine("m-0", (8.0, 0.0, 64.0), zone="a")
    in_b = machine("m-1", (8.0, 0.0, 64.0), images=["i"], zone="b")
    plan = make_plan([job], [in_a, in_b], TEAMS, {})
    assert [move.machine for move in plan.moves] == ["m-1"]
    assert [(start.machine, start.count) for start in plan.assignments] == [("m-1", 1)]


def test_replicas_prefer_machines_with_few_replicas_of_other_jobs() -> None:
    """Regression: replicas of a dozen jobs with the same image ran on one machine, and its loss
    stopped all of them."""
    many = machine("m-0", (32.0, 4.0, 256.0), images=["i"], replicas=8)
    few = machine("m-1", (32.0, 4.0, 256.0), images=["i"], replicas=7)
    empty = machine("m-2", (32.0, 4.0, 256.0))
    jobs = [
        JobView(spec(id=f"j-{n}", tasks=1, daemon=True, priority=0, submitted=n), 1)
        for n in range(2)
    ]
    plan = make_plan(jobs, [many, few, empty], TEAMS, {})
    assert [start.machine for start in plan.assignments] == ["m-1", "m-2"]
    # Without other capacity, they share the machine.
    plan = make_plan([JobView(jobs[0].spec, 1)], [many], TEAMS, {})
    assert [start.machine for start in plan.assignments] == ["m-0"]
