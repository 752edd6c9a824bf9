"""A leader's part in cells, for one term: offers, heartbeats, and what other cells ask."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass
from functools import cache
from typing import Any, Protocol

import msgspec
import orjson
from msgspec import Struct

from peathall import constants
from peathall.cells.borrower import BorrowedJobs, CapacityKeeper, ReplacedError, TaskStopper
from peathall.cells.client import HEARTBEAT, OFFER, USER, CellClient
from peathall.cells.home import CellError, HomeHandoffs
from peathall.cells.model import (
    BORROWED,
    HANDOFF,
    Heartbeat,
    HeartbeatAnswer,
    Offer,
    OfferAnswer,
    RoomRow,
    UserAnswer,
    UserRequest,
    to_value,
)
from peathall.cells.room import summarize
from peathall.cells.settings import CellSettings
from peathall.cells.spill import SpillRule, expected_wait_s
from peathall.cells.status import CellsStatus, CellStatus, HandoffStatus
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.modes import Mode
from peathall.config.platform import Params
from peathall.jobs.background import BackgroundTasks
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.jobs.service import Jobs
from peathall.leadership.election import TERM_KEY, TermRecord
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import JobView, MachineView, Plan
from peathall.protocol.jobs import JobSpec
from peathall.store.client import KeyValue, Put, StoreClient
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")

HttpAnswer = tuple[int, Any]
Message = Offer | Heartbeat | UserRequest
NOT_LEADING: HttpAnswer = (503, {"error": "not entitled now"})


class MachineCapacity(CapacityKeeper, Protocol):
    """Room on this cell's machines."""

    decision_lock: asyncio.Lock  # held by a round while it decides and books

    def free_machines(self) -> list[MachineView]:
        """Machines that take new work, with their free room."""

    def starting_machines(self) -> list[tuple[float, MachineView]]:
        """Machines on their way, and in how many seconds they should be up."""


@dataclass(frozen=True, slots=True)
class CellRecords:
    """What a new leader reads."""

    handoffs: list[KeyValue]
    borrowed: list[KeyValue]


class CellLeader:
    """The cells as one leader deals with them."""

    def __init__(
        self,
        own: CellSettings,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        jobs: Jobs,
        room: MachineCapacity,
        tasks: TaskStopper,
        wall: Callable[[], float],
        is_leader: Callable[[], bool],
        may_send: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.clock = loop.time
        self.own = own
        self.cluster = cluster
        self.params = params
        self.writer = writer
        self.jobs = jobs
        self.room = room
        self.wall = wall
        self.is_leader = is_leader
        self.rng = rng
        # Leases are asked for before we act: whoever holds the lead may do that.
        self.cells = {n.name: CellClient(n, may_send, loop.time) for n in own.neighbour}
        self.news = {name: asyncio.Event() for name in self.cells}
        self.home = HomeHandoffs(
            own.name, own.lease_s, params.workers.cancel_s, cluster, writer, jobs, loop.time
        )
        self.borrower = BorrowedJobs(
            cluster, params, writer, room, tasks, loop.time, self._wake, jobs.knows
        )
        self.spill = SpillRule(params.objectives, rng)
        self.background = BackgroundTasks()
        self.offering = 0
        self.unplaced: list[JobView] = []
        self.sequence = 0
        self._rows: list[RoomRow] = []
        self._summary_until = 0.0
        self.heard: dict[str, tuple[int, int]] = {}  # cell -> order of its latest heartbeat

    def _wake(self, cell: str) -> None:
        if cell in self.news:
            self.news[cell].set()

    # --- life ----------------------------------------------------------------
    @staticmethod
    async def read_records(store: StoreClient) -> CellRecords:
        """All records of handoffs; StoreError if they can't be read."""
        handoffs, _ = await store.scan(HANDOFF)
        borrowed, _ = await store.scan(BORROWED)
        return CellRecords(handoffs, borrowed)

    def load(self, records: CellRecords) -> None:
        """After a take-over, before the records of jobs' ends and of rounds."""
        self.borrower.load(records.borrowed, self.clock())

    def load_handoffs(self, records: CellRecords) -> None:
        """After the records of jobs."""
        self.home.load(records.handoffs, self.clock())

    async def take_over(self) -> None:
        """Before anything is answered: ask for the leases on what is borrowed, once."""
        homes = [name for name in self.borrower.counts() if name in self.cells]
        if homes:
            asked = [asyncio.ensure_future(self._beat(self.cells[name])) for name in homes]
            _, late = await asyncio.wait(asked, timeout=constants.CELL_TAKEOVER_S)
            for request in late:
                request.cancel()
        self.borrower.hold_unconfirmed(self.clock())

    def loops(self) -> Iterator[Coroutine[Any, Any, None]]:
        """What runs for as long as the term does."""
        for cell in self.cells.values():
            yield self._beat_on(cell)
        yield self._spill_on()
        if self.own.mode is Mode.RETIRING:
            yield self._retire()

    def tick(self, now: float) -> None:
        """Every second: leases and reservations."""
        self.home.tick(now)
        self.borrower.tick(now)

    def close(self) -> None:
        """The term is over."""
        self.background.close()
        self.home.close()
        self.borrower.close()
        for cell in self.cells.values():
            cell.close()

    # --- heartbeats ----------------------------------------------------------
    async def _beat_on(self, cell: CellClient) -> None:
        while True:
            await self._until_due(cell)
            if self.is_leader():
                await self._beat(cell)

    async def _until_due(self, cell: CellClient) -> None:
        """Soon after news, and soon again while a reservation waits for its grant."""
        news = self.news[cell.name]
        pending = self.borrower.pending(cell.name)
        pause = constants.CELL_SOON_S if pending else constants.CELL_HEARTBEAT_S
        try:
            await asyncio.wait_for(news.wait(), pause * (0.9 + 0.2 * self.rng.random()))
            await asyncio.sleep(constants.CELL_SOON_S)
        except TimeoutError:
            pass
        news.clear()

    async def _beat(self, cell: CellClient) -> None:
        self.sequence += 1
        beat = Heartbeat(
            self.own.name,
            cell.name,
            self.cluster.term,
            self.sequence,
            cell.term,
            self.params.workers.lease_expiry_s,
            self.borrower.items(cell.name),
            self._summary(),
        )
        sent = self.clock()
        try:
            answer = await cell.heartbeat(beat)
        except CellError as exc:
            log.debug("heartbeat: %s", exc)
            return
        cell.note_room(answer.room, self.clock())
        for ruling in answer.rulings:
            self.borrower.rule(cell.name, ruling, sent)

    def _summary(self) -> list[RoomRow]:
        """At most as old as a heartbeat: on thousands of machines it takes milliseconds."""
        if self.own.mode is not Mode.ON or not self.cluster.types:
            return []
        now = self.clock()
        if now >= self._summary_until:
            self._rows = summarize(self.room.free_machines())
            self._summary_until = now + constants.CELL_HEARTBEAT_S / 2
        return self._rows

    # --- what other cells ask ------------------------------------------------
    async def serve(self, path: str, raw: bytes) -> HttpAnswer:
        """Status and value of the answer to another cell."""
        handlers: dict[str, tuple[type[Message], Callable[[Any], Awaitable[Struct]]]] = {
            OFFER: (Offer, self._offered),
            HEARTBEAT: (Heartbeat, self._heartbeat),
            USER: (UserRequest, self._user_request),
        }
        if path not in handlers:
            return 404, None
        kind, handle = handlers[path]
        try:
            message: Message = msgspec.convert(orjson.loads(raw), kind)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as exc:
            return 400, {"error": str(exc)}
        if message.cell not in self.cells or message.to != self.own.name:
            return 403, {"error": f"{message.cell} is no neighbour of {self.own.name}"}
        if not self.is_leader():
            return NOT_LEADING
        try:
            answer = await handle(message)
        except ReplacedError as exc:
            return 409, {"error": str(exc)}
        except msgspec.ValidationError as exc:
            return 400, {"error": str(exc)}
        return (200, to_value(answer)) if self.is_leader() else NOT_LEADING

    async def _offered(self, offer: Offer) -> OfferAnswer:
        if self.own.mode is not Mode.ON:
            return OfferAnswer(False, "cells are being retired there")
        why = await self.borrower.reserve(offer)
        lapse_s = self.params.workers.lease_expiry_s
        return OfferAnswer(why is None, why or "", self.cluster.term, self.sequence, lapse_s)

    async def _heartbeat(self, beat: Heartbeat) -> HeartbeatAnswer:
        order = (beat.term, beat.sequence)
        if order <= self.heard.get(beat.cell, (0, 0)):
            raise ReplacedError("a later heartbeat was heard before")
        self.heard[beat.cell] = order
        now = self.clock()
        self.cells[beat.cell].note_room(beat.room, now)
        rulings = self.home.heard(beat, now)
        return HeartbeatAnswer(self.cluster.term, rulings, self._summary())

    async def _user_request(self, request: UserRequest) -> UserAnswer:
        ask = self.jobs.cancel if request.operation == "cancel" else self.jobs.query
        return UserAnswer(*await ask(request.job))

    # --- users of a borrowed job ---------------------------------------------
    @staticmethod
    def accept_conditions(job_id: str) -> dict[str, int]:
        """On which a user's job of that name may be accepted: it is not borrowed."""
        return {BORROWED + job_id: 0}

    def home_of(self, job_id: str) -> str | None:
        """The cell that answers for the job, if it is borrowed."""
        held = self.borrower.borrowed.get(job_id)
        return held.home if held is not None else None

    async def ask_home(self, operation: str, job_id: str) -> JobResponse:
        """What the home answers to a user; 503 if it does not, or is no neighbour any more."""
        cell = self.cells.get(self.home_of(job_id) or "")
        if cell is None:
            return RETRY_LATER
        try:
            answer = await cell.user_request(
                UserRequest(self.own.name, cell.name, operation, job_id)
            )
        except CellError as exc:
            log.debug("asking the home of %s: %s", job_id, exc)
            return RETRY_LATER
        # It is borrowed, so its home has accepted it.
        return JobResponse(answer.status, answer.value) if answer.status == 200 else RETRY_LATER

    # --- spilling ------------------------------------------------------------
    def note_unplaced(self, plan: Plan) -> None:
        """What a round found no room for."""
        self.unplaced = [view for view, _ in plan.unplaced]

    async def _spill_on(self) -> None:
        while True:
            await asyncio.sleep(constants.TICK_S)
            if self.is_leader() and self.own.mode is Mode.ON:
                self._spill()

    def _spill(self) -> None:
        views = self.spill.candidates(self.unplaced, self.cluster.jobs)
        now = self.clock()
        if not any(cell.rows(now) for cell in self.cells.values()):
            for view in views:
                self.spill.note_no_room(view.spec, now)
            return
        views = [view for view in views if self._may_offer(view.spec)]

        @cache
        def machines() -> tuple[list[MachineView], list[tuple[float, MachineView]]]:
            return self.room.free_machines(), self.room.starting_machines()

        def expected(spec: JobSpec) -> float:
            return expected_wait_s(spec, *machines())

        cells = list(self.cells.values())
        while views and self.offering < constants.CELL_OPERATIONS:
            chosen = self.spill.choose(views, cells, expected, now, self.wall())
            if chosen is None:
                return
            view, cell = chosen
            views.remove(view)
            job = self.cluster.jobs[view.spec.id]
            self.offering += 1
            self.background.spawn(self._offer(job, self.cells[cell.name]))

    def _may_offer(self, spec: JobSpec) -> bool:
        """Whether nothing of it has begun, and its team's limit has room for all of it."""
        job = self.cluster.jobs.get(spec.id)
        if job is None or job.on_hold or job.attempts or len(job.done):
            return False
        teams = {team.name: team for team in self.params.teams}
        limits = TeamQuotas(teams, self.cluster.usage)
        return job.phase is JobPhase.ACTIVE and limits.allowance_for(spec, spec.tasks) == spec.tasks

    async def _offer(self, job: Job, cell: CellClient) -> None:
        try:
            async with self.room.decision_lock:
                # Between two rounds, whose own view of the limits would else be out of date.
                if not self._may_offer(job.spec):
                    return
                handoff = self.home.begin(job, cell.name)
            why = await self.home.carry_out(handoff, cell)
        finally:
            self.offering -= 1
        if why is not None:
            log.info("job %s stays: %s", job.spec.id, why)
        self.spill.note_outcome(job.spec.id, cell.name, why is None, self.clock())

    # --- retiring, and what operators are told -------------------------------
    async def _retire(self) -> None:
        """Once no handoff is left, the feature is off: say so in the record of the term."""
        while self.home.handoffs or self.borrower.borrowed or not self.is_leader():
            await asyncio.sleep(constants.TICK_S)
        await self.writer.submit([Put(TERM_KEY, to_value(TermRecord(self.cluster.term)))])
        log.info("cells are off: restart all controllers without the section")
        await asyncio.Event().wait()

    def status(self, answered_by: str) -> CellsStatus:
        """What operators are told."""
        now = self.clock()
        lent = [
            HandoffStatus(
                h.job.spec.id,
                h.cell,
                h.phase.value,
                max(0.0, h.lease.lapsed_at - now) if h.lease is not None else None,
            )
            for h in self.home.handoffs.values()
        ]
        borrowed = [
            HandoffStatus(
                held.spec.id,
                held.home,
                held.phase.value,
                max(0.0, held.lease.until - now) if held.lease is not None else None,
            )
            for held in self.borrower.borrowed.values()
        ]
        cells = [
            CellStatus(
                cell.name,
                None if cell.heard_at is None else now - cell.heard_at,
                sum(row.machines for row in cell.rows(now)),
            )
            for cell in self.cells.values()
        ]
        staying = {job: wait.why for job, wait in self.spill.waiting.items() if wait.why}
        return CellsStatus(self.own.name, answered_by, cells, lent, borrowed, staying)
