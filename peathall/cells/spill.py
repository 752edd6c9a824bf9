"""Which waiting jobs are offered to which cell: a greedy rule with hysteresis. Pure.

An urgent job is offered once it has waited for a moment, would miss its next objective at home or
has missed all, and should start sooner elsewhere by more than a handoff costs. The wait expected
at home is an estimate; once that time is over, it no longer speaks against an offer.
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


class Backoff(Struct):
    """Doubles with each failure, with jitter, and is over with a success."""

    least_s: float
    most_s: float
    failures: int = 0
    until: float = 0.0

    def failed(self, now: float, rng: random.Random) -> None:
        """Not before a while from now."""
        pause = min(self.most_s, self.least_s * 2**self.failures)
        self.failures += 1
        self.until = now + pause * (0.5 + rng.random() / 2)

    def succeeded(self) -> None:
        """At once again."""
        self.failures, self.until = 0, 0.0


class CellCapacity(Protocol):
    """What is known of another cell."""

    name: str

    def rows(self, now: float) -> Sequence[CapacityRow]:
        """Its latest summary of free capacity; empty if that is too old."""


class WaitingJob(Struct):
    """A job that is not placed at home."""

    since: float  # steady time
    expected_at: float  # steady time at which it should start at home, as first estimated
    reason: str = ""  # why it stays, for operators
    retries: Backoff = field(
        default_factory=lambda: Backoff(constants.CELL_RETRY_S, constants.CELL_RETRY_MOST_S)
    )


def is_urgent(spec: JobSpec, objectives: Iterable[Objective]) -> bool:
    """Whether its class has an objective for the wait, and its priority is above STANDARD."""
    return spec.priority < Priority.STANDARD and any(
        objective.kind == "wait" and objective.class_name == spec.class_name
        for objective in objectives
    )


def expected_wait_s(
    spec: JobSpec, machines: Iterable[MachineView], starting: Iterable[tuple[float, MachineView]]
) -> float:
    """Seconds until all of the job should fit at home at once, by the machines that become
    free and those that are starting; CELL_UNKNOWN_WAIT_S if that can't be estimated."""
    coming: list[tuple[float, str, int]] = []
    for machine in machines:
        if allowed(machine, spec):
            wait, count = earliest_fit(machine, spec)
            coming.append((wait, machine.zone, count))
    for wait, machine in starting:
        if allowed(machine, spec):
            coming.append((wait, machine.zone, machine.capacity_for(spec)))
    found: dict[str, int] = {}
    for wait, zone, count in sorted(coming):
        group = zone if spec.one_zone else ""
        found[group] = found.get(group, 0) + count
        if found[group] >= spec.tasks:
            return wait
    return constants.CELL_UNKNOWN_WAIT_S


class SpillRule:
    """Remembers for how long jobs have waited, and which cells refused lately."""

    def __init__(self, objectives: Sequence[Objective], rng: random.Random) -> None:
        self.objectives = objectives
        self.rng = rng
        self.waiting: dict[str, WaitingJob] = {}
        self.cells: dict[str, Backoff] = {}
        self.handoffs: Counter[str] = Counter()  # of each live job, in this term

    def candidates(self, unplaced: Iterable[JobView], live: Container[str] = ()) -> list[JobView]:
        """Jobs that may be handed off at all, in the order of the round; `live` are all jobs."""
        found = [
            view
            for view in unplaced
            if is_urgent(view.spec, self.objectives)
            and not (view.spec.daemon or view.borrowed or view.is_canary or view.running_zones)
            and view.pending == view.spec.tasks <= constants.CELL_TASKS_MOST
        ]
        kept = {view.spec.id for view in found}
        self.waiting = {
            job: waiting_job for job, waiting_job in self.waiting.items() if job in kept
        }
        for job in [job for job in self.handoffs if job not in live]:
            del self.handoffs[job]
        return found

    def choose(
        self,
        views: Iterable[JobView],
        cells: Sequence[CellCapacity],
        expected: Callable[[JobSpec], float],
        now: float,
        wall: float,
    ) -> tuple[JobView, CellCapacity] | None:
        """The first job that is to be offered, and the cell; None if there is none."""
        for view in views:
            cell, reason = self._target(view, cells, expected, now, wall)
            self.waiting[view.spec.id].reason = reason
            if cell is not None:
                return view, cell
        return None

    def _target(
        self,
        view: JobView,
        cells: Sequence[CellCapacity],
        expected: Callable[[JobSpec], float],
        now: float,
        wall: float,
    ) -> tuple[CellCapacity | None, str]:
        spec = view.spec
        waiting_job = self.waiting.get(spec.id)
        if waiting_job is None:
            waiting_job = self.waiting[spec.id] = WaitingJob(now, now + expected(spec))
        if self.handoffs[spec.id] >= constants.CELL_HANDOFFS_MOST:
            return None, "it was handed off too often already"
        if now < max(waiting_job.since + constants.CELL_PATIENCE_S, waiting_job.retries.until):
            return None, "it has waited, or was refused, only just now"
        elsewhere_s = constants.CELL_HANDOFF_S + view.fetch_s
        at_home_s = waiting_job.expected_at - now
        if at_home_s < -constants.CELL_GAIN_S:
            at_home_s = constants.CELL_UNKNOWN_WAIT_S  # the estimate was wrong
        if at_home_s < elsewhere_s + constants.CELL_GAIN_S:
            return None, "it should start about as soon at home"
        # A job that can meet no objective any more has a latest start far away: it is late already.
        if (
            not view.is_starving
            and at_home_s < view.latest_start - wall < constants.CELL_UNKNOWN_WAIT_S
        ):
            return None, "it meets its next aim at home"
        return self._with_capacity(spec, cells, now)

    def _with_capacity(
        self, spec: JobSpec, cells: Sequence[CellCapacity], now: float
    ) -> tuple[CellCapacity | None, str]:
        ready = [cell for cell in cells if now >= self._backoff(cell.name).until]
        # Whoever refused before is asked after the others.
        for cell in sorted(ready, key=lambda cell: self._backoff(cell.name).failures):
            if fits_whole(spec, cell.rows(now)):
                return cell, "it is being offered"
        return None, "no cell has told of room for all of it" if ready else "cells refused lately"

    def _backoff(self, cell: str) -> Backoff:
        return self.cells.setdefault(
            cell, Backoff(constants.CELL_RETRY_S, constants.CELL_RETRY_MOST_S)
        )

    def note_no_capacity(self, spec: JobSpec, now: float) -> None:
        """No cell has sent a summary of free capacity lately: there is nothing to choose from."""
        waiting_job = self.waiting.setdefault(spec.id, WaitingJob(now, now))
        waiting_job.reason = "no cell has told of room lately"

    def note_outcome(self, job: str, cell: str, granted: bool, now: float) -> None:
        """What became of an offer."""
        waiting_job = self.waiting.get(job)
        self.handoffs[job] += granted
        if waiting_job is not None:
            waiting_job.retries.failed(now, self.rng)
        if granted:
            self._backoff(cell).succeeded()
        else:
            self._backoff(cell).failed(now, self.rng)
