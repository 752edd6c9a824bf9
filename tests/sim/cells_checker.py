"""Checks the rules about jobs that are handed off between cells."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.sim.worker import Task

# Prefixes of the home cell's and the borrower's records.
HANDOFF_PREFIX, BORROWED_PREFIX = "handoff/", "borrowed/"


class CellsChecker:
    """Checks every transaction that a cell's state service accepts, and every start of an attempt
    in any cell, against a simple model, and collects the violations of the rules."""

    def __init__(self) -> None:
        self.faults: list[str] = []  # violations of the rules
        self.home_cells: dict[str, int] = {}  # job -> the cell to which its user submitted it
        self.team_limits: dict[str, tuple[float, float]] = {}  # team -> CPUs, GPUs; 0: no limit
        self.on_machines: dict[Task, None] = {}
        self.last_epochs: dict[str, int] = {}  # job -> the highest epoch that was offered
        self.granted: set[tuple[str, int]] = set()  # jobs and epochs
        self.handed_off: dict[str, tuple[int, str]] = {}  # job -> epoch and phase in its home cell
        self.borrowed: dict[tuple[int, str], tuple[int, str]] = {}  # cell, job -> epoch and phase
        # Numbers of granted handoffs, and of changes to records of both kinds.
        self.handoffs = self.changes = 0
        self.ran_in: dict[str, list[int]] = {}  # job -> cells in which it has run, in order
        self.step_callbacks: dict[tuple[str, str], Callable[[], None]] = {}  # by job and step

    def check_commit(self, cell: int, raw: dict[str, Any]) -> None:
        """Checks a transaction that the cell's state service has accepted."""
        for op in raw["apply"]:
            key, value = op.get("write", op.get("drop")), op.get("data")
            kind, _, job = key.partition("/")
            if kind + "/" == HANDOFF_PREFIX:
                self.changes += 1
                self.check_handoff_record(job, value)
            elif kind + "/" == BORROWED_PREFIX:
                self.changes += 1
                self.check_borrowed_record(cell, job, value)

    def check_handoff_record(self, job: str, value: dict[str, Any] | None) -> None:
        """Checks the home cell's record of a handoff, which was written, or deleted if None."""
        previous = self.handed_off.pop(job, None)
        if value is None:
            return
        epoch, phase = value["epoch"], value["phase"]
        self.reach_step(job, phase)
        self.handed_off[job] = (epoch, phase)
        if phase == "offered":
            if epoch <= self.last_epochs.get(job, 0):
                self.faults.append(f"epoch {epoch} of {job} was offered before")
            self.last_epochs[job] = epoch
        elif previous != (epoch, "offered"):
            self.faults.append(f"{job} granted at epoch {epoch} after {previous}")
        else:
            self.handoffs += 1
            self.granted.add((job, epoch))

    def check_borrowed_record(self, cell: int, job: str, value: dict[str, Any] | None) -> None:
        """Checks the borrower's record of a job, which was written, or deleted if None."""
        previous = self.borrowed.pop((cell, job), None)
        if value is None:
            return
        epoch, phase = value["epoch"], value["phase"]
        self.reach_step(job, phase)
        self.borrowed[cell, job] = (epoch, phase)
        expected = {"reserved": None, "adopted": (epoch, "reserved"), "ended": (epoch, "adopted")}
        if previous != expected[phase]:
            self.faults.append(f"{job} is {phase} in cell {cell} after {previous}")
        if phase != "reserved" and (job, epoch) not in self.granted:
            self.faults.append(f"{job} is {phase} at epoch {epoch}, which was never granted")

    def check_start(self, task: Task) -> None:
        """Checks an attempt that has started on a machine of any cell."""
        job = task.name.partition("/")[0]
        cell = task.worker.network.cell
        self.on_machines = {t: None for t in self.on_machines if t.on_machine}
        self.on_machines[task] = None
        attempts = [t for t in self.on_machines if t.name.partition("/")[0] == job]
        if {t.worker.network.cell for t in attempts} != {cell}:
            self.faults.append(f"{job} is in two cells")
        if self.home_cells.get(job) not in (None, cell):
            self.reach_step(job, "running")
        ran = self.ran_in.setdefault(job, [])
        if ran[-1:] != [cell]:
            ran.append(cell)
        self.check_team_limit(job, task.job["desk"])

    def reach_step(self, job: str, step: str) -> None:
        """Calls the callback, if one is set, for a step that the job's handoff has reached."""
        callback = self.step_callbacks.pop((job, step), None)
        if callback is not None:
            callback()

    def check_team_limit(self, job: str, team: str) -> None:
        """Checks that the team's jobs from the home cell of `job` stay within its limit there,
        wherever they run."""
        home = self.home_cells.get(job)
        used = [0.0, 0.0]
        for task in self.on_machines:
            if (
                task.job["desk"] == team
                and self.home_cells.get(task.name.partition("/")[0]) == home
            ):
                used[0] += task.job["vcpus"]
                used[1] += task.job["cards"]
        for amount, limit in zip(used, self.team_limits.get(team, (0.0, 0.0)), strict=True):
            if limit and amount > limit + 1e-6:
                self.faults.append(f"{team} uses {amount} of {limit} in all cells")
