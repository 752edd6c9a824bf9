"""The rules about jobs that are handed off between cells."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.sim.worker import Task

HANDOFF, BORROWED = "handoff/", "borrowed/"  # prefixes of the home's and the borrower's records


class CellsJudge:
    """A simple model that follows every accepted commit of every cell's state service and of
    every start of an attempt in any cell, and collects the violations of the rules."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.homes: dict[str, int] = {}  # job -> the cell whose user submitted it
        self.limits: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs; 0: no limit
        self.on_machines: dict[Task, None] = {}
        self.epochs: dict[str, int] = {}  # job -> the highest epoch that was offered
        self.granted: set[tuple[str, int]] = set()  # jobs and epochs
        self.handed_off: dict[str, tuple[int, str]] = {}  # job -> epoch and phase at its home
        self.borrowed: dict[tuple[int, str], tuple[int, str]] = {}  # cell, job -> epoch and phase
        self.handoffs = self.changes = 0  # that were granted; of records of either kind
        self.ran_in: dict[str, list[int]] = {}  # job -> cells in which it has run, in order
        self.actions: dict[tuple[str, str], Callable[[], None]] = {}  # job and step -> called then

    def commit(self, cell: int, raw: dict[str, Any]) -> None:
        """The state service of the cell has accepted a transaction."""
        for op in raw["apply"]:
            key, value = op.get("write", op.get("drop")), op.get("data")
            kind, _, job = key.partition("/")
            if kind + "/" == HANDOFF:
                self.changes += 1
                self.handoff(job, value)
            elif kind + "/" == BORROWED:
                self.changes += 1
                self.borrow(cell, job, value)

    def handoff(self, job: str, value: dict[str, Any] | None) -> None:
        """The home has written or deleted the record of the job's handoff."""
        before = self.handed_off.pop(job, None)
        if value is None:
            return
        epoch, phase = value["epoch"], value["phase"]
        self.reached(job, phase)
        self.handed_off[job] = (epoch, phase)
        if phase == "offered":
            if epoch <= self.epochs.get(job, 0):
                self.faults.append(f"epoch {epoch} of {job} was offered before")
            self.epochs[job] = epoch
        elif before != (epoch, "offered"):
            self.faults.append(f"{job} granted at epoch {epoch} after {before}")
        else:
            self.handoffs += 1
            self.granted.add((job, epoch))

    def borrow(self, cell: int, job: str, value: dict[str, Any] | None) -> None:
        """The borrower has written or deleted its record of the job."""
        before = self.borrowed.pop((cell, job), None)
        if value is None:
            return
        epoch, phase = value["epoch"], value["phase"]
        self.reached(job, phase)
        self.borrowed[cell, job] = (epoch, phase)
        follows = {"reserved": None, "adopted": (epoch, "reserved"), "ended": (epoch, "adopted")}
        if before != follows[phase]:
            self.faults.append(f"{job} is {phase} in cell {cell} after {before}")
        if phase != "reserved" and (job, epoch) not in self.granted:
            self.faults.append(f"{job} is {phase} at epoch {epoch}, which was never granted")

    def start(self, task: Task) -> None:
        """An attempt has come to a machine of any cell."""
        job = task.name.partition("/")[0]
        cell = task.worker.network.cell
        self.on_machines = {t: None for t in self.on_machines if t.on_machine}
        self.on_machines[task] = None
        attempts = [t for t in self.on_machines if t.name.partition("/")[0] == job]
        if {t.worker.network.cell for t in attempts} != {cell}:
            self.faults.append(f"{job} is in two cells")
        if self.homes.get(job) not in (None, cell):
            self.reached(job, "running")
        ran = self.ran_in.setdefault(job, [])
        if ran[-1:] != [cell]:
            ran.append(cell)
        self.check_limit(job, task.job["desk"])

    def reached(self, job: str, step: str) -> None:
        """The job's handoff has come to a step, for which an action may be set."""
        act = self.actions.pop((job, step), None)
        if act is not None:
            act()

    def check_limit(self, job: str, team: str) -> None:
        """A team's limit in the home cell holds for its jobs of that home, wherever they run."""
        home = self.homes.get(job)
        used = [0.0, 0.0]
        for task in self.on_machines:
            if task.job["desk"] == team and self.homes.get(task.name.partition("/")[0]) == home:
                used[0] += task.job["vcpus"]
                used[1] += task.job["cards"]
        for amount, most in zip(used, self.limits.get(team, (0.0, 0.0)), strict=True):
            if most and amount > most + 1e-6:
                self.faults.append(f"{team} uses {amount} of {most} in all cells")
