"""Decides which waiting jobs are offered to which cell: a greedy policy with hysteresis. No I/O.

An urgent job is offered once it has waited for a few seconds, if it would miss its next objective
in its home cell (or has missed all of them), and should start sooner in another cell by more than
a handoff costs. The expected wait in the home cell is an estimate, which is ignored once the job
has waited longer than that.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Container, Iterable, Sequence
from typing import Protocol

from msgspec import Struct, field

from peathall import constants
from peathall.cells.capacity import fits_whole
from peathall.cells.model import CapacityRow
from peathall.config.platform import Objective
from peathall.placement.bin_packing import allowed
from peathall.placement.capacity import earliest_fit
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec, Priority

MAX_DOUBLINGS = 50  # more would exceed any pause, and at last the range of a float


class Backoff(Struct):
    """Exponential backoff with jitter; a success resets it."""

    least_s: float  # pause after the first failure
    most_s: float  # longest pause
    failures: int = 0
    until: float = 0.0  # monotonic time before which there is no retry

    def record_failure(self, now: float, rng: random.Random) -> None:
        """Double the pause, and start it now."""
        pause = min(self.most_s, self.least_s * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        self.until = now + pause * (0.5 + rng.random() / 2)

    def record_success(self) -> None:
        """Reset the backoff: the next attempt may follow at once."""
        self.failures, self.until = 0, 0.0


class CellCapacity(Protocol):
    """The free capacity of another cell."""

    name: str

    def rows(self, now: float) -> Sequence[CapacityRow]:
        """The cell's latest summary of free capacity; empty if that is too old."""


class WaitingJob(Struct):
    """A job that has not been placed in its home cell."""

    since: float  # monotonic time
    expected_at: float  # monotonic time at which the job should start at home, as first estimated
    reason: str = ""  # why the job is not handed off, shown to operators
    retries: Backoff = field(
        default_factory=lambda: Backoff(constants.CELL_BACKOFF_MIN_S, constants.CELL_BACKOFF_MAX_S)
    )


def is_urgent(spec: JobSpec, objectives: Iterable[Objective]) -> bool:
    """Whether the job's class has a waiting-time objective, and its priority is above STANDARD."""
    return spec.priority < Priority.STANDARD and any(
        objective.kind == "wait" and objective.class_name == spec.class_name
        for objective in objectives
    )


def expected_wait_s(
    spec: JobSpec, machines: Iterable[MachineView], starting: Iterable[tuple[float, MachineView]]
) -> float:
    """Estimate the seconds until all tasks of the job fit in its home cell at the same time, from
    the machines that become free or are starting; CELL_UNKNOWN_WAIT_S if they do not suffice."""
    upcoming: list[tuple[float, str, int]] = []
    for machine in machines:
        if allowed(machine, spec):
            wait, count = earliest_fit(machine, spec)
            upcoming.append((wait, machine.zone, count))
    for wait, machine in starting:
        if allowed(machine, spec):
            upcoming.append((wait, machine.zone, machine.capacity_for(spec)))
    found: dict[str, int] = {}
    for wait, zone, count in sorted(upcoming):
        group = zone if spec.one_zone else ""
        found[group] = found.get(group, 0) + count
        if found[group] >= spec.tasks:
            return wait
    return constants.CELL_UNKNOWN_WAIT_S


class HandoffPolicy:
    """Selects jobs and cells for offers, from how long jobs have waited and which cells refused."""

    def __init__(self, objectives: Sequence[Objective], rng: random.Random) -> None:
        self.objectives = objectives
        self.rng = rng
        self.waiting_jobs: dict[str, WaitingJob] = {}
        self.cell_backoffs: dict[str, Backoff] = {}
        self.handoff_counts: Counter[str] = Counter()  # grants of each live job, in this term

    def candidates(self, unplaced: Iterable[JobView], live: Container[str] = ()) -> list[JobView]:
        """Filter the jobs that may be handed off at all, in the same order, and forget the others.
        `live` has the ids of all jobs that are not final."""
        found = [
            view
            for view in unplaced
            if is_urgent(view.spec, self.objectives)
            and not (view.spec.daemon or view.borrowed or view.is_canary or view.running_zones)
            and view.pending == view.spec.tasks <= constants.CELL_MAX_TASKS
        ]
        kept = {view.spec.id for view in found}
        self.waiting_jobs = {
            job: waiting_job for job, waiting_job in self.waiting_jobs.items() if job in kept
        }
        for job in [job for job in self.handoff_counts if job not in live]:
            del self.handoff_counts[job]
        return found

    def choose(
        self,
        views: Iterable[JobView],
        cells: Sequence[CellCapacity],
        estimate_wait_s: Callable[[JobSpec], float],
        now: float,
        wall: float,
    ) -> tuple[JobView, CellCapacity] | None:
        """Return the first job that is to be offered, and the cell; None if there is none."""
        for view in views:
            cell, reason = self._choose_cell(view, cells, estimate_wait_s, now, wall)
            self.waiting_jobs[view.spec.id].reason = reason
            if cell is not None:
                return view, cell
        return None

    def _choose_cell(
        self,
        view: JobView,
        cells: Sequence[CellCapacity],
        estimate_wait_s: Callable[[JobSpec], float],
        now: float,
        wall: float,
    ) -> tuple[CellCapacity | None, str]:
        spec = view.spec
        waiting_job = self.waiting_jobs.get(spec.id)
        if waiting_job is None:
            waiting_job = self.waiting_jobs[spec.id] = WaitingJob(now, now + estimate_wait_s(spec))
        if self.handoff_counts[spec.id] >= constants.CELL_MAX_HANDOFFS:
            return None, "it was handed off too often already"
        if now < max(waiting_job.since + constants.CELL_MIN_WAIT_S, waiting_job.retries.until):
            return None, "it has waited, or was refused, only just now"
        remote_wait_s = constants.CELL_HANDOFF_COST_S + view.fetch_s
        local_wait_s = waiting_job.expected_at - now
        if local_wait_s < -constants.CELL_MIN_GAIN_S:
            local_wait_s = constants.CELL_UNKNOWN_WAIT_S  # the estimate was too short
        if local_wait_s < remote_wait_s + constants.CELL_MIN_GAIN_S:
            return None, "it should start about as soon at home"
        # A job that can no longer meet any objective has a `latest_start` far in the future, and
        # counts as late.
        if (
            not view.is_starving
            and local_wait_s < view.latest_start - wall < constants.CELL_UNKNOWN_WAIT_S
        ):
            return None, "it meets its next aim at home"
        return self._cell_with_capacity(spec, cells, now)

    def _cell_with_capacity(
        self, spec: JobSpec, cells: Sequence[CellCapacity], now: float
    ) -> tuple[CellCapacity | None, str]:
        ready = [cell for cell in cells if now >= self._backoff(cell.name).until]
        # Cells with more consecutive refusals are tried later.
        for cell in sorted(ready, key=lambda cell: self._backoff(cell.name).failures):
            if fits_whole(spec, cell.rows(now)):
                return cell, "it is being offered"
        return None, "no cell has told of room for all of it" if ready else "cells refused lately"

    def _backoff(self, cell: str) -> Backoff:
        return self.cell_backoffs.setdefault(
            cell, Backoff(constants.CELL_BACKOFF_MIN_S, constants.CELL_BACKOFF_MAX_S)
        )

    def note_no_capacity(self, spec: JobSpec, now: float) -> None:
        """Set the reason of a job for which no cell has sent a recent summary of free capacity."""
        waiting_job = self.waiting_jobs.setdefault(spec.id, WaitingJob(now, now))
        waiting_job.reason = "no cell has told of room lately"

    def note_outcome(self, job: str, cell: str, granted: bool, now: float) -> None:
        """Update the backoffs and the job's handoff count after an offer."""
        waiting_job = self.waiting_jobs.get(job)
        self.handoff_counts[job] += granted
        if waiting_job is not None:
            waiting_job.retries.record_failure(now, self.rng)
        if granted:
            self._backoff(cell).record_success()
        else:
            self._backoff(cell).record_failure(now, self.rng)
