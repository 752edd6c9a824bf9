"""The home's side of handoffs: what was offered and granted, and when a job is at home again.

A job that is handed off is *held* at home: nothing of it starts here, and its need stays booked
under its team's limit until it is surely gone from the borrower. That is so when the borrower's
heartbeat of our own term no longer names it, or when the lease has lapsed for as long as machines
may keep its tasks.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from peathall.cells.lease import LentLease
from peathall.cells.model import (
    HANDOFF,
    BorrowedItem,
    BorrowPhase,
    HandoffPhase,
    HandoffRecord,
    Heartbeat,
    Offer,
    OfferAnswer,
    Ruling,
    Verdict,
    to_value,
)
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.jobs.background import BackgroundTasks
from peathall.leadership.lease import first_attempt
from peathall.protocol.jobs import spec_to_record
from peathall.store.client import ConflictError, Delete, KeyValue, Put, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")

MAY_FOLLOW = {
    HandoffPhase.OFFERED: {HandoffPhase.GRANTED, HandoffPhase.REVOKED},
    HandoffPhase.GRANTED: {HandoffPhase.REVOKED},
    HandoffPhase.REVOKED: {HandoffPhase.RETURNED, HandoffPhase.ENDED},
    HandoffPhase.RETURNED: set(),
    HandoffPhase.ENDED: set(),
}


class CellError(Exception):
    """Another cell did not answer, or refused; the message says why."""


class JobFates(Protocol):
    """Who stores how jobs end."""

    def note_done(self, job: Job) -> None:
        """Tasks of the job are done."""

    def review(self, job: Job) -> None:
        """Go on with what the job still waits for."""


class OfferTarget(Protocol):
    """A cell that a job can be offered to."""

    name: str

    async def offer(self, offer: Offer) -> OfferAnswer:
        """Its answer; CellError without one."""


class Handoff:
    """One handoff of a job."""

    __slots__ = ("cell", "closing", "epoch", "job", "lease", "phase", "since", "stopped")

    def __init__(self, job: Job, cell: str, epoch: int, phase: HandoffPhase) -> None:
        self.job = job
        self.cell = cell
        self.epoch = epoch
        self.phase = phase
        self.lease: LentLease | None = None  # once granted
        self.since = (0, 0)  # heartbeats of the borrower after this one name the job if it is there
        self.stopped = False  # revoked, and the borrower has said that it stops all of it
        self.closing = False  # the record is being dropped

    @property
    def key(self) -> str:
        """Of its record."""
        return HANDOFF + self.job.spec.id

    def enter(self, phase: HandoffPhase) -> bool:
        """The one way to change the phase; RETURNED and ENDED are never left. False if the phase
        can't follow."""
        may_follow = phase in MAY_FOLLOW[self.phase]
        if may_follow:
            log.info("job %s: %s -> %s (%s)", self.job.spec.id, self.phase.name, phase.name,
                     self.cell)  # fmt: skip
            self.phase = phase
        return may_follow


class HomeHandoffs:
    """All handoffs of this cell's jobs, in one term."""

    def __init__(
        self,
        name: str,
        lease_s: float,
        cancel_s: float,
        cluster: ClusterState,
        writer: Writer,
        jobs: JobFates,
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
        self._epoch = first_attempt(cluster.term)  # no two terms share an epoch

    # --- records -------------------------------------------------------------
    def load(self, items: list[KeyValue], now: float) -> None:
        """After a take-over. An earlier leader granted nothing after now."""
        for item in items:
            self.writer.versions[item.key] = item.version
            record = msgspec.convert(item.value, HandoffRecord)
            job = self.cluster.jobs.get(item.key.removeprefix(HANDOFF))
            if job is None:
                self.writer.defer_delete(item.key)  # archived, which comes after the handoff's end
                continue
            handoff = Handoff(job, record.cell, record.epoch, record.phase)
            if record.phase is HandoffPhase.GRANTED:
                handoff.lease = LentLease(record.lease_s, record.lapse_s, now)
            else:
                handoff.enter(HandoffPhase.REVOKED)  # who offered it is gone
            self._add(handoff)

    def _add(self, handoff: Handoff) -> None:
        self.handoffs[handoff.job.spec.id] = handoff
        handoff.job.on_hold = True
        self.cluster.allocate_remote(handoff.job.spec)

    async def _store(self, handoff: Handoff, record: HandoffRecord) -> bool:
        try:
            await self.writer.submit([Put(handoff.key, to_value(record))])
        except (StoreError, ConflictError) as exc:
            log.error("the handoff of %s is not stored: %s", handoff.job.spec.id, exc)
            return False
        return True

    # --- offering ------------------------------------------------------------
    def begin(self, job: Job, cell: str) -> Handoff:
        """From now on nothing of the job starts at home, and its need is booked."""
        self._epoch += 1
        handoff = Handoff(job, cell, self._epoch, HandoffPhase.OFFERED)
        self._add(handoff)
        return handoff

    async def carry_out(self, handoff: Handoff, cell: OfferTarget) -> str | None:
        """Hand the job to the cell, if it has room. Why not, or None once it is granted."""
        why = await self._offer(handoff, cell)
        if why is not None:
            await self._close(handoff)
        return why

    async def _offer(self, handoff: Handoff, cell: OfferTarget) -> str | None:
        job = handoff.job
        if not await self._store(handoff, HandoffRecord(handoff.epoch, cell.name, handoff.phase)):
            return "the offer could not be stored"
        spec = spec_to_record(job.spec)
        try:
            answer = await cell.offer(
                Offer(self.name, cell.name, self.cluster.term, handoff.epoch, spec)
            )
        except CellError as exc:
            return str(exc)
        if not answer.reserved:
            return answer.why
        if answer.lapse_s > self.cancel_s:
            return f"its machines may keep cancelled tasks for {answer.lapse_s:g} s"
        handoff.since = (answer.term, answer.sequence)
        return await self._grant(handoff, answer.lapse_s)

    async def _grant(self, handoff: Handoff, lapse_s: float) -> str | None:
        if handoff.phase is not HandoffPhase.OFFERED or handoff.job.phase is not JobPhase.ACTIVE:
            return "it is being cancelled"
        record = HandoffRecord(
            handoff.epoch, handoff.cell, HandoffPhase.GRANTED, self.lease_s, lapse_s
        )
        if not await self._store(handoff, record):
            return "the grant could not be stored"
        if not handoff.enter(HandoffPhase.GRANTED):
            return "it was cancelled meanwhile"  # and no borrower was told of the grant
        handoff.lease = LentLease(self.lease_s, lapse_s, self.clock())
        return None

    async def _close(self, handoff: Handoff) -> None:
        """Nothing of it is at the borrower, nor will it be: drop the record, and go on at home."""
        handoff.enter(HandoffPhase.REVOKED)
        if handoff.closing:
            return
        handoff.closing = True
        try:
            if handoff.key in self.writer.versions:
                await self.writer.submit([Delete(handoff.key)])
        except (StoreError, ConflictError) as exc:
            log.error("the end of the handoff of %s: %s", handoff.job.spec.id, exc)
            handoff.closing = False  # tried again with the next tick
            return
        job = handoff.job
        handoff.enter(HandoffPhase.ENDED if job.is_final else HandoffPhase.RETURNED)
        del self.handoffs[job.spec.id]
        job.on_hold = False
        job.running_remotely = 0
        self.cluster.release_remote(job.spec)
        self.jobs.review(job)

    # --- what borrowers tell -------------------------------------------------
    def heard(self, beat: Heartbeat, now: float) -> list[Ruling]:
        """Rulings on the jobs that a borrower names; and what it no longer names is at home again.
        The caller has made sure that no later heartbeat of that cell was heard before."""
        rulings = [self._rule(item, beat, now) for item in beat.borrowed]
        if beat.home_term == self.cluster.term:
            # Sent after the borrower had heard from this leader: what it does not name, it does
            # not have, and no earlier grant can reach it any more.
            named = {(item.job, item.epoch) for item in beat.borrowed}
            for handoff in self._lent_to(beat.cell):
                later = (beat.term, beat.sequence) > handoff.since
                if later and (handoff.job.spec.id, handoff.epoch) not in named:
                    self.background.spawn(self._close(handoff))
        return rulings

    def _lent_to(self, cell: str) -> list[Handoff]:
        return [h for h in self.handoffs.values() if h.cell == cell and h.lease is not None]

    def _rule(self, item: BorrowedItem, beat: Heartbeat, now: float) -> Ruling:
        handoff = self.handoffs.get(item.job)
        if handoff is None or (handoff.epoch, handoff.cell) != (item.epoch, beat.cell):
            return Ruling(item.job, item.epoch, Verdict.REVOKED)
        if handoff.phase is HandoffPhase.OFFERED:
            return Ruling(item.job, item.epoch, Verdict.PENDING)
        job = handoff.job
        if item.phase is BorrowPhase.ENDED and handoff.phase is HandoffPhase.GRANTED:
            self._note_end(job)
        if job.phase is not JobPhase.ACTIVE:
            handoff.enter(HandoffPhase.REVOKED)
        if handoff.phase is HandoffPhase.GRANTED and handoff.lease is not None:
            handoff.lease.confirm(now, beat.lapse_s)
            job.running_remotely = item.running
            return Ruling(item.job, item.epoch, Verdict.GRANTED, handoff.lease.lease_s)
        if item.stopping and not handoff.stopped:
            handoff.stopped = True
            self.jobs.review(job)  # a cancellation can be confirmed now
        return Ruling(item.job, item.epoch, Verdict.REVOKED)

    def _note_end(self, job: Job) -> None:
        if job.phase is JobPhase.ACTIVE and len(job.done) < job.spec.tasks:
            job.mark_all_done()
            self.jobs.note_done(job)

    # --- cancellation and time -----------------------------------------------
    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all of the job must be gone within `cancel_s` from now, wherever it is. Asked
        again until it is so; from the first time on nothing of it is granted any more."""
        handoff = self.handoffs.get(job.spec.id)
        if handoff is None:
            return True
        handoff.enter(HandoffPhase.REVOKED)
        if handoff.lease is None or handoff.stopped:
            return True
        return handoff.lease.cancelled_in_time(self.clock(), self.cancel_s)

    def tick(self, now: float) -> None:
        """Every second: what is surely over comes home."""
        for handoff in list(self.handoffs.values()):
            revoked = handoff.phase is HandoffPhase.REVOKED
            if handoff.lease is None:
                if revoked:  # nobody was ever told of a grant
                    self.background.spawn(self._close(handoff))
            elif now > handoff.lease.gone_at:
                self.background.spawn(self._close(handoff))

    def close(self) -> None:
        """The term is over."""
        self.background.close()
