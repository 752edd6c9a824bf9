"""Several cells on one virtual clock, and a judge of what happens in all of them together."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from peathall.cells.settings import CellSettings, Neighbour
from peathall.config.platform import Settings, parse
from peathall.operator_config.settings import Operator
from tests.sim.net import Host, VirtualLoop
from tests.sim.sites import controller_text, controller_text_with_next_limits
from tests.sim.task_registry import TaskRegistry
from tests.sim.test_days import draw_job, mute, virtual
from tests.sim.worker import Task, Worker
from tests.sim.world import World

LEASE_S = 14.0  # just over what the workers' lease of the sites in tests asks for
HANDOFF, BORROWED = "handoff/", "borrowed/"


def cell_name(cell: int) -> str:
    return f"cell-{cell}"


def operator_of(cell: int, count: int, size: int = 3) -> Operator:
    """All cells know one another; idle machines are kept."""
    neighbours = [
        Neighbour(cell_name(other), [f"10.0.{other}.{i + 1}:8081" for i in range(size)])
        for other in range(count)
        if other != cell
    ]
    return Operator(
        idle_hold_s=1000.0, cells=CellSettings(cell_name(cell), neighbours, lease_s=LEASE_S)
    )


def cell_settings(cell: int, size: int = 3, next_limits: bool = False) -> list[Settings]:
    make = controller_text_with_next_limits if next_limits else controller_text
    texts = [make(index, size) for index in range(size)]
    return [
        parse(text.replace("10.0.0.", f"10.0.{cell}.").replace("10.2.0.", f"10.2.{cell}."))
        for text in texts
    ]


class CellsJudge:
    """A slow plain model: every accepted commit of every store, and every start in any cell."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.homes: dict[str, int] = {}  # job -> the cell whose user submitted it
        self.limits: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs, 0: none
        self.on_machines: dict[Task, None] = {}
        self.epochs: dict[str, int] = {}  # job -> the highest that was offered
        self.granted: set[tuple[str, int]] = set()
        self.lent: dict[str, tuple[int, str]] = {}  # job -> epoch and phase at its home, now
        self.borrowed: dict[tuple[int, str], tuple[int, str]] = {}  # cell and job -> the same there
        self.handoffs = self.changes = 0
        self.ran_in: dict[str, list[int]] = {}  # job -> cells in which it has run, in order
        self.watched: dict[tuple[str, str], Callable[[], None]] = {}  # job and step -> what to do

    def commit(self, cell: int, raw: dict[str, Any]) -> None:
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
        before = self.lent.pop(job, None)
        if value is None:
            return
        epoch, phase = value["epoch"], value["phase"]
        self.reached(job, phase)
        self.lent[job] = (epoch, phase)
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
        job = task.name.partition("/")[0]
        cell = task.worker.network.cell
        self.on_machines = {t: None for t in self.on_machines if t.counted}
        self.on_machines[task] = None
        mates = [t for t in self.on_machines if t.name.partition("/")[0] == job]
        if {t.worker.network.cell for t in mates} != {cell}:
            self.faults.append(f"{job} is in two cells")
        if self.homes.get(job) not in (None, cell):
            self.reached(job, "running")
        ran = self.ran_in.setdefault(job, [])
        if ran[-1:] != [cell]:
            ran.append(cell)
        self.check_limit(job, task.job["desk"])

    def reached(self, job: str, step: str) -> None:
        act = self.watched.pop((job, step), None)
        if act is not None:
            act()

    def check_limit(self, job: str, team: str) -> None:
        """A team's limit at home holds for its jobs of that home, wherever they are."""
        home = self.homes.get(job)
        used = [0.0, 0.0]
        for task in self.on_machines:
            if task.job["desk"] == team and self.homes.get(task.name.partition("/")[0]) == home:
                used[0] += task.job["vcpus"]
                used[1] += task.job["cards"]
        for amount, most in zip(used, self.limits.get(team, (0.0, 0.0)), strict=True):
            if most and amount > most + 1e-6:
                self.faults.append(f"{team} uses {amount} of {most} in all cells")


class Cells:
    """The cells of a day."""

    def __init__(self, loop: VirtualLoop, seed: int, count: int, next_limits: bool = False) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.judge = CellsJudge()
        # What users upload can be fetched anywhere, and a task is known by its name.
        self.registry = TaskRegistry()
        self.worlds = [
            World(
                loop,
                seed + cell,
                cell_settings(cell, next_limits=next_limits),
                cell,
                registry=self.registry,
            )
            for cell in range(count)
        ]
        for cell, world in enumerate(self.worlds):
            world.controller_hosts.operators = dict.fromkeys(range(3), operator_of(cell, count))
            world.task_rules.on_start = self.judge.start
            world.state.on_accepted = lambda raw, cell=cell: self.judge.commit(cell, raw)
            world.cloud.capacity = 3
        teams = self.worlds[0].settings[0].params.teams
        self.judge.limits = {team.name: (team.cpus_max, team.gpus_max) for team in teams}

    async def begin(self) -> None:
        for world in self.worlds:
            await world.begin()

    def submit(
        self, cell: int, number: int, cancel_after: float | None = None, **change: Any
    ) -> Any:
        """An urgent gang of one GPU machine, submitted in that cell."""
        job = gang(number) | change
        self.judge.homes[job["id"]] = cell
        ip = f"10.9.{number // 250}.{number % 250 + 1}"
        return self.worlds[cell].submit(job, ip, cancel_after)

    def job_id(self, number: int) -> str:
        return gang(number)["id"]

    async def fill(self, cell: int, first: int, count: int = 3, run_s: float = 90.0) -> list[Any]:
        """Jobs that keep the cell's machines, of no lower priority than any other."""
        done = [
            self.submit(cell, first + n, run_s=run_s, reckon_s=run_s, docket="c1")
            for n in range(count)
        ]
        names = [self.job_id(first + n) for n in range(count)]
        await self.until(lambda: all(self.runs_in(cell, name) for name in names), 90.0)
        return done

    async def warm(self, cell: int, first: int, count: int = 1) -> None:
        """Bring machines up that are idle then."""
        done = [self.submit(cell, first + n, run_s=2.0, docket="c1") for n in range(count)]
        await asyncio.gather(*done)

    def runs_in(self, cell: int, job_id: str) -> bool:
        tasks = list(self.registry.by_job.get(job_id, ()))
        job = self.registry.jobs.get(job_id)
        return (
            job is not None
            and len(tasks) == job["parcels"]
            and all(t.state == "running" and t.worker.network.cell == cell for t in tasks)
        )

    def phase(self, number: int) -> str | None:
        """Of the job's handoff, as its home has stored it."""
        found = self.judge.lent.get(self.job_id(number))
        return found and found[1]

    def leader(self, cell: int) -> Any:
        """The leader's parts."""
        index = self.worlds[cell].leader()
        return None if index is None else self.worlds[cell].controllers[index][1].leader

    def crash_leader(self, cell: int, back_s: float) -> None:
        index = self.worlds[cell].leader()
        if index is not None:
            self.worlds[cell].crash_controller(index, back_s)

    def vanish(self, cell: int, seconds: float, hears: bool = False, heard: bool = False) -> None:
        """Its controllers lose the other cells' controllers, in one direction or both."""
        mine = [f"10.0.{cell}.{i + 1}" for i in range(3)]
        others = [
            f"10.0.{o}.{i + 1}" for o in range(len(self.worlds)) if o != cell for i in range(3)
        ]
        ways = [(a, b) for a in mine for b in others]
        if not heard:
            mute(self.worlds[0], ways, seconds)
        if not hears:
            mute(self.worlds[0], [(b, a) for a, b in ways], seconds)

    def lose(self, worker: Worker, trouble: str, seconds: float) -> None:
        """The machine hears nothing from now on, or is not heard, or neither, or hangs."""
        cell, ip = worker.network.cell, worker.host.ip
        there = [(f"10.0.{cell}.{i + 1}", ip) for i in range(3)]
        back = [(b, a) for a, b in there]
        if trouble == "hung":
            worker.host.frozen_until = self.loop.now + seconds
        else:
            ways = {"mute": back, "deaf": there, "cut off": there + back}
            mute(self.worlds[cell], ways[trouble], 50.0)

    def at(self, number: int, step: str, act: Callable[[], None]) -> asyncio.Event:
        """`act` is called once, right after the job's handoff has come to this step."""
        seen = asyncio.Event()

        def later() -> None:
            nobody = self.worlds[0].context(Host("10.9.9.8"))  # whose host is never frozen
            self.loop.call_later(0.001, act, context=nobody)
            seen.set()

        self.judge.watched[self.job_id(number), step] = later
        return seen

    async def ask(self, cell: int, method: str, path: str, raw: Any, at: int) -> Any:
        """A user's request to one controller of the cell."""
        world = self.worlds[cell]
        context = world.context(Host("10.9.9.9"))
        return await self.loop.create_task(world.ask(method, path, raw, at), context=context)

    async def until(self, reached: Callable[[], Any], limit_s: float = 60.0) -> float:
        """Seconds until it is reached."""
        began = self.loop.now
        while not reached():
            assert self.loop.now - began < limit_s, "not reached in time"
            await asyncio.sleep(0.05)
        return self.loop.now - began

    def check(self) -> None:
        """The judgement of the day."""
        assert self.judge.faults == [], self.judge.faults
        for world in self.worlds:
            assert world.broken == [], world.broken

    async def settle(self) -> None:
        """Nothing is handed off any more."""
        await self.until(lambda: not self.judge.lent and not self.judge.borrowed, 120.0)


def gang(number: int) -> dict[str, Any]:
    return draw_job(random.Random(number), number) | {
        "docket": "c0", "desk": "blue", "shape": "ensemble", "precedence": "high", "parcels": 1,
        "vcpus": 2.0, "cards": 3.0, "ram_gb": 4.0, "builds": ["big"], "ward": None,
        "together": False, "scatter": False, "standby": True, "kit": "img-0", "image_gb": 1.0,
        "run_s": 6.0, "reckon_s": 6.0, "tally_s": 0.0, "due_s": None,
    }  # fmt: skip


def play(
    seed: int,
    day: Callable[[Cells], Awaitable[None]],
    count: int = 2,
    next_limits: bool = False,
) -> Cells:
    """The day, and after it the judgement."""
    with virtual(seed) as loop:
        cells = Cells(loop, seed, count, next_limits)

        async def all_of_it() -> None:
            watching = [loop.create_task(watch(world)) for world in cells.worlds]
            await day(cells)
            await cells.settle()
            for task in watching:
                task.cancel()

        loop.run_until_complete(all_of_it())
        cells.check()
        return cells


async def watch(world: World) -> None:
    while True:
        world.check_cancelled()
        await asyncio.sleep(0.5)
