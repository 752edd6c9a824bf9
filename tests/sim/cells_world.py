"""Several cells on one virtual clock, with the steps that tests of handoffs need."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from peathall.cells.settings import CellSettings, Neighbour
from peathall.config.platform import Settings, parse
from peathall.operator_config.settings import Operator
from tests.sim.cells_judge import CellsJudge
from tests.sim.net import Host, VirtualLoop
from tests.sim.sites import controller_text, controller_text_with_next_limits
from tests.sim.task_registry import TaskRegistry
from tests.sim.test_days import cut_one_way, draw_job, virtual_loop
from tests.sim.worker import Worker
from tests.sim.world import World

LEASE_S = 14.0  # of handoffs; just over the least that the workers' lease allows


def cell_name(cell: int) -> str:
    """Name of the cell in the operators' settings."""
    return f"cell-{cell}"


def operator_of(cell: int, count: int, size: int = 3) -> Operator:
    """Operator settings of a cell: it knows all other cells, and idle machines are kept."""
    neighbours = [
        Neighbour(cell_name(other), [f"10.0.{other}.{i + 1}:8081" for i in range(size)])
        for other in range(count)
        if other != cell
    ]
    return Operator(
        idle_hold_s=1000.0, cells=CellSettings(cell_name(cell), neighbours, lease_s=LEASE_S)
    )


def cell_settings(cell: int, size: int = 3, next_limits: bool = False) -> list[Settings]:
    """Settings of the cell's controllers."""
    make = controller_text_with_next_limits if next_limits else controller_text
    texts = [make(index, size) for index in range(size)]
    return [
        parse(text.replace("10.0.0.", f"10.0.{cell}.").replace("10.2.0.", f"10.2.{cell}."))
        for text in texts
    ]


class Cells:
    """The cells of a day, one `World` each, and the judge of them all."""

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
        """Starts the cells one after the other."""
        for world in self.worlds:
            await world.begin()

    def submit(
        self, cell: int, number: int, cancel_after: float | None = None, **change: Any
    ) -> Any:
        """Submits a high-priority gang with one task for a GPU machine in the cell."""
        job = gang(number) | change
        self.judge.homes[job["id"]] = cell
        ip = f"10.9.{number // 250}.{number % 250 + 1}"
        return self.worlds[cell].submit(job, ip, cancel_after)

    def job_id(self, number: int) -> str:
        """Id of the job of that number."""
        return gang(number)["id"]

    async def fill(self, cell: int, first: int, count: int = 3, run_s: float = 90.0) -> list[Any]:
        """Fills the cell's machines with jobs that no other job may preempt."""
        done = [
            self.submit(cell, first + n, run_s=run_s, reckon_s=run_s, docket="c1")
            for n in range(count)
        ]
        names = [self.job_id(first + n) for n in range(count)]
        await self.until(lambda: all(self.runs_in(cell, name) for name in names), 90.0)
        return done

    async def warm(self, cell: int, first: int, count: int = 1) -> None:
        """Has machines provisioned that are idle then."""
        done = [self.submit(cell, first + n, run_s=2.0, docket="c1") for n in range(count)]
        await asyncio.gather(*done)

    def runs_in(self, cell: int, job_id: str) -> bool:
        """Whether all tasks of the job run in the cell."""
        tasks = list(self.registry.by_job.get(job_id, ()))
        job = self.registry.jobs.get(job_id)
        return (
            job is not None
            and len(tasks) == job["parcels"]
            and all(t.state == "running" and t.worker.network.cell == cell for t in tasks)
        )

    def phase(self, number: int) -> str | None:
        """Phase of the job's handoff as its home has stored it, None without a handoff."""
        handoff = self.judge.handed_off.get(self.job_id(number))
        return handoff and handoff[1]

    def leader(self, cell: int) -> Any:
        """The term of the cell's leader, or None while no controller leads."""
        index = self.worlds[cell].leader()
        return None if index is None else self.worlds[cell].controllers[index][1].leader

    def crash_leader(self, cell: int, back_s: float) -> None:
        """Crashes the cell's leader; it is started again after so many seconds."""
        index = self.worlds[cell].leader()
        if index is not None:
            self.worlds[cell].crash_controller(index, back_s)

    def isolate(
        self, cell: int, seconds: float, receives: bool = False, sends: bool = False
    ) -> None:
        """Partitions the cell's controllers from those of all other cells; they may still receive
        from them or send to them."""
        own = [f"10.0.{cell}.{i + 1}" for i in range(3)]
        others = [
            f"10.0.{o}.{i + 1}" for o in range(len(self.worlds)) if o != cell for i in range(3)
        ]
        ways = [(a, b) for a in own for b in others]
        if not sends:
            cut_one_way(self.worlds[0], ways, seconds)
        if not receives:
            cut_one_way(self.worlds[0], [(b, a) for a, b in ways], seconds)

    def disturb_worker(self, worker: Worker, trouble: str, seconds: float) -> None:
        """From now on the machine can't send ("mute"), can't receive ("deaf") or neither
        ("cut off"), all for 50 s, or is "hung" for so many seconds."""
        cell, ip = worker.network.cell, worker.host.ip
        inbound = [(f"10.0.{cell}.{i + 1}", ip) for i in range(3)]
        outbound = [(b, a) for a, b in inbound]
        if trouble == "hung":
            worker.host.frozen_until = self.loop.now + seconds
        else:
            ways = {"mute": outbound, "deaf": inbound, "cut off": inbound + outbound}
            cut_one_way(self.worlds[cell], ways[trouble], 50.0)

    def at(self, number: int, step: str, act: Callable[[], None]) -> asyncio.Event:
        """Calls `act` once, right after the job's handoff has come to this step."""
        reached = asyncio.Event()

        def later() -> None:
            never_frozen = self.worlds[0].context(Host("10.9.9.8"))
            self.loop.call_later(0.001, act, context=never_frozen)
            reached.set()

        self.judge.actions[self.job_id(number), step] = later
        return reached

    async def ask(self, cell: int, method: str, path: str, raw: Any, at: int) -> Any:
        """Status and body of a controller's response to a user, status 0 without one."""
        world = self.worlds[cell]
        context = world.context(Host("10.9.9.9"))
        return await self.loop.create_task(world.ask(method, path, raw, at), context=context)

    async def until(self, reached: Callable[[], Any], limit_s: float = 60.0) -> float:
        """Seconds until the condition holds; it must within the limit."""
        began = self.loop.now
        while not reached():
            assert self.loop.now - began < limit_s, "the condition does not hold in time"
            await asyncio.sleep(0.05)
        return self.loop.now - began

    def check(self) -> None:
        """No rule was broken, of one cell or of all together."""
        assert self.judge.faults == [], self.judge.faults
        for world in self.worlds:
            assert world.broken == [], world.broken

    async def settle(self) -> None:
        """Waits until no job is handed off any more."""
        await self.until(lambda: not self.judge.handed_off and not self.judge.borrowed, 120.0)


def gang(number: int) -> dict[str, Any]:
    """A high-priority gang with one task that takes most of a GPU machine."""
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
    """Plays the day and checks the rules at its end."""
    with virtual_loop(seed) as loop:
        cells = Cells(loop, seed, count, next_limits)

        async def whole_day() -> None:
            watching = [loop.create_task(watch(world)) for world in cells.worlds]
            await day(cells)
            await cells.settle()
            for task in watching:
                task.cancel()

        loop.run_until_complete(whole_day())
        cells.check()
        return cells


async def watch(world: World) -> None:
    """Checks twice a second that cancelled jobs leave their machines."""
    while True:
        world.check_cancelled()
        await asyncio.sleep(0.5)
