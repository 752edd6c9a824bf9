"""The home cell's side of handoffs: offers, grants, leases, and the return of jobs.

A job that is handed off is on hold in its home cell: none of its tasks start here, and its
resources stay allocated under its team's quota until no task of it can exist at the borrower. That
is certain once a heartbeat, sent by the borrower after a response of this leader's term, no longer
names the job, or once the lease and the time for which machines may keep tasks have expired.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from peathall.cells.errors import CellError
from peathall.cells.lease import GrantedLease
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
    """Stores the end of jobs; implemented by the jobs component."""

    def note_done(self, job: Job) -> None:
        """Store that tasks of the job are done."""

    def retry_finalization(self, job: Job) -> None:
        """Resume what the job still waits for, such as the confirmation of its cancellation."""


class OfferTarget(Protocol):
    """A cell that a job can be offered to."""

    name: str

    async def offer(self, offer: HandoffOffer) -> HandoffOfferResponse:
        """Return the cell's response; raise CellError if there is none."""


class Handoff:
    """One handoff of one job, as its home cell knows it."""

    __slots__ = ("cell", "closing", "epoch", "job", "lease", "phase", "since", "stopped")

    def __init__(self, job: Job, cell: str, epoch: int, phase: HandoffPhase) -> None:
        self.job = job
        self.cell = cell
        self.epoch = epoch
        self.phase = phase
        self.lease: GrantedLease | None = None  # set when the handoff is granted
        # Term and sequence of the borrower's last heartbeat before the reservation: each later
        # heartbeat names the job for as long as the borrower has it.
        self.since = (0, 0)
        self.stopped = False  # revoked, and the borrower has confirmed that it stops all tasks
        self.closing = False  # the record of the handoff is being deleted

    @property
    def key(self) -> str:
        """Key of the handoff's record in the state service."""
        return HANDOFF + self.job.spec.id

    def enter(self, phase: HandoffPhase) -> bool:
        """Change the phase, if ALLOWED_TRANSITIONS permits it; return whether it was changed. No
        other code sets the phase."""
        if phase not in ALLOWED_TRANSITIONS[self.phase]:
            return False
        job_id, before = self.job.spec.id, self.phase.name
        log.info("job %s: handoff %s -> %s (borrower %s)", job_id, before, phase.name, self.cell)
        self.phase = phase
        return True


class HomeHandoffs:
    """All handoffs of this cell's jobs, during one leader term."""

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
        self.clock = clock  # monotonic time
        self.handoffs: dict[str, Handoff] = {}
        self.background = BackgroundTasks()
        self._epoch = first_number_of_term(cluster.term)  # epochs of different terms never coincide

    # --- records -------------------------------------------------------------
    def load(self, items: list[KeyValue], now: float) -> None:
        """Recover handoffs from their records after failover. Earlier leaders renewed no lease
        after `now` (monotonic time)."""
        for item in items:
            self.writer.versions[item.key] = item.version
            record = msgspec.convert(item.value, HandoffRecord)
            job = self.cluster.jobs.get(item.key.removeprefix(HANDOFF))
            if job is None:
                self.writer.defer_delete(item.key)  # the job is archived, so its handoff has ended
                continue
            handoff = Handoff(job, record.cell, record.epoch, record.phase)
            if record.phase is HandoffPhase.GRANTED:
                handoff.lease = GrantedLease(record.lease_s, record.task_expiry_s, now)
            else:
                # Only the leader that sent the offer could have granted the handoff.
                handoff.enter(HandoffPhase.REVOKED)
            self._add(handoff)

    def _add(self, handoff: Handoff) -> None:
        self.handoffs[handoff.job.spec.id] = handoff
        handoff.job.on_hold = True
        self.cluster.allocate_remote(handoff.job.spec)

    async def _store(self, handoff: Handoff, record: HandoffRecord) -> bool:
        try:
            await self.writer.submit([Put(handoff.key, struct_to_builtins(record))])
        except (StoreError, ConflictError) as exc:
            log.error("job %s: handoff record not stored: %s", handoff.job.spec.id, exc)
            return False
        return True

    # --- offering ------------------------------------------------------------
    def begin(self, job: Job, cell: str) -> Handoff:
        """Begin a handoff: put the job on hold in this cell and keep its resources allocated."""
        self._epoch += 1
        handoff = Handoff(job, cell, self._epoch, HandoffPhase.OFFERED)
        self._add(handoff)
        return handoff

    async def offer_and_grant(self, handoff: Handoff, cell: OfferTarget) -> str | None:
        """Offer the job to the cell and grant it if the cell has reserved capacity. Return None, or
        the reason why the job was not handed off."""
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
            return "it was cancelled meanwhile"  # the borrower was never told of the grant
        handoff.lease = GrantedLease(self.lease_s, task_expiry_s, self.clock())
        return None

    async def _close(self, handoff: Handoff) -> None:
        """Delete the record and take the job off hold. Only called when the borrower has no task
        of the job and can start none."""
        handoff.enter(HandoffPhase.REVOKED)
        if handoff.closing:
            return
        handoff.closing = True
        try:
            if handoff.key in self.writer.versions:
                await self.writer.submit([Delete(handoff.key)])
        except (StoreError, ConflictError) as exc:
            log.error("job %s: handoff record not deleted, retrying: %s", handoff.job.spec.id, exc)
            handoff.closing = False  # the next tick retries
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
        """Return a ruling on each job that the borrower names; take back jobs it no longer names.

        The caller has discarded heartbeats that are older than one already received.
        """
        rulings = [self._rule(item, heartbeat, now) for item in heartbeat.borrowed]
        if heartbeat.home_term == self.cluster.term:
            # The borrower sent this heartbeat after it had received a response of this term. It
            # does not have a job that the heartbeat does not name, and an earlier grant of the
            # job can no longer take effect there.
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
            self._mark_done(job)
        if job.phase is not JobPhase.ACTIVE:
            handoff.enter(HandoffPhase.REVOKED)
        if handoff.phase is HandoffPhase.GRANTED and handoff.lease is not None:
            handoff.lease.record_renewal(now, heartbeat.task_expiry_s)
            job.running_remotely = item.running
            return Ruling(item.job, item.epoch, Verdict.GRANTED, handoff.lease.lease_s)
        if item.stopping and not handoff.stopped:
            handoff.stopped = True
            self.jobs.retry_finalization(
                job
            )  # a cancellation that waited for this can be confirmed now
        return Ruling(item.job, item.epoch, Verdict.REVOKED)

    def _mark_done(self, job: Job) -> None:
        if job.phase is JobPhase.ACTIVE and len(job.done) < job.spec.tasks:
            job.mark_all_done()
            self.jobs.note_done(job)

    # --- cancellation and time -----------------------------------------------
    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all tasks of the job, in any cell, are certain to be gone within `cancel_s`.

        The first call revokes the handoff, so that its lease is no longer renewed. The caller
        repeats the call until it returns True.
        """
        handoff = self.handoffs.get(job.spec.id)
        if handoff is None:
            return True
        handoff.enter(HandoffPhase.REVOKED)
        if handoff.lease is None or handoff.stopped:
            return True
        return handoff.lease.tasks_gone_within(self.clock(), self.cancel_s)

    def tick(self, now: float) -> None:
        """Close handoffs whose tasks are certainly gone, and revoked ones that were never granted.
        Called once a second."""
        for handoff in list(self.handoffs.values()):
            revoked = handoff.phase is HandoffPhase.REVOKED
            if handoff.lease is None:
                if revoked:  # the borrower was never told of a grant
                    self.background.spawn(self._close(handoff))
            elif now > handoff.lease.tasks_gone_at:
                self.background.spawn(self._close(handoff))

    def close(self) -> None:
        """Cancel background work at the end of the term."""
        self.background.close()
