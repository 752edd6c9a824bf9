"""One term of a leader: recovery, serving, and cleanup at its end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Coroutine, Iterator
from typing import TYPE_CHECKING, Any

from peathall import constants
from peathall.async_tasks import end_tasks
from peathall.autoscaling.autoscaler import Autoscaler
from peathall.cluster.state import ClusterState
from peathall.jobs.jobs import Jobs
from peathall.jobs.responses import JobResponse
from peathall.leader.context import ControllerContext
from peathall.leader.features import LeaderDuties
from peathall.leader.phase import LeaderPhase, TermState
from peathall.leader.recovery import Recovery
from peathall.leader.requests import LeaderRequests
from peathall.leader.wiring import LeaderComponents
from peathall.leadership.term import LeaderTerm
from peathall.placement.placement import Placement
from peathall.protocol.heartbeats import Heartbeat
from peathall.protocol.jobs import JobSpec
from peathall.store.writer import Writer
from peathall.workers.heartbeats import HeartbeatResponse
from peathall.workers.workers import Workers

if TYPE_CHECKING:
    from peathall.cells.cell_leader import CellLeader

log = logging.getLogger("peathall.leader")


class Leader:
    """Everything that a controller does only while it leads; one instance for each term."""

    def __init__(self, leader_term: LeaderTerm, context: ControllerContext) -> None:
        self._state = TermState(context.leadership.is_leader)
        self._components = components = LeaderComponents(leader_term, context, self._state)
        self._recovery = Recovery(context.store, components)
        self._requests = LeaderRequests(components, self._state)
        self._loop = asyncio.get_running_loop()
        self.cluster: ClusterState = components.cluster
        self.writer: Writer = components.writer
        self.workers: Workers = components.workers
        self.jobs: Jobs = components.jobs
        self.autoscaler: Autoscaler = components.autoscaler
        self.placement: Placement = components.placement
        self.cells: CellLeader | None = components.cell_leader  # None: cells are not enabled
        self.duties: LeaderDuties = components.duties

    @property
    def phase(self) -> LeaderPhase:
        """The phase of the term."""
        return self._state.phase

    def is_active(self) -> bool:
        """Whether commands and responses may be sent now."""
        return self._state.is_active()

    # --- requests ------------------------------------------------------------
    def handle_heartbeat(self, heartbeat: Heartbeat) -> Awaitable[HeartbeatResponse]:
        """The response to a worker."""
        return self._requests.handle_heartbeat(heartbeat)

    def accept(self, spec: JobSpec) -> Awaitable[JobResponse]:
        """The response to a submission."""
        return self._requests.accept(spec)

    def query(self, job_id: str) -> Awaitable[JobResponse]:
        """The response to a query of a job's status."""
        return self._requests.query(job_id)

    def cancel(self, job_id: str) -> Awaitable[JobResponse]:
        """The response to a cancellation."""
        return self._requests.cancel(job_id)

    # --- the term ------------------------------------------------------------
    async def run(self) -> None:
        """Recover, then serve until a background task ends or fails, or until cancelled."""
        tasks = [asyncio.create_task(self.writer.run())]
        try:
            await self._recovery.run()
            await self._components.cells.request_leases()
            self._begin_serving()
            for loop in self._loops():
                tasks.append(asyncio.create_task(loop))
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if not task.cancelled():
                    task.result()  # raises the exception of a failed task
        finally:
            await self._end(tasks)

    def _begin_serving(self) -> None:
        self._state.enter(LeaderPhase.SERVING)
        self.jobs.resume_unfinished()
        self._state.serving.set()
        log.info(
            "leader: serving term %d: %d jobs, %d machines recovered",
            self.cluster.term,
            len(self.cluster.jobs),
            len(self.cluster.machines),
        )

    def _loops(self) -> Iterator[Coroutine[Any, Any, None]]:
        """Coroutines that run while the leader serves; none of them returns."""
        yield self.jobs.watch_external_jobs()
        yield self.placement.run()
        yield self.autoscaler.run()
        yield self._tick()
        yield from self.duties.loops(on_retired=self.autoscaler.act_directly)
        yield from self._components.cells.loops()

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        self._state.enter(LeaderPhase.OVER)
        self.writer.stop()
        self._components.cells.close()
        self.jobs.close()
        self.workers.close()
        self._requests.close()
        await end_tasks(tasks, f"leader: term {self.cluster.term}")

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(constants.TICK_S)
            if self.is_active():
                self._check_all()

    def _check_all(self) -> None:
        """Check leases, machines, records and jobs; called every TICK_S."""
        components = self._components
        components.cells.tick(self._loop.time())
        self.workers.tick(self._loop.time())
        self.placement.rounds.compact(self._loop.time())
        if self._loop.time() - self.workers.failover_at > constants.FORGET_IMAGE_CACHES_S:
            components.image_caches.forget_unknown()
        for job in list(self.cluster.jobs.values()):
            self.jobs.retry_finalization(job)
