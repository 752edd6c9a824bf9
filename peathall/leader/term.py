"""One term of a leader: the slices of a leader, wired together over one ClusterState."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from peathall import constants
from peathall.autoscaling.autoscaler import TYPES, Autoscaler
from peathall.autoscaling.provider_client import CloudClient
from peathall.cluster.job import Job
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.config.platform import Settings
from peathall.jobs import records
from peathall.jobs.service import RETRY_LATER, JobResponse, Jobs
from peathall.leadership.election import TERM_KEY, LeaderTerm
from peathall.leadership.lease import first_attempt
from peathall.operator_config.settings import Operator
from peathall.placement.rounds import ROUND
from peathall.placement.service import Placement
from peathall.placement.views import Plan
from peathall.protocol.heartbeats import Heartbeat
from peathall.protocol.jobs import JobSpec
from peathall.store.client import StoreClient, StoreError
from peathall.store.writer import Writer, WriterPhase
from peathall.workers.delivery import DeliveryLimits
from peathall.workers.failing_jobs import FAILING_JOBS_KEY, FailingJobsRecord
from peathall.workers.image_cache import CACHE, ImageCacheRecords
from peathall.workers.service import Workers

if TYPE_CHECKING:
    from peathall.cells.service import CellLeader, CellRecords
    from peathall.duties.service import Delegation, Duties

log = logging.getLogger("peathall.leader")

# What a user may ask of a job that another cell answers for.
QUERY, CANCEL = "query", "cancel"


class LeaderPhase(Enum):
    """A term begins with a rebuild from the records."""

    REBUILDING = auto()
    SERVING = auto()
    OVER = auto()


class Leader:
    """Everything that a controller does only while it leads."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        store: StoreClient,
        cloud: CloudClient,
        leader_term: LeaderTerm,
        is_active: Callable[[], bool],
        step_down: Callable[[], None],
        wall: Callable[[], float],
        heartbeats_elsewhere: Callable[[], dict[str, tuple[int, int]]],
        duties: Duties | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.duties = duties if leader_term.delegates else None
        self.delegation: Delegation | None = None
        params = settings.params
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.store = store
        self.phase = LeaderPhase.REBUILDING
        self.ready = asyncio.Event()
        self._lease_is_valid = is_active
        now = self.loop.time()
        self.cluster = ClusterState(leader_term.term, first_attempt(leader_term.term))
        # Records of handoffs are dropped within seconds: a late try must not bring one back.
        fence_unknown_outcomes = operator.cells is not None
        self.writer = Writer(
            store, params.state, leader_term.record, is_active, step_down, fence_unknown_outcomes
        )
        self.writer.versions[TERM_KEY] = leader_term.record.version  # written in one commit
        if self.duties is not None:
            self.delegation = self.duties.delegate(leader_term.term, self.writer)
        self.workers = Workers(
            self.cluster,
            params.workers,
            now,
            self.is_active,
            self,
            DeliveryLimits(
                max(1, int(params.machine_limits.fd_limit * constants.DIRECT_COMMAND_SOCKET_SHARE)),
                constants.DEFERRABLE_COMMANDS * min(1.0, params.machine_limits.cpu_share),
            ),
            heartbeats_elsewhere,
        )
        self.image_caches = ImageCacheRecords(self.cluster, self.writer)
        self.failing_jobs = FailingJobsRecord(self.cluster, self.workers.faults, self.writer)
        self.jobs = Jobs(
            self.cluster,
            params,
            store,
            self.writer,
            self._request_round,
            self._cancelled,
            wall,
            self.delegation.cleanup if self.delegation is not None else None,
            self,
        )
        self.autoscaler = Autoscaler(
            self.cluster,
            params,
            cloud,
            self.writer,
            self.workers,
            self.is_active,
            self._request_round,
            operator.idle_hold_s,
            self.delegation.cloud if self.delegation is not None else None,
        )
        self.placement = Placement(
            self.cluster,
            params,
            self.writer,
            self.workers,
            wall,
            self.is_active,
            [self.autoscaler, self],
            self.delegation.compaction if self.delegation is not None else None,
        )
        self.cluster.on_capacity_freed = self._request_round
        self.cells = self._make_cells(operator, wall, rng or random.Random())
        self.requests: set[asyncio.Task[JobResponse]] = set()

    def _make_cells(
        self, operator: Operator, wall: Callable[[], float], rng: random.Random
    ) -> CellLeader | None:
        if operator.cells is None:
            return None
        # Imported here only: a controller without cells does not spend the memory.
        from peathall.cells.service import CellLeader

        return CellLeader(
            operator.cells,
            self.cluster,
            self.settings.params,
            self.writer,
            self.jobs,
            self.placement,
            self,
            wall,
            self.is_active,
            self._lease_is_valid,
            rng,
        )

    def enter(self, phase: LeaderPhase) -> None:
        """The one way to change the phase; OVER is never left."""
        if self.phase is not LeaderPhase.OVER:
            self.phase = phase

    def is_active(self) -> bool:
        """Whether orders and answers may leave now."""
        return self.phase is LeaderPhase.SERVING and self._lease_is_valid()

    # --- between the slices --------------------------------------------------
    def _request_round(self) -> None:
        self.placement.request_round()

    def tasks_done(self, job: Job) -> None:
        """Tasks of the job were reported done."""
        self.jobs.note_done(job)

    def state_changed(self) -> None:
        """Something may start now, or must be decided anew."""
        self._request_round()

    def images_changed(self, machine: Machine) -> None:
        """The machine has cached another image."""
        self.image_caches.changed(machine)

    def machine_confirmed(self, machine: Machine) -> None:
        """The machine has reported under this term's token for the first time."""
        self.image_caches.recall(machine)

    def spot_notice_received(self, machine: Machine, now: float) -> None:
        """The cloud has announced that it takes the machine back."""
        self.placement.drain_machine(machine, now)

    def _cancelled(self, job: Job) -> None:
        now = self.loop.time()
        self.workers.raise_fencing_token()
        for attempt in list(job.attempts.values()):
            self.workers.stop(attempt, 0.0, now)

    def stop_all(self, job: Job) -> None:
        """Every answer from now on ends the job's tasks, and starts under way are refused."""
        self._cancelled(job)

    # --- other cells ---------------------------------------------------------
    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all of the job must be gone within `cancel_s` from now, wherever it is."""
        return self.cells is None or self.cells.home.may_confirm_cancel(job)

    def finish_borrowed(self, job: Job) -> None:
        """All tasks of a job of another cell are done."""
        if self.cells is not None:
            self.cells.borrower.finish(job)

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """A job that is borrowed under that name may not be accepted as well."""
        return {} if self.cells is None else self.cells.accept_conditions(job_id)

    def note_unplaced(self, plan: Plan) -> None:
        """What a round found no room for may be handed to another cell."""
        if self.cells is not None:
            self.cells.note_unplaced(plan)

    # --- life ----------------------------------------------------------------
    async def run(self) -> None:
        """Rebuild, then serve until the term is over."""
        writing = asyncio.create_task(self.writer.run())
        tasks = [writing]
        try:
            await self._rebuild()
            if self.cells is not None:
                await self.cells.take_over()
            self.enter(LeaderPhase.SERVING)
            self.jobs.resume_unfinished()
            self.ready.set()
            log.info(
                "term %d serves: %d jobs, %d machines known",
                self.cluster.term,
                len(self.cluster.jobs),
                len(self.cluster.machines),
            )
            for coro in (
                self.jobs.follow(),
                self.placement.run(),
                self.autoscaler.run(),
                self._tick(),
            ):
                tasks.append(asyncio.create_task(coro))
            tasks += [asyncio.create_task(coro) for coro in self._delegating()]
            if self.cells is not None:
                tasks += [asyncio.create_task(coro) for coro in self.cells.loops()]
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if not task.cancelled() and task.exception() is not None:
                    raise task.exception()  # type: ignore[misc]
        finally:
            self.enter(LeaderPhase.OVER)
            self.writer.stop()
            if self.cells is not None:
                self.cells.close()
            self.jobs.close()
            self.workers.close()
            for task in tasks:
                task.cancel()
            for request in self.requests:
                request.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _delegating(self) -> Iterator[Coroutine[Any, Any, None]]:
        """What runs beside, while duties are on."""
        if self.duties is None or self.delegation is None:
            return
        yield self.delegation.run()
        if self.duties.retiring:
            yield self.duties.retire(self.writer, self._act_directly)

    def _act_directly(self) -> None:
        """Duties were taken out of use: this leader acts by itself."""
        self.autoscaler.act_directly()
        if self.delegation is not None:
            self.delegation.act_directly()

    async def _rebuild(self) -> None:
        while True:
            try:
                types = await self.store.get(TYPES)
                live, revision = await self.store.scan(records.LIVE)
                done, _ = await self.store.scan(records.DONE)
                rounds, _ = await self.store.scan(ROUND)
                image_caches, _ = await self.store.scan(CACHE)
                failing_jobs = await self.store.get(FAILING_JOBS_KEY)
                pending_deletions = (
                    await self.duties.pending_deletions() if self.duties is not None else set()
                )
                cells = await self._read_cells()
                break
            except StoreError as exc:
                log.info("reading the records: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)
        if types is not None:
            self.writer.versions[TYPES] = types.version
            self.autoscaler.load_types(types.value)
        if self.cells is not None and cells is not None:
            self.cells.load(cells)
        self.jobs.load(live, done, revision)
        if self.cells is not None and cells is not None:
            self.cells.load_handoffs(cells)
        self.image_caches.load(image_caches)
        self.failing_jobs.load(failing_jobs)
        self.autoscaler.mark_deleting(pending_deletions, self.loop.time())
        self.placement.rounds.load(rounds, self.loop.time())
        self.workers.failover_at = self.loop.time()

    async def _read_cells(self) -> CellRecords | None:
        return None if self.cells is None else await self.cells.read_records(self.store)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(constants.TICK_S)
            if self.is_active():
                if self.cells is not None:
                    self.cells.tick(self.loop.time())
                self.workers.tick(self.loop.time())
                self.placement.rounds.compact(self.loop.time())
                if self.loop.time() - self.workers.failover_at > constants.FORGET_CACHES_S:
                    self.image_caches.forget_unknown()
                for job in list(self.cluster.jobs.values()):
                    self.jobs.review(job)

    # --- requests ------------------------------------------------------------
    async def handle_heartbeat(self, heartbeat: Heartbeat) -> tuple[int, dict[str, Any] | None]:
        """A worker's report."""
        if self.phase is LeaderPhase.REBUILDING:
            try:
                await asyncio.wait_for(self.ready.wait(), constants.HEARTBEAT_HOLD_S)
            except TimeoutError:
                return 503, None
        if not self.is_active():
            return 503, None
        if self.cells is not None:
            self.cells.borrower.stop_lapsed(self.loop.time())
        return self.workers.handle_heartbeat(heartbeat, self.loop.time())

    async def _bounded(self, work: Awaitable[JobResponse], limit: float) -> JobResponse:
        """Answer within the limit; what was begun goes on, so memory and store agree."""
        task = asyncio.ensure_future(work)
        self.requests.add(task)
        task.add_done_callback(self._reap)
        done, _ = await asyncio.wait([task], timeout=limit)
        if not done or task.cancelled() or task.exception() is not None or not self.is_active():
            return RETRY_LATER
        return task.result()

    def _reap(self, task: asyncio.Task[JobResponse]) -> None:
        self.requests.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.info("request given up: %r", task.exception())

    def _cannot_write(self) -> bool:
        return not self.is_active() or self.writer.phase is WriterPhase.OUTCOME_UNKNOWN

    async def accept(self, spec: JobSpec) -> JobResponse:
        """A submission."""
        if self._cannot_write():
            return RETRY_LATER
        if self.cells is not None and self.cells.home_of(spec.id):
            return await self.cells.ask_home(QUERY, spec.id)  # it is accepted, by its home
        return await self._bounded(self.jobs.accept(spec), constants.ACCEPT_S)

    async def query(self, job_id: str) -> JobResponse:
        """A poll."""
        if not self.is_active():
            return RETRY_LATER
        if self.cells is not None and self.cells.home_of(job_id):
            return await self.cells.ask_home(QUERY, job_id)
        cached_response = self.jobs.cached_response(job_id)
        if cached_response is not None:
            return cached_response
        return await self._bounded(self.jobs.query(job_id), constants.FORWARD_S)

    async def cancel(self, job_id: str) -> JobResponse:
        """A cancellation."""
        if self._cannot_write():
            return RETRY_LATER
        if self.cells is not None and self.cells.home_of(job_id):
            return await self.cells.ask_home(CANCEL, job_id)
        return await self._bounded(self.jobs.cancel(job_id), constants.ACCEPT_S)
