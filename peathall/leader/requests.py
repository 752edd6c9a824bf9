"""Handles the requests of users and workers to the leader, each within a time limit."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable

from peathall import constants
from peathall.async_tasks import wait_until_set
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.leader.phase import LeaderPhase, TermState
from peathall.leader.wiring import LeaderComponents
from peathall.protocol.heartbeats import Heartbeat
from peathall.protocol.jobs import JobSpec
from peathall.store.phase import WriterPhase
from peathall.workers.heartbeats import REFUSED, HeartbeatResponse

log = logging.getLogger("peathall.leader")

# Operations on a borrowed job that are passed on to its home cell.
QUERY, CANCEL = "query", "cancel"


class LeaderRequests:
    """Answers requests while the leader may act; otherwise tells the clients to retry later."""

    def __init__(self, components: LeaderComponents, state: TermState) -> None:
        self._state = state
        self._is_active = state.is_active
        self._cells = components.cells
        self._jobs = components.jobs
        self._workers = components.workers
        self._writer = components.writer
        self._loop = asyncio.get_running_loop()
        self._pending: set[asyncio.Task[JobResponse]] = set()

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """The response to a worker.

        During recovery, a heartbeat waits for up to HEARTBEAT_HOLD_S. REFUSED if recovery takes
        longer, or if the leader may not act.
        """
        if self._state.phase is LeaderPhase.RECOVERING:
            await wait_until_set(self._state.serving, constants.HEARTBEAT_HOLD_S)
        if not self._is_active():
            return REFUSED
        self._cells.borrower.stop_expired(self._loop.time())
        return self._workers.handle_heartbeat(heartbeat, self._loop.time())

    async def accept(self, spec: JobSpec) -> JobResponse:
        """The response to a submission."""
        if self._cannot_write():
            return RETRY_LATER
        if self._cells.home_of(spec.id):
            # A borrowed job has already been accepted by its home cell.
            return await self._cells.ask_home(QUERY, spec.id)
        return await self._with_time_limit(self._jobs.accept(spec), constants.ACCEPT_TIMEOUT_S)

    async def query(self, job_id: str) -> JobResponse:
        """The response to a query of a job's status."""
        if not self._is_active():
            return RETRY_LATER
        if self._cells.home_of(job_id):
            return await self._cells.ask_home(QUERY, job_id)
        cached_response = self._jobs.cached_response(job_id)
        if cached_response is not None:
            return cached_response
        return await self._with_time_limit(self._jobs.query(job_id), constants.FORWARD_TIMEOUT_S)

    async def cancel(self, job_id: str) -> JobResponse:
        """The response to a cancellation."""
        if self._cannot_write():
            return RETRY_LATER
        if self._cells.home_of(job_id):
            return await self._cells.ask_home(CANCEL, job_id)
        return await self._with_time_limit(self._jobs.cancel(job_id), constants.ACCEPT_TIMEOUT_S)

    def close(self) -> None:
        """Cancel the requests in progress, since the term has ended."""
        for request in self._pending:
            request.cancel()

    def _cannot_write(self) -> bool:
        return not self._is_active() or self._writer.phase is WriterPhase.OUTCOME_UNKNOWN

    async def _with_time_limit(self, work: Awaitable[JobResponse], limit_s: float) -> JobResponse:
        """The response to the request, or RETRY_LATER after the time limit.

        The request continues after the limit, so that memory stays consistent with the state
        service.
        """
        task = asyncio.ensure_future(work)
        self._pending.add(task)
        task.add_done_callback(self._finish_pending)
        done, _ = await asyncio.wait([task], timeout=limit_s)
        if not done or task.cancelled() or task.exception() is not None or not self._is_active():
            return RETRY_LATER
        return task.result()

    def _finish_pending(self, task: asyncio.Task[JobResponse]) -> None:
        self._pending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.info(
                "leader: request of a user failed, answered with 'retry later': %r",
                task.exception(),
            )
