"""Offers urgent jobs that were not placed in time to cells with free capacity."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from functools import cache
from typing import Protocol

from peathall import constants
from peathall.cells.borrower import CapacityReserver
from peathall.cells.client import CellClient
from peathall.cells.handoff_policy import HandoffPolicy, expected_wait_s
from peathall.cells.home import HomeHandoffs
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs.background import BackgroundTasks
from peathall.placement.plan import Plan
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec

log = logging.getLogger("peathall.cells")


class MachineCapacity(CapacityReserver, Protocol):
    """Capacity of this cell's machines; implemented by the placement component."""

    decision_lock: asyncio.Lock  # held by a scheduling round while it decides and allocates

    def free_machines(self) -> list[MachineView]:
        """Machines that accept new tasks, with their free capacity."""

    def starting_machines(self) -> list[tuple[float, MachineView]]:
        """Machines that are starting, with the seconds until they should be running."""


class HandoffScheduler:
    """Selects jobs to hand off once a second, and offers them to other cells."""

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
        self.clock = clock  # monotonic time
        self.wall = wall  # time of day
        self.policy = HandoffPolicy(params.objectives, rng)
        self.unplaced: list[JobView] = []  # jobs without capacity in the latest scheduling round
        self._background = BackgroundTasks()
        self._offers_in_progress = 0

    def note_unplaced(self, plan: Plan) -> None:
        """Note the jobs for which a scheduling round found no capacity."""
        self.unplaced = [view for view, _ in plan.unplaced]

    async def run(self, is_leader: Callable[[], bool]) -> None:
        """Offer jobs to other cells until cancelled."""
        while True:
            await asyncio.sleep(constants.TICK_S)
            if is_leader():
                self._offer_jobs()

    def _offer_jobs(self) -> None:
        views = self.policy.candidates(self.unplaced, self.cluster.jobs)
        now = self.clock()
        if not any(cell.rows(now) for cell in self.cells.values()):
            for view in views:
                self.policy.note_no_capacity(view.spec, now)
            return
        views = [view for view in views if self._may_offer(view.spec)]

        @cache
        def machines() -> tuple[list[MachineView], list[tuple[float, MachineView]]]:
            return self.capacity.free_machines(), self.capacity.starting_machines()

        def estimate_wait_s(spec: JobSpec) -> float:
            return expected_wait_s(spec, *machines())

        cells = list(self.cells.values())
        while views and self._offers_in_progress < constants.CELL_MAX_OFFERS:
            chosen = self.policy.choose(views, cells, estimate_wait_s, now, self.wall())
            if chosen is None:
                return
            view, cell = chosen
            views.remove(view)
            job = self.cluster.jobs[view.spec.id]
            self._offers_in_progress += 1
            self._background.spawn(self._offer(job, self.cells[cell.name]))

    def _may_offer(self, spec: JobSpec) -> bool:
        """Whether no task of the job has started, and its team's quota allows all of its tasks."""
        job = self.cluster.jobs.get(spec.id)
        if job is None or job.on_hold or job.attempts or len(job.done):
            return False
        teams = {team.name: team for team in self.params.teams}
        quotas = TeamQuotas(teams, self.cluster.usage)
        return job.phase is JobPhase.ACTIVE and quotas.allowance_for(spec, spec.tasks) == spec.tasks

    async def _offer(self, job: Job, cell: CellClient) -> None:
        try:
            async with self.capacity.decision_lock:
                # A handoff that begins during a scheduling round would change the quotas that the
                # round decides by.
                if not self._may_offer(job.spec):
                    return
                handoff = self.home.begin(job, cell.name)
            reason = await self.home.offer_and_grant(handoff, cell)
        finally:
            self._offers_in_progress -= 1
        if reason is not None:
            log.info("job %s: not handed off to cell %s: %s", job.spec.id, cell.name, reason)
        self.policy.note_outcome(job.spec.id, cell.name, reason is None, self.clock())

    def close(self) -> None:
        """Cancel the offers in progress at the end of the term."""
        self._background.close()
