"""Decisions about other cells: leases, summaries of free capacity, and which jobs are offered."""

from __future__ import annotations

import random
from itertools import product

import msgspec
import pytest

from peathall import constants
from peathall.cells.capacity import fits_whole, summarize
from peathall.cells.handoff_policy import Backoff, HandoffPolicy, expected_wait_s
from peathall.cells.lease import GrantedLease
from peathall.cells.model import CapacityRow
from peathall.config.platform import Objective
from peathall.leadership.lease import HeldLease
from peathall.placement.views import JobView, MachineDetail, MachineView, Victim
from peathall.protocol.jobs import JobSpec, decode_submission
from tests.sim.cells_world import gang
from tests.unit.test_planner import spec as planner_spec


def spec(number: int = 1, **change: object) -> JobSpec:
    wire = {k: v for k, v in (gang(number) | change).items() if k not in ("run_s", "mistaken")}
    return decode_submission(wire, 0.0)


def machine(name: str, zone: str, gpus: float, ends: tuple[float, ...] = ()) -> MachineView:
    def detail() -> MachineDetail:
        victims = [
            Victim(
                planner_spec(id=f"j-{i}", cpus=2.0, gpus=3.0, ram=4.0, priority=1, team="blue"),
                0,
                name,
                within_quota=False,
                lost_machine_s=0.0,
                ends_in_s=end,
            )
            for i, end in enumerate(ends)
        ]
        return MachineDetail(victims=victims)

    size = (16.0, 4.0, 128.0)
    return MachineView(name, "big", zone, True, size, (16.0, gpus, 128.0), load_detail=detail)


@pytest.mark.parametrize("way_s", [0.0, 0.4, 1.9])
@pytest.mark.parametrize("drift", [-constants.CLOCK_DRIFT, constants.CLOCK_DRIFT])
def test_the_lease_of_a_handoff_expires_at_the_borrower_before_the_home_cell(
    way_s: float, drift: float
) -> None:
    """Holds whichever clock is faster. `way_s`: delay of the heartbeat that renews the lease."""
    lease_s, task_expiry_s = 600.0, 25.0
    borrower = HeldLease(lease_s, 0.0)
    home = GrantedLease(lease_s, task_expiry_s, 0.0)
    home.record_renewal(way_s, task_expiry_s)
    stopped = borrower.until / (1 + drift)  # in real time
    assert stopped < home.expires_at / (1 - drift)
    assert stopped + task_expiry_s / (1 + drift) < home.tasks_gone_at / (1 - drift)
    assert not home.tasks_gone_within(home.expires_at - 0.1, 1000.0)
    assert home.tasks_gone_within(home.expires_at + 0.1, 26.0)
    assert not home.tasks_gone_within(home.expires_at + 0.1, 20.0)


def test_a_job_fits_by_the_capacity_summary_exactly_if_a_placement_exists() -> None:
    """Compares the summary with a search through all distributions of tasks over machines."""
    rng = random.Random(3)
    for number in range(300):
        machines = [
            machine(f"m-{i}", rng.choice("ab"), float(rng.choice([0, 2, 4])))
            for i in range(rng.randrange(1, 5))
        ]
        job = spec(
            number + 1,
            parcels=rng.choice([1, 2, 3, 4]),
            cards=rng.choice([1.0, 2.0]),
            together=rng.random() < 0.4,
            scatter=False,
            ward=rng.choice([None, "a"]),
        )
        assert fits_whole(job, summarize(machines)) is placement_exists(job, machines)


def placement_exists(job: JobSpec, machines: list[MachineView]) -> bool:
    for counts in product(range(job.tasks + 1), repeat=len(machines)):
        used = [m for m, count in zip(machines, counts, strict=True) if count]
        if (
            sum(counts) == job.tasks
            and all(c * job.gpus <= m.free[1] for m, c in zip(machines, counts, strict=True))
            and all(job.zone in (None, m.zone) for m in used)
            and (not job.one_zone or len({m.zone for m in used}) == 1)
        ):
            return True
    return False


def test_a_capacity_summary_is_bounded_and_lists_the_largest_free_capacity_first() -> None:
    machines = [machine(f"m-{i}", f"z{i}", float(i % 5)) for i in range(4000)]
    rows = summarize(machines)
    assert len(rows) == constants.CELL_MAX_CAPACITY_ROWS and rows[0].gpus == 4
    assert len(msgspec.json.encode(rows)) < 4096


def test_the_expected_wait_at_home_considers_expected_ends_and_starting_machines() -> None:
    job = spec(parcels=2)
    busy = [machine("m-1", "a", 1.0, (30.0,)), machine("m-2", "b", 1.0, (70.0,))]
    assert expected_wait_s(job, busy, []) == 70.0
    assert expected_wait_s(job, busy, [(20.0, machine("m-3", "a", 4.0))]) == 30.0
    together = spec(parcels=2, together=True)
    assert expected_wait_s(together, busy, []) == constants.CELL_UNKNOWN_WAIT_S


class FakeCell:
    """Another cell, with this number of free machines."""

    def __init__(self, name: str, machines: int) -> None:
        self.name, self.machines = name, machines

    def rows(self, now: float) -> list[CapacityRow]:
        return [CapacityRow("big", "a", True, 16, 4, 128, self.machines)]


OBJECTIVES = [Objective("wait", "c0", 15.0, 0.9)]


def view(latest_start: float, number: int = 1, **change: object) -> JobView:
    return JobView(spec(number, **change), 1, latest_start=latest_start)


@pytest.mark.parametrize(
    ("latest", "at_home_s", "offered"),
    [(15.0, 60.0, True), (15.0, 3.0, False), (100.0, 60.0, False), (1e7, 60.0, True)],
    ids=["late at home", "soon at home", "in time at home", "late already"],
)
def test_which_jobs_are_offered(latest: float, at_home_s: float, offered: bool) -> None:
    policy, cells = HandoffPolicy(OBJECTIVES, random.Random(1)), [FakeCell("south", 1)]
    views = policy.candidates([view(latest)], ["j-000001"])
    assert policy.choose(views, cells, lambda _: at_home_s, 0.0, 0.0) is None  # it has not waited
    now = constants.CELL_MIN_WAIT_S + 0.1
    chosen = policy.choose(views, cells, lambda _: at_home_s, now, now)
    assert (chosen is not None) is offered
    assert policy.choose(views, [FakeCell("south", 0)], lambda _: at_home_s, now, now) is None


def test_other_classes_are_not_offered_and_the_handoffs_of_a_job_are_limited() -> None:
    policy, cells = (
        HandoffPolicy(OBJECTIVES, random.Random(1)),
        [FakeCell("south", 1), FakeCell("west", 1)],
    )
    others = [view(0.0, 1, docket="c1"), view(0.0, 2, precedence="standard")]
    assert policy.candidates(others) == []
    views = policy.candidates([view(10.0)], ["j-000001"])
    now, offered_to = 0.0, []
    for _ in range(400):
        now += 1.0
        chosen = policy.choose(views, cells, lambda _: 60.0, now, 0.0)
        if chosen is not None:
            offered_to.append(chosen[1].name)
            policy.note_outcome("j-000001", chosen[1].name, len(offered_to) > 2, now)
    # After a refusal the job is offered to the other cell; after CELL_MAX_HANDOFFS grants, to none.
    assert (
        offered_to[:2] == ["south", "west"] and len(offered_to) == 2 + constants.CELL_MAX_HANDOFFS
    )


def test_retries_back_off_with_jitter_up_to_a_bound() -> None:
    backoff, rng, pauses = Backoff(2.0, 60.0), random.Random(1), []
    for _ in range(10):
        backoff.record_failure(0.0, rng)
        pauses.append(backoff.until)
    assert all(1.0 <= pause <= 60.0 for pause in pauses) and pauses[-1] >= 30.0
    for _ in range(1100):
        backoff.record_failure(0.0, rng)  # regression: the 1,025th in a row overflowed
    backoff.record_success()
    assert backoff.until == 0.0
