"""The cells as one leader deals with them, for one term: wiring of this package's parts."""

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
from peathall.cells.heartbeats import CapacitySummary, HeartbeatSender
from peathall.cells.home import HomeHandoffs
from peathall.cells.model import HANDOFF, UserRequest
from peathall.cells.requests import CellRequestHandler, CellResponse
from peathall.cells.settings import CellSettings
from peathall.cells.spilling import MachineCapacity, Spiller
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
    """What the controller and the leader's term give to the cells."""

    wall: Callable[[], float]  # time of day
    is_leader: Callable[[], bool]  # whether the leader may act now
    may_send: Callable[[], bool]  # whether the leader lease is valid, also during recovery
    rng: random.Random


class CellLeader:
    """Both sides of handoffs, heartbeats, offers, and what users of borrowed jobs get."""

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
        # Leases are requested before this leader serves: a valid leader lease suffices for that.
        self.cells = {
            neighbour.name: CellClient(neighbour, environment.may_send, clock)
            for neighbour in settings.neighbour
        }
        workers = params.workers
        self.home = HomeHandoffs(
            settings.name, settings.lease_s, workers.cancel_s, cluster, writer, jobs, clock
        )
        self.borrower = BorrowedJobs(
            cluster, params, writer, capacity, tasks, clock, self._wake, jobs.knows
        )
        summary = CapacitySummary(settings.mode, cluster, capacity, clock)
        self.sender = HeartbeatSender(
            settings, cluster.term, workers.lease_expiry_s, self.borrower, summary, clock, rng
        )
        self.requests = CellRequestHandler(
            settings, self.cells, self.home, self.borrower, self.sender, jobs, is_leader, clock
        )
        self.spiller = Spiller(
            cluster, params, self.cells, self.home, capacity, clock, environment.wall, rng
        )

    def _wake(self, cell: str) -> None:
        self.sender.wake(cell)

    # --- life cycle ----------------------------------------------------------
    @staticmethod
    async def read_records(store: StoreClient) -> CellRecords:
        """All records of handoffs; StoreError if they can't be read."""
        handoffs, _ = await store.scan(HANDOFF)
        borrowed, _ = await store.scan(BORROWED_PREFIX)
        return CellRecords(handoffs, borrowed)

    def load(self, records: CellRecords) -> None:
        """Recover borrowed jobs after failover, before final statuses and rounds are read."""
        self.borrower.load(records.borrowed, self.clock())

    def load_handoffs(self, records: CellRecords) -> None:
        """Recover handoffs after failover, after the records of jobs were read."""
        self.home.load(records.handoffs, self.clock())

    async def request_leases(self) -> None:
        """Before this leader serves: request the leases on what is borrowed, once."""
        homes = [name for name in self.borrower.counts() if name in self.cells]
        if homes:
            requests = [asyncio.ensure_future(self.sender.send(self.cells[name])) for name in homes]
            _, late = await asyncio.wait(requests, timeout=constants.CELL_LEASE_REQUEST_S)
            for request in late:
                request.cancel()
        self.borrower.hold_unconfirmed(self.clock())

    def loops(self) -> Iterator[Coroutine[Any, Any, None]]:
        """What runs for as long as the term does."""
        for cell in self.cells.values():
            yield self.sender.run(cell, self.is_leader)
        yield self.spiller.run(self._may_spill)
        if self.settings.mode is Mode.RETIRING:
            yield self._retire()

    def _may_spill(self) -> bool:
        return self.is_leader() and self.settings.mode is Mode.ON

    def tick(self, now: float) -> None:
        """Once a second: leases and reservations."""
        self.home.tick(now)
        self.borrower.tick(now)

    def close(self) -> None:
        """The term is over."""
        self.spiller.close()
        self.home.close()
        self.borrower.close()
        for cell in self.cells.values():
            cell.close()

    async def _retire(self) -> None:
        """Once no handoff is left, the feature is off: record that beside the term."""
        while self.home.handoffs or self.borrower.borrowed or not self.is_leader():
            await asyncio.sleep(constants.TICK_S)
        await self.writer.submit([Put(TERM_KEY, struct_to_builtins(TermRecord(self.cluster.term)))])
        log.info("cells are off: restart all controllers without the section")
        await asyncio.Event().wait()

    # --- requests ------------------------------------------------------------
    async def serve(self, path: str, raw: bytes) -> CellResponse:
        """The response to a request of another cell."""
        return await self.requests.serve(path, raw)

    @staticmethod
    def accept_conditions(job_id: str) -> dict[str, int]:
        """Conditions on which a job of that name may be accepted: it is not borrowed."""
        return {BORROWED_PREFIX + job_id: 0}

    def home_of(self, job_id: str) -> str | None:
        """The cell that answers for the job, if it is borrowed."""
        borrowed = self.borrower.borrowed.get(job_id)
        return borrowed.home if borrowed is not None else None

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """The home's response to a user; RETRY_LATER if there is none, or no such neighbour."""
        cell = self.cells.get(self.home_of(job_id) or "")
        if cell is None:
            return RETRY_LATER
        try:
            response = await cell.user_request(
                UserRequest(self.settings.name, cell.name, operation, job_id)
            )
        except CellError as exc:
            log.debug("job %s: its home does not answer: %s", job_id, exc)
            return RETRY_LATER
        # It is borrowed, so its home has accepted it: another status is no answer.
        if response.status != HTTPStatus.OK:
            return RETRY_LATER
        return JobResponse(response.status, response.value)

    def note_unplaced(self, plan: Plan) -> None:
        """A round has found no capacity for these jobs: they may be handed off."""
        self.spiller.note_unplaced(plan)

    # --- operators -----------------------------------------------------------
    def status(self, answered_by: str) -> CellsStatus:
        """What `peathall cells` tells operators; `answered_by` is this controller."""
        now = self.clock()
        waiting = self.spiller.rule.waiting.items()
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
                None if handoff.lease is None else max(0.0, handoff.lease.expired_at - now),
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
