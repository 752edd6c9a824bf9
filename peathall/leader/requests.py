"""Requests of users and workers to the leader, each answered within a time limit."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable

from peathall import constants
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.leader.phase import LeaderPhase, TermState
from peathall.leader.wiring import LeaderSlices
from peathall.protocol.heartbeats import Heartbeat
from peathall.protocol.jobs import JobSpec
from peathall.store.phase import WriterPhase
from peathall.workers.heartbeats import REFUSED, HeartbeatResponse

log = logging.getLogger("peathall.leader")

# What a user may ask of a job that another cell answers for.
QUERY, CANCEL = "query", "cancel"


class LeaderRequests:
    """Answers requests while the leader may act, and tells the others to retry later."""

    def __init__(self, slices: LeaderSlices, state: TermState) -> None:
        self._state = state
        self._is_active = state.is_active
        self._cells = slices.cells
        self._jobs = slices.jobs
        self._workers = slices.workers
        self._writer = slices.writer
        self._loop = asyncio.get_running_loop()
        self._pending: set[asyncio.Task[JobResponse]] = set()

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """The response to a worker.

        A heartbeat that arrives during recovery waits for its end, up to HEARTBEAT_HOLD_S. REFUSED
        if that is too short, or if the leader may not act.
        """
        if self._state.phase is LeaderPhase.RECOVERING:
            try:
                await asyncio.wait_for(self._state.serving.wait(), constants.HEARTBEAT_HOLD_S)
            except TimeoutError:
                return REFUSED
        if not self._is_active():
            return REFUSED
        self._cells.borrower.stop_expired(self._loop.time())
        return self._workers.handle_heartbeat(heartbeat, self._loop.time())

    async def accept(self, spec: JobSpec) -> JobResponse:
        """A submission."""
        if self._cannot_write():
            return RETRY_LATER
        if self._cells.home_of(spec.id):
            # A borrowed job has been accepted already, by its home.
            return await self._cells.ask_home(QUERY, spec.id)
        return await self._within(self._jobs.accept(spec), constants.ACCEPT_TIMEOUT_S)

    async def query(self, job_id: str) -> JobResponse:
        """A query of a job's status."""
        if not self._is_active():
            return RETRY_LATER
        if self._cells.home_of(job_id):
            return await self._cells.ask_home(QUERY, job_id)
        cached_response = self._jobs.cached_response(job_id)
        if cached_response is not None:
            return cached_response
        return await self._within(self._jobs.query(job_id), constants.FORWARD_TIMEOUT_S)

    async def cancel(self, job_id: str) -> JobResponse:
        """A cancellation."""
        if self._cannot_write():
            return RETRY_LATER
        if self._cells.home_of(job_id):
            return await self._cells.ask_home(CANCEL, job_id)
        return await self._within(self._jobs.cancel(job_id), constants.ACCEPT_TIMEOUT_S)

    def close(self) -> None:
        """The term is over: cancel the requests that are still being carried out."""
        for request in self._pending:
            request.cancel()

    def _cannot_write(self) -> bool:
        return not self._is_active() or self._writer.phase is WriterPhase.OUTCOME_UNKNOWN

    async def _within(self, work: Awaitable[JobResponse], limit_s: float) -> JobResponse:
        """The response to the request, or RETRY_LATER after the time limit.

        The request is carried out to its end also after the limit, so that memory and the state
        service agree.
        """
        task = asyncio.ensure_future(work)
        self._pending.add(task)
        task.add_done_callback(self._discard)
        done, _ = await asyncio.wait([task], timeout=limit_s)
        if not done or task.cancelled() or task.exception() is not None or not self._is_active():
            return RETRY_LATER
        return task.result()

    def _discard(self, task: asyncio.Task[JobResponse]) -> None:
        self._pending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.info("leader: request failed: %r", task.exception())
