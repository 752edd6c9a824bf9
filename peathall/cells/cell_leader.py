"""Wires this package's parts together for one leader term."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Iterator
from http import HTTPStatus
from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.cells.borrower import BorrowedJobs, TaskStopper
from peathall.cells.client import CellClient
from peathall.cells.errors import CellError
from peathall.cells.handoff_scheduler import HandoffScheduler, MachineCapacity
from peathall.cells.heartbeats import CapacitySummary, HeartbeatSender
from peathall.cells.home import HomeHandoffs
from peathall.cells.model import HANDOFF, UserRequest
from peathall.cells.requests import CellRequestHandler, CellResponse
from peathall.cells.settings import CellSettings
from peathall.cells.status import CellsStatus, CellStatus, HandoffStatus
from peathall.cluster.state import ClusterState
from peathall.config.modes import Mode
from peathall.config.platform import Params
from peathall.jobs.jobs import Jobs
from peathall.jobs.records import BORROWED_PREFIX
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.leadership.records import TERM_KEY, TermRecord
from peathall.placement.plan import Plan
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.state_service import KeyValue, Put
from peathall.store.client import StoreClient
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")


class CellRecords(Struct, frozen=True):
    """The records that a new leader reads."""

    handoffs: list[KeyValue]
    borrowed: list[KeyValue]


class CellEnvironment(Struct, frozen=True):
    """What the controller and the leader term provide to this component."""

    wall: Callable[[], float]  # time of day
    is_leader: Callable[[], bool]  # whether the leader may act now
    may_send: Callable[[], bool]  # whether the leader lease is valid, also during recovery
    rng: random.Random


class CellLeader:
    """Both sides of handoffs, heartbeats, offers, and users' requests for borrowed jobs."""

    def __init__(
        self,
        settings: CellSettings,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        jobs: Jobs,
        capacity: MachineCapacity,
        tasks: TaskStopper,
        environment: CellEnvironment,
    ) -> None:
        clock = self.clock = asyncio.get_running_loop().time
        is_leader, rng = environment.is_leader, environment.rng
        self.settings = settings
        self.cluster = cluster
        self.writer = writer
        self.jobs = jobs
        self.is_leader = is_leader
        # Requests for leases are sent during recovery, so they only need a valid leader lease.
        self.cells = {
            neighbour.name: CellClient(neighbour, environment.may_send, clock)
            for neighbour in settings.neighbour
        }
        workers = params.workers
        self.home = HomeHandoffs(
            settings.name, settings.lease_s, workers.cancel_s, cluster, writer, jobs, clock
        )
        self.borrower = BorrowedJobs(
            cluster, params, writer, capacity, tasks, clock, self._request_heartbeat, jobs.knows
        )
        summary = CapacitySummary(settings.mode, cluster, capacity, clock)
        self.sender = HeartbeatSender(
            settings, cluster.term, workers.lease_expiry_s, self.borrower, summary, clock, rng
        )
        self.requests = CellRequestHandler(
            settings, self.cells, self.home, self.borrower, self.sender, jobs, is_leader, clock
        )
        self.handoff_scheduler = HandoffScheduler(
            cluster, params, self.cells, self.home, capacity, clock, environment.wall, rng
        )

    def _request_heartbeat(self, cell: str) -> None:
        self.sender.request_heartbeat(cell)

    # --- life cycle ----------------------------------------------------------
    @staticmethod
    async def read_records(store: StoreClient) -> CellRecords:
        """Read all records of handoffs and borrowed jobs; StoreError if they can't be read."""
        handoffs, _ = await store.scan(HANDOFF)
        borrowed, _ = await store.scan(BORROWED_PREFIX)
        return CellRecords(handoffs, borrowed)

    def load(self, records: CellRecords) -> None:
        """Recover borrowed jobs after failover, before the records of final statuses and rounds."""
        self.borrower.load(records.borrowed, self.clock())

    def load_handoffs(self, records: CellRecords) -> None:
        """Recover handoffs after failover, after the records of jobs."""
        self.home.load(records.handoffs, self.clock())

    async def request_leases(self) -> None:
        """Request the leases on all borrowed jobs once, before this leader serves requests."""
        homes = [name for name in self.borrower.counts_by_home() if name in self.cells]
        if homes:
            requests = [asyncio.ensure_future(self.sender.send(self.cells[name])) for name in homes]
            _, late = await asyncio.wait(requests, timeout=constants.CELL_LEASE_REQUEST_TIMEOUT_S)
            for request in late:
                request.cancel()
        self.borrower.stop_without_lease(self.clock())

    def loops(self) -> Iterator[Coroutine[Any, Any, None]]:
        """Coroutines that run until the end of the term."""
        for cell in self.cells.values():
            yield self.sender.run(cell, self.is_leader)
        yield self.handoff_scheduler.run(self._may_offer)
        if self.settings.mode is Mode.RETIRING:
            yield self._retire()

    def _may_offer(self) -> bool:
        return self.is_leader() and self.settings.mode is Mode.ON

    def tick(self, now: float) -> None:
        """Handle expired leases and reservations. Called once a second."""
        self.home.tick(now)
        self.borrower.tick(now)

    def close(self) -> None:
        """Cancel background work and close connections at the end of the term."""
        self.handoff_scheduler.close()
        self.home.close()
        self.borrower.close()
        for cell in self.cells.values():
            cell.close()

    async def _retire(self) -> None:
        """Wait until no handoff is left, then store in the term record that cells are off."""
        while self.home.handoffs or self.borrower.borrowed or not self.is_leader():
            await asyncio.sleep(constants.TICK_S)
        await self.writer.submit([Put(TERM_KEY, struct_to_builtins(TermRecord(self.cluster.term)))])
        log.info("no handoff is left, cells are off: restart all controllers without `cells`")
        await asyncio.Event().wait()

    # --- requests ------------------------------------------------------------
    async def serve(self, path: str, raw: bytes) -> CellResponse:
        """Return the response to a request of another cell."""
        return await self.requests.serve(path, raw)

    @staticmethod
    def accept_conditions(job_id: str) -> dict[str, int]:
        """Conditions of the commit that accepts a job with this id: the job is not borrowed."""
        return {BORROWED_PREFIX + job_id: 0}

    def home_of(self, job_id: str) -> str | None:
        """The home cell of the job if it is borrowed, else None."""
        borrowed = self.borrower.borrowed.get(job_id)
        return borrowed.home if borrowed is not None else None

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """Pass a user's request on to the job's home cell. RETRY_LATER if that does not respond or
        is no neighbour."""
        cell = self.cells.get(self.home_of(job_id) or "")
        if cell is None:
            return RETRY_LATER
        try:
            response = await cell.user_request(
                UserRequest(self.settings.name, cell.name, operation, job_id)
            )
        except CellError as exc:
            log.debug("job %s: cannot pass the user's request on to the home cell: %s", job_id, exc)
            return RETRY_LATER
        # The home cell has accepted a job that is borrowed, so other statuses are transient errors.
        if response.status != HTTPStatus.OK:
            return RETRY_LATER
        return JobResponse(response.status, response.value)

    def note_unplaced(self, plan: Plan) -> None:
        """Note the jobs for which a scheduling round found no capacity: they may be handed off."""
        self.handoff_scheduler.note_unplaced(plan)

    # --- operators -----------------------------------------------------------
    def status(self, answered_by: str) -> CellsStatus:
        """The status for `peathall cells`; `answered_by` is this controller."""
        now = self.clock()
        waiting = self.handoff_scheduler.policy.waiting_jobs.items()
        return CellsStatus(
            self.settings.name,
            answered_by,
            [self._cell_status(cell, now) for cell in self.cells.values()],
            self._lent(now),
            self._borrowed(now),
            {job: waiting_job.reason for job, waiting_job in waiting if waiting_job.reason},
        )

    @staticmethod
    def _cell_status(cell: CellClient, now: float) -> CellStatus:
        last = cell.last_response_at
        free = sum(row.machines for row in cell.rows(now))
        return CellStatus(cell.name, None if last is None else now - last, free)

    def _lent(self, now: float) -> list[HandoffStatus]:
        return [
            HandoffStatus(
                handoff.job.spec.id,
                handoff.cell,
                handoff.phase.value,
                None if handoff.lease is None else max(0.0, handoff.lease.expires_at - now),
            )
            for handoff in self.home.handoffs.values()
        ]

    def _borrowed(self, now: float) -> list[HandoffStatus]:
        return [
            HandoffStatus(
                borrowed.spec.id,
                borrowed.home,
                borrowed.phase.value,
                None if borrowed.lease is None else max(0.0, borrowed.lease.until - now),
            )
            for borrowed in self.borrower.borrowed.values()
        ]
