"""Constructs the components of a leader around one ClusterState and connects them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from peathall import constants
from peathall.autoscaling.autoscaler import Autoscaler
from peathall.cells.disabled import NoCells
from peathall.cluster.state import ClusterState
from peathall.duties.disabled import NoDuties
from peathall.duties.term import TermDuties
from peathall.jobs.jobs import Jobs
from peathall.leader.context import ControllerContext
from peathall.leader.events import ComponentEvents
from peathall.leader.features import LeaderCells, LeaderDuties
from peathall.leader.phase import TermState
from peathall.leadership.lease import first_number_of_term
from peathall.leadership.records import TERM_KEY
from peathall.leadership.term import LeaderTerm
from peathall.placement.placement import Placement
from peathall.store.writer import Writer
from peathall.workers.delivery import DeliveryLimits
from peathall.workers.failing_jobs import FailingJobsRecord
from peathall.workers.image_cache import ImageCacheRecords
from peathall.workers.workers import Workers

if TYPE_CHECKING:
    from peathall.cells.cell_leader import CellLeader


class LeaderComponents:
    """The components of one term, constructed in the order of their dependencies."""

    def __init__(
        self, leader_term: LeaderTerm, context: ControllerContext, state: TermState
    ) -> None:
        self._context = context
        self._params = context.settings.params
        self._state = state
        self.events = ComponentEvents(self, state)
        self.cluster = ClusterState(
            leader_term.term, first_number_of_term(leader_term.term), self.events
        )
        self.writer = self._make_writer(leader_term)
        self.duties = self._make_duties(leader_term)
        self.workers = self._make_workers()
        self.image_caches = ImageCacheRecords(self.cluster, self.writer)
        self.failing_jobs = FailingJobsRecord(self.cluster, self.workers.faults, self.writer)
        self.jobs = self._make_jobs()
        self.autoscaler = self._make_autoscaler()
        self.placement = self._make_placement()
        self.cell_leader = self._make_cell_leader()
        self.cells: LeaderCells = self.cell_leader or NoCells()

    def _make_writer(self, leader_term: LeaderTerm) -> Writer:
        leadership = self._context.leadership
        writer = Writer(
            store=self._context.store,
            limits=self._params.state,
            guard=leader_term.record,
            lease_is_valid=leadership.is_leader,
            on_leadership_lost=leadership.step_down,
            # Records of handoffs are deleted within seconds: a transaction that the state service
            # commits late must not create one again.
            fence_unknown_outcomes=self._context.operator.cells is not None,
        )
        # The campaign wrote both keys in one transaction, so they have the same version.
        writer.versions[TERM_KEY] = leader_term.record.version
        return writer

    def _make_duties(self, leader_term: LeaderTerm) -> LeaderDuties:
        duties = self._context.duties
        if duties is None or not leader_term.delegates:
            return NoDuties()
        return TermDuties(duties, leader_term.term, self.writer)

    def _make_workers(self) -> Workers:
        limits = self._params.machine_limits
        return Workers(
            cluster=self.cluster,
            settings=self._params.workers,
            now=asyncio.get_running_loop().time(),
            is_leader=self._state.is_active,
            listener=self.events,
            limits=DeliveryLimits(
                connections=max(1, int(limits.fd_limit * constants.DIRECT_COMMAND_SOCKET_SHARE)),
                deferrable_per_s=constants.DEFERRABLE_COMMANDS_PER_S * min(1.0, limits.cpu_share),
            ),
            heartbeats_elsewhere=self._context.heartbeats_elsewhere,
        )

    def _make_jobs(self) -> Jobs:
        return Jobs(
            cluster=self.cluster,
            params=self._params,
            store=self._context.store,
            writer=self.writer,
            listener=self.events,
            wall=self._context.wall,
            cleanup=self.duties.cleanup,
            remote=self.events,
        )

    def _make_autoscaler(self) -> Autoscaler:
        return Autoscaler(
            cluster=self.cluster,
            params=self._params,
            cloud=self._context.cloud,
            writer=self.writer,
            workers=self.workers,
            leader=self.events,
            idle_hold_s=self._context.operator.idle_hold_s,
            delegated=self.duties.cloud,
        )

    def _make_placement(self) -> Placement:
        return Placement(
            cluster=self.cluster,
            params=self._params,
            writer=self.writer,
            workers=self.workers,
            wall=self._context.wall,
            is_leader=self._state.is_active,
            demand=[self.autoscaler, self.events],
            compaction_writer=self.duties.compaction,
        )

    def _make_cell_leader(self) -> CellLeader | None:
        """None if cells are not enabled."""
        settings = self._context.operator.cells
        if settings is None:
            return None
        # Imported only if cells are enabled, to save memory in other controllers.
        from peathall.cells.cell_leader import CellEnvironment, CellLeader

        return CellLeader(
            settings=settings,
            cluster=self.cluster,
            params=self._params,
            writer=self.writer,
            jobs=self.jobs,
            capacity=self.placement,
            tasks=self.events,
            environment=CellEnvironment(
                wall=self._context.wall,
                is_leader=self._state.is_active,
                may_send=self._state.lease_is_valid,
                rng=self._context.rng,
            ),
        )
