"""The home's side of handoffs: which jobs are offered and granted, and when one has returned.

A job that is handed off is on hold at home: nothing of it starts here, and its resources stay
allocated under its team's quota until it is certainly gone from the borrower. That is so when the
borrower's heartbeat of our own term no longer names it, or when the lease has expired for as long
as machines may keep its tasks.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from peathall.cells.errors import CellError
from peathall.cells.lease import LentLease
from peathall.cells.model import (
    HANDOFF,
    BorrowedJobStatus,
    BorrowPhase,
    CellHeartbeat,
    HandoffOffer,
    HandoffOfferResponse,
    HandoffPhase,
    HandoffRecord,
    Ruling,
    Verdict,
)
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.jobs.background import BackgroundTasks
from peathall.leadership.lease import first_number_of_term
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.jobs import spec_to_record
from peathall.protocol.state_service import Delete, KeyValue, Put
from peathall.store.errors import ConflictError, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")

ALLOWED_TRANSITIONS = {
    HandoffPhase.OFFERED: {HandoffPhase.GRANTED, HandoffPhase.REVOKED},
    HandoffPhase.GRANTED: {HandoffPhase.REVOKED},
    HandoffPhase.REVOKED: {HandoffPhase.RETURNED, HandoffPhase.ENDED},
    HandoffPhase.RETURNED: set(),
    HandoffPhase.ENDED: set(),
}


class JobFinalizer(Protocol):
    """Stores how jobs end: the jobs slice."""

    def note_done(self, job: Job) -> None:
        """Tasks of the job are done."""

    def retry_finalization(self, job: Job) -> None:
        """Resume what the job still waits for."""


class OfferTarget(Protocol):
    """A cell that a job can be offered to."""

    name: str

    async def offer(self, offer: HandoffOffer) -> HandoffOfferResponse:
        """Its response; CellError without one."""


class Handoff:
    """One handoff of one job, as its home knows it."""

    __slots__ = ("cell", "closing", "epoch", "job", "lease", "phase", "since", "stopped")

    def __init__(self, job: Job, cell: str, epoch: int, phase: HandoffPhase) -> None:
        self.job = job
        self.cell = cell
        self.epoch = epoch
        self.phase = phase
        self.lease: LentLease | None = None  # once granted
        self.since = (0, 0)  # order of a heartbeat: later ones name the job if the borrower has it
        self.stopped = False  # revoked, and the borrower has confirmed that it stops all tasks
        self.closing = False  # its record is being deleted

    @property
    def key(self) -> str:
        """Key of its record."""
        return HANDOFF + self.job.spec.id

    def enter(self, phase: HandoffPhase) -> bool:
        """The one way to change the phase; RETURNED and ENDED are final. False if the transition
        is not allowed."""
        if phase not in ALLOWED_TRANSITIONS[self.phase]:
            return False
        job_id, before = self.job.spec.id, self.phase.name
        log.info("job %s: handoff %s -> %s (cell %s)", job_id, before, phase.name, self.cell)
        self.phase = phase
        return True


class HomeHandoffs:
    """All handoffs of this cell's jobs, in one term."""

    def __init__(
        self,
        name: str,
        lease_s: float,
        cancel_s: float,
        cluster: ClusterState,
        writer: Writer,
        jobs: JobFinalizer,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.lease_s = lease_s
        self.cancel_s = cancel_s
        self.cluster = cluster
        self.writer = writer
        self.jobs = jobs
        self.clock = clock  # steady time
        self.handoffs: dict[str, Handoff] = {}
        self.background = BackgroundTasks()
        self._epoch = first_number_of_term(cluster.term)  # no two terms share an epoch

    # --- records -------------------------------------------------------------
    def load(self, items: list[KeyValue], now: float) -> None:
        """Recover after failover. An earlier leader granted nothing after `now` (steady time)."""
        for item in items:
            self.writer.versions[item.key] = item.version
            record = msgspec.convert(item.value, HandoffRecord)
            job = self.cluster.jobs.get(item.key.removeprefix(HANDOFF))
            if job is None:
                self.writer.defer_delete(item.key)  # archived, so its handoff had ended
                continue
            handoff = Handoff(job, record.cell, record.epoch, record.phase)
            if record.phase is HandoffPhase.GRANTED:
                handoff.lease = LentLease(record.lease_s, record.task_expiry_s, now)
            else:
                handoff.enter(HandoffPhase.REVOKED)  # the leader that offered it is gone
            self._add(handoff)

    def _add(self, handoff: Handoff) -> None:
        self.handoffs[handoff.job.spec.id] = handoff
        handoff.job.on_hold = True
        self.cluster.allocate_remote(handoff.job.spec)

    async def _store(self, handoff: Handoff, record: HandoffRecord) -> bool:
        try:
            await self.writer.submit([Put(handoff.key, struct_to_builtins(record))])
        except (StoreError, ConflictError) as exc:
            log.error("job %s: handoff is not stored: %s", handoff.job.spec.id, exc)
            return False
        return True

    # --- offering ------------------------------------------------------------
    def begin(self, job: Job, cell: str) -> Handoff:
        """Begin a handoff: nothing of the job starts at home, its resources stay allocated."""
        self._epoch += 1
        handoff = Handoff(job, cell, self._epoch, HandoffPhase.OFFERED)
        self._add(handoff)
        return handoff

    async def carry_out(self, handoff: Handoff, cell: OfferTarget) -> str | None:
        """Hand the job to the cell, if it has capacity. The reason if not, or None."""
        reason = await self._offer(handoff, cell)
        if reason is not None:
            await self._close(handoff)
        return reason

    async def _offer(self, handoff: Handoff, cell: OfferTarget) -> str | None:
        job = handoff.job
        if not await self._store(handoff, HandoffRecord(handoff.epoch, cell.name, handoff.phase)):
            return "the offer could not be stored"
        spec = spec_to_record(job.spec)
        try:
            response = await cell.offer(
                HandoffOffer(self.name, cell.name, self.cluster.term, handoff.epoch, spec)
            )
        except CellError as exc:
            return str(exc)
        if not response.reserved:
            return response.reason
        if response.task_expiry_s > self.cancel_s:
            return f"its machines may keep cancelled tasks for {response.task_expiry_s:g} s"
        handoff.since = (response.term, response.sequence)
        return await self._grant(handoff, response.task_expiry_s)

    async def _grant(self, handoff: Handoff, task_expiry_s: float) -> str | None:
        if handoff.phase is not HandoffPhase.OFFERED or handoff.job.phase is not JobPhase.ACTIVE:
            return "it is being cancelled"
        record = HandoffRecord(
            handoff.epoch, handoff.cell, HandoffPhase.GRANTED, self.lease_s, task_expiry_s
        )
        if not await self._store(handoff, record):
            return "the grant could not be stored"
        if not handoff.enter(HandoffPhase.GRANTED):
            return "it was cancelled meanwhile"  # and no borrower was told of the grant
        handoff.lease = LentLease(self.lease_s, task_expiry_s, self.clock())
        return None

    async def _close(self, handoff: Handoff) -> None:
        """The borrower has no task of the job, nor will it have one: delete the record, and
        release the job at home."""
        handoff.enter(HandoffPhase.REVOKED)
        if handoff.closing:
            return
        handoff.closing = True
        try:
            if handoff.key in self.writer.versions:
                await self.writer.submit([Delete(handoff.key)])
        except (StoreError, ConflictError) as exc:
            log.error("job %s: end of handoff is not stored: %s", handoff.job.spec.id, exc)
            handoff.closing = False  # retried with the next tick
            return
        job = handoff.job
        handoff.enter(HandoffPhase.ENDED if job.is_final else HandoffPhase.RETURNED)
        del self.handoffs[job.spec.id]
        job.on_hold = False
        job.running_remotely = 0
        self.cluster.release_remote(job.spec)
        self.jobs.retry_finalization(job)

    # --- heartbeats of borrowers ---------------------------------------------
    def handle_heartbeat(self, heartbeat: CellHeartbeat, now: float) -> list[Ruling]:
        """Rulings on the jobs that a borrower names; a job that it no longer names has returned.
        The caller has made sure that no later heartbeat of that cell came before."""
        rulings = [self._rule(item, heartbeat, now) for item in heartbeat.borrowed]
        if heartbeat.home_term == self.cluster.term:
            # Sent after a response of this leader had reached the borrower: a job that it does not
            # name it does not have, and no earlier grant can reach it any more.
            named = {(item.job, item.epoch) for item in heartbeat.borrowed}
            for handoff in self._lent_to(heartbeat.cell):
                later = (heartbeat.term, heartbeat.sequence) > handoff.since
                if later and (handoff.job.spec.id, handoff.epoch) not in named:
                    self.background.spawn(self._close(handoff))
        return rulings

    def _lent_to(self, cell: str) -> list[Handoff]:
        return [
            handoff
            for handoff in self.handoffs.values()
            if handoff.cell == cell and handoff.lease is not None
        ]

    def _rule(self, item: BorrowedJobStatus, heartbeat: CellHeartbeat, now: float) -> Ruling:
        handoff = self.handoffs.get(item.job)
        if handoff is None or (handoff.epoch, handoff.cell) != (item.epoch, heartbeat.cell):
            return Ruling(item.job, item.epoch, Verdict.REVOKED)
        if handoff.phase is HandoffPhase.OFFERED:
            return Ruling(item.job, item.epoch, Verdict.PENDING)
        job = handoff.job
        if item.phase is BorrowPhase.ENDED and handoff.phase is HandoffPhase.GRANTED:
            self._note_end(job)
        if job.phase is not JobPhase.ACTIVE:
            handoff.enter(HandoffPhase.REVOKED)
        if handoff.phase is HandoffPhase.GRANTED and handoff.lease is not None:
            handoff.lease.confirm(now, heartbeat.task_expiry_s)
            job.running_remotely = item.running
            return Ruling(item.job, item.epoch, Verdict.GRANTED, handoff.lease.lease_s)
        if item.stopping and not handoff.stopped:
            handoff.stopped = True
            self.jobs.retry_finalization(job)  # a cancellation can be confirmed now
        return Ruling(item.job, item.epoch, Verdict.REVOKED)

    def _note_end(self, job: Job) -> None:
        if job.phase is JobPhase.ACTIVE and len(job.done) < job.spec.tasks:
            job.mark_all_done()
            self.jobs.note_done(job)

    # --- cancellation and time -----------------------------------------------
    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all tasks of the job must be gone within `cancel_s` from now, wherever they are.
        Called again until it is so; from the first call on the lease is not renewed any more."""
        handoff = self.handoffs.get(job.spec.id)
        if handoff is None:
            return True
        handoff.enter(HandoffPhase.REVOKED)
        if handoff.lease is None or handoff.stopped:
            return True
        return handoff.lease.cancelled_in_time(self.clock(), self.cancel_s)

    def tick(self, now: float) -> None:
        """Once a second: end handoffs whose lease and tasks have certainly expired."""
        for handoff in list(self.handoffs.values()):
            revoked = handoff.phase is HandoffPhase.REVOKED
            if handoff.lease is None:
                if revoked:  # no borrower was ever told of a grant
                    self.background.spawn(self._close(handoff))
            elif now > handoff.lease.gone_at:
                self.background.spawn(self._close(handoff))

    def close(self) -> None:
        """The term is over."""
        self.background.close()
