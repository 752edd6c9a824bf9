"""A day with a large fleet: it is rented, serves, loses its leader, and then a fifth of itself."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec

from peathall.config.platform import CloudSettings, MachineLimits, Settings, Team, WorkerSettings
from tests.sim.net import VirtualLoop
from tests.sim.sites import node_settings
from tests.sim.test_days import draw_job
from tests.sim.world import World

TASKS = 4  # on each machine


@dataclass
class FleetDay:
    """What a day came to; processor times are of the leader, in seconds of a whole core."""

    machines: int
    rented_s: float = 0.0  # until all machines worked
    takeover_s: float = 0.0  # from the leader's end until all machines reported to the next one
    replaced_s: float = 0.0  # until the machines that were lost had been replaced
    deleted_alive: int = 0  # machines that lived and were returned all the same
    checkin_s: float = 0.0  # the longest wait for an answer
    checkins: dict[int, int] = field(default_factory=dict)
    steady_share: float = 0.0  # of a core, while nothing happens
    cloud_refused: int = 0
    broken: list[str] = field(default_factory=list)


def fleet_settings(report_s: float, controllers: int = 3, cpu_share: float = 1.0) -> list[Settings]:
    """A site whose teams have no limits, with the smallest machines that a site has. Workers'
    times are all in proportion to their reports."""
    replace = msgspec.structs.replace
    plain = [node_settings(i, controllers) for i in range(controllers)]
    limits = MachineLimits(cpu_share, 146.0, 800)
    cloud = CloudSettings(4.0, 4.0)
    workers = WorkerSettings(report_s, 4 * report_s, 7 * report_s, 4.0, 9 * report_s)
    return [
        replace(
            s,
            params=replace(
                s.params,
                teams=[Team("blue")],
                machine_limits=limits,
                cloud=cloud,
                workers=workers,
            ),
        )
        for s in plain
    ]


def filling_job(number: int, tasks: int) -> dict[str, Any]:
    """Tasks that outlast the day, four to a machine."""
    return draw_job(random.Random(number), number) | {
        "docket": "c0", "desk": "blue", "shape": "sweep", "parcels": tasks,
        "vcpus": 1.0, "cards": 0.0, "ram_gb": 4.0, "builds": ["small"], "ward": None,
        "together": False, "scatter": False, "run_s": 5000.0, "reckon_s": 3000.0,
    }  # fmt: skip


class FleetPlayer:
    """Plays the day step by step."""

    def __init__(
        self, loop: VirtualLoop, machines: int, share: float = 0.0, report_s: float = 3.0
    ) -> None:
        self.loop = loop
        self.share = share
        self.world = World(loop, 21, fleet_settings(report_s, cpu_share=share or 1.0))
        self.world.report_s, self.world.lease_s = report_s, 4 * report_s
        self.world.cancel_s = 9 * report_s
        self.world.capacity = machines
        self.world.state.page = 1000
        self.world.cloud_rps = 4.0
        self.day = FleetDay(machines)

    def leader(self) -> Any:
        """The leader's parts, or None."""
        index = self.world.leader()
        return None if index is None else self.world.nodes[index][1].leader

    def meter(self) -> None:
        """From now on the controllers' processor time is measured, and charged by their share."""
        for host, _ in self.world.nodes.values():
            host.metered, host.share = True, self.share

    def working(self) -> int:
        """Machines on which all tasks run."""
        return sum(
            sum(t.state == "running" for t in w.tasks.values()) == TASKS
            for w in self.world.workers.values()
        )

    async def until(self, reached: Any, limit_s: float) -> float:
        """Seconds until it is reached; the limit if it is not."""
        began = self.loop.now
        while not reached() and self.loop.now - began < limit_s:
            await asyncio.sleep(0.5)
        return self.loop.now - began

    async def rent(self, limit_s: float) -> None:
        await self.world.begin()
        self.meter()
        tasks = TASKS * self.day.machines // 4
        for number in range(1, 5):
            self.world.submit(filling_job(number, tasks), f"10.9.0.{number}")
        # A few machines never come up.
        enough = 0.95 * self.day.machines
        self.day.rented_s = await self.until(lambda: self.working() >= enough, limit_s)

    async def steady(self, seconds: float) -> None:
        index = self.world.leader()
        assert index is not None
        host = self.world.nodes[index][0]
        before = host.busy_s
        await asyncio.sleep(seconds)
        self.day.steady_share = (host.busy_s - before) / seconds

    async def take_over(self, limit_s: float) -> None:
        index = self.world.leader()
        assert index is not None
        self.world.crash_node(index, 4.0)
        alive = {n for n, w in self.world.workers.items() if w.state == "running"}

        def all_heard() -> bool:
            leader = self.leader()
            if leader is None:
                return False
            machines = leader.cluster.machines
            heard = [n for n in alive if n in machines and machines[n].confirmed]
            return len(heard) >= 0.99 * len(alive)

        self.day.takeover_s = await self.until(all_heard, limit_s)
        self.meter()
        await asyncio.sleep(6 * self.world.report_s)
        self.day.deleted_alive = len(alive - self.world.workers.keys())

    async def lose(self, limit_s: float) -> None:
        """A fifth stops without a word; the cloud lists it as running for a while."""
        alive = [w for w in self.world.workers.values() if w.state == "running"]
        lost = alive[::5]
        for worker in lost:
            worker.die()
            worker.state = "running"
        names = {w.name for w in lost}
        enough = 0.93 * self.day.machines

        def replaced() -> bool:
            return not names & self.world.workers.keys() and self.working() >= enough

        self.day.replaced_s = await self.until(replaced, limit_s)

    def finish(self) -> FleetDay:
        """The day's figures."""
        self.day.checkin_s = self.world.checkin_s
        self.day.checkins = dict(sorted(self.world.checkins.items()))
        self.day.cloud_refused = self.world.cloud_refused
        self.day.broken = self.world.broken
        return self.day
