"""Offers urgent jobs that are not placed in time to cells with free capacity."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from functools import cache
from typing import Protocol

from peathall import constants
from peathall.cells.borrower import CapacityKeeper
from peathall.cells.client import CellClient
from peathall.cells.home import HomeHandoffs
from peathall.cells.spill import SpillRule, expected_wait_s
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs.background import BackgroundTasks
from peathall.placement.plan import Plan
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec

log = logging.getLogger("peathall.cells")


class MachineCapacity(CapacityKeeper, Protocol):
    """Capacity of this cell's machines: the placement slice."""

    decision_lock: asyncio.Lock  # held by a round while it decides and allocates

    def free_machines(self) -> list[MachineView]:
        """Machines that take new work, with their free capacity."""

    def starting_machines(self) -> list[tuple[float, MachineView]]:
        """Machines that are starting, and in how many seconds they should be up."""


class Spiller:
    """Looks once a second for jobs to hand off, and carries the handoffs out."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        cells: dict[str, CellClient],
        home: HomeHandoffs,
        capacity: MachineCapacity,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.cluster = cluster
        self.params = params
        self.cells = cells
        self.home = home
        self.capacity = capacity
        self.clock = clock  # steady time
        self.wall = wall  # time of day
        self.rule = SpillRule(params.objectives, rng)
        self.unplaced: list[JobView] = []  # of the latest round
        self._background = BackgroundTasks()
        self._offers = 0  # in progress

    def note_unplaced(self, plan: Plan) -> None:
        """A round has found no capacity for these jobs."""
        self.unplaced = [view for view, _ in plan.unplaced]

    async def run(self, is_leader: Callable[[], bool]) -> None:
        """Offer jobs until cancelled."""
        while True:
            await asyncio.sleep(constants.TICK_S)
            if is_leader():
                self._offer_jobs()

    def _offer_jobs(self) -> None:
        views = self.rule.candidates(self.unplaced, self.cluster.jobs)
        now = self.clock()
        if not any(cell.rows(now) for cell in self.cells.values()):
            for view in views:
                self.rule.note_no_capacity(view.spec, now)
            return
        views = [view for view in views if self._may_offer(view.spec)]

        @cache
        def machines() -> tuple[list[MachineView], list[tuple[float, MachineView]]]:
            return self.capacity.free_machines(), self.capacity.starting_machines()

        def expected(spec: JobSpec) -> float:
            return expected_wait_s(spec, *machines())

        cells = list(self.cells.values())
        while views and self._offers < constants.CELL_OPERATIONS:
            chosen = self.rule.choose(views, cells, expected, now, self.wall())
            if chosen is None:
                return
            view, cell = chosen
            views.remove(view)
            job = self.cluster.jobs[view.spec.id]
            self._offers += 1
            self._background.spawn(self._offer(job, self.cells[cell.name]))

    def _may_offer(self, spec: JobSpec) -> bool:
        """Whether nothing of the job has begun, and its team's quota allows all of it."""
        job = self.cluster.jobs.get(spec.id)
        if job is None or job.on_hold or job.attempts or len(job.done):
            return False
        teams = {team.name: team for team in self.params.teams}
        quotas = TeamQuotas(teams, self.cluster.usage)
        return job.phase is JobPhase.ACTIVE and quotas.allowance_for(spec, spec.tasks) == spec.tasks

    async def _offer(self, job: Job, cell: CellClient) -> None:
        try:
            async with self.capacity.decision_lock:
                # Between two rounds, whose own view of the quotas would otherwise be out of date.
                if not self._may_offer(job.spec):
                    return
                handoff = self.home.begin(job, cell.name)
            reason = await self.home.carry_out(handoff, cell)
        finally:
            self._offers -= 1
        if reason is not None:
            log.info("job %s: not handed off to cell %s: %s", job.spec.id, cell.name, reason)
        self.rule.note_outcome(job.spec.id, cell.name, reason is None, self.clock())

    def close(self) -> None:
        """The term is over: cancel what is in progress."""
        self._background.close()
