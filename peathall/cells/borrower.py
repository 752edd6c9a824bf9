"""The borrower's side of handoffs: capacity reservations, adopted jobs, and their end.

A borrowed job runs only while our lease on it is valid. The lease is in memory alone: a new leader
has none until a heartbeat of its own was granted. Once it has expired, or was revoked, the job is
on hold: nothing of it starts, and every response to a machine from then on stops its tasks, as for
a cancelled job. Its record is deleted once no task of it can exist here; until then every heartbeat
names it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import msgspec

from peathall import constants
from peathall.cells.borrowed_job import PATIENCE_S, BorrowedJob
from peathall.cells.errors import ReplacedError
from peathall.cells.model import (
    BorrowedJobStatus,
    BorrowedRecord,
    BorrowPhase,
    HandoffOffer,
    Ruling,
    Verdict,
)
from peathall.cells.quota_check import quota_conflict
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs import records
from peathall.jobs.admission import rejection_reason
from peathall.jobs.background import BackgroundTasks
from peathall.leadership.lease import HeldLease
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.jobs import JobSpec, spec_from_record, spec_to_record
from peathall.protocol.state_service import Delete, KeyValue, Put
from peathall.store.errors import ConflictError, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")


class CapacityKeeper(Protocol):
    """Finds and reserves capacity on machines: the placement slice."""

    async def reserve(self, spec: JobSpec, until: float) -> bool:
        """Reserve capacity for the whole job until then (steady time); False if there is none."""

    def release(self, spec: JobSpec) -> None:
        """Free the capacity that is still reserved for the job."""

    def request_round(self) -> None:
        """Something may start now."""


class TaskStopper(Protocol):
    """Stops the tasks of a job: the workers slice, by way of the leader."""

    def stop_all(self, job: Job) -> None:
        """Every response from now on stops them, and start commands on their way are refused."""


class BorrowedJobs:
    """All jobs that this cell has borrowed, in one term."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        capacity: CapacityKeeper,
        tasks: TaskStopper,
        clock: Callable[[], float],
        on_change: Callable[[str], None],
        knows: Callable[[str], bool],
    ) -> None:
        self.cluster = cluster
        self.params = params
        self.writer = writer
        self.capacity = capacity
        self.tasks = tasks
        self.clock = clock  # steady time
        self.on_change = on_change  # called with a home that is to get a heartbeat soon
        self.knows = knows  # whether a user of this cell submitted a job of that name
        self.borrowed: dict[str, BorrowedJob] = {}
        self.reserving: dict[str, JobSpec] = {}  # offers in progress
        self.background = BackgroundTasks()

    # --- records -------------------------------------------------------------
    def load(self, items: list[KeyValue], now: float) -> None:
        """Recover after failover, before the records of rounds are read: what is borrowed is on
        hold until its home has granted it to this leader."""
        for item in items:
            self.writer.versions[item.key] = item.version
            record = msgspec.convert(item.value, BorrowedRecord)
            job = self._new_job(spec_from_record(record.job), now)
            borrowed = BorrowedJob(record.home, record.epoch, record.phase, job, now)
            self.borrowed[job.spec.id] = borrowed
            if record.phase is not BorrowPhase.RESERVED:
                self.cluster.jobs[job.spec.id] = job
            if record.phase is BorrowPhase.ENDED:
                job.mark_all_done()
                job.enter(JobPhase.DONE)

    @staticmethod
    def _new_job(spec: JobSpec, now: float) -> Job:
        job = Job(spec, now)
        job.borrowed = job.on_hold = True
        return job

    def hold_unconfirmed(self, now: float) -> None:
        """After failover: stop the tasks of jobs that were not granted to this leader."""
        for borrowed in self.borrowed.values():
            if not borrowed.may_run(now):
                self._stop_tasks(borrowed)

    async def _store(self, borrowed: BorrowedJob, phase: BorrowPhase) -> bool:
        """Store the next phase; only then is it entered and named in heartbeats."""
        record = BorrowedRecord(borrowed.epoch, borrowed.home, phase, spec_to_record(borrowed.spec))
        return await self._commit(borrowed, Put(borrowed.key, struct_to_builtins(record)), phase)

    async def _commit(self, borrowed: BorrowedJob, op: Put | Delete, phase: BorrowPhase) -> bool:
        conditions: dict[str, int] = {}
        if phase is BorrowPhase.RESERVED:
            # A job of our own users, accepted by whatever controller, is never borrowed as well.
            conditions = {
                records.SINGLE_JOB_PREFIX + borrowed.spec.id: 0,
                records.ARCHIVE_PREFIX + borrowed.spec.id: 0,
            }
        borrowed.storing = True
        try:
            await self.writer.submit([op], conditions)
        except (StoreError, ConflictError) as exc:
            log.info("job %s: phase %s is not stored: %s", borrowed.spec.id, phase.name, exc)
            return False
        finally:
            borrowed.storing = False
        borrowed.enter(phase)
        self.on_change(borrowed.home)
        return True

    # --- reserving -----------------------------------------------------------
    async def reserve(self, offer: HandoffOffer) -> str | None:
        """Reserve capacity for an offered job. The reason why not, or None once that is stored."""
        spec = spec_from_record(offer.job)
        known = self.borrowed.get(spec.id)
        if known is not None:
            if offer.epoch < known.epoch:
                raise ReplacedError(f"{spec.id} was offered anew since")
            if offer.epoch == known.epoch and known.phase is BorrowPhase.RESERVED:
                return None  # a repeated offer
            return "an earlier handoff of it is not over here"
        reason = self._rejection_reason(spec)
        if reason is not None:
            return reason
        self.reserving[spec.id] = spec
        try:
            return await self._reserve(offer, spec)
        finally:
            del self.reserving[spec.id]

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        if self.knows(spec.id):
            return "a job of this name is known here"
        if spec.id in self.reserving:
            return "an offer of it is being looked at"
        if len(self.borrowed) + len(self.reserving) >= constants.CELL_BORROWED_MOST:
            return "too many jobs are borrowed already"
        if not self.cluster.types:
            return "its machine types are not known here yet"
        reason = rejection_reason(spec, self.cluster.types, self.params)
        if reason is not None:
            return reason
        team = next(team for team in self.params.teams if team.name == spec.team)
        taken = [*(borrowed.spec for borrowed in self.borrowed.values()), *self.reserving.values()]
        return quota_conflict(spec, taken, team)

    async def _reserve(self, offer: HandoffOffer, spec: JobSpec) -> str | None:
        if not await self.capacity.reserve(spec, self.clock() + constants.CELL_RESERVATION_S):
            return "no room"
        now = self.clock()
        borrowed = BorrowedJob(
            offer.cell, offer.epoch, BorrowPhase.RESERVED, self._new_job(spec, now), now
        )
        if not await self._store(borrowed, BorrowPhase.RESERVED):
            self.capacity.release(spec)
            return "the reservation could not be stored"
        self.borrowed[spec.id] = borrowed
        if self.knows(spec.id):
            self._revoke(borrowed)  # accepted from a user of this cell meanwhile
            return "a job of this name is known here"
        return None

    # --- heartbeats to homes -------------------------------------------------
    def statuses(self, home: str) -> list[BorrowedJobStatus]:
        """The status of every job borrowed from that home."""
        return [borrowed.status() for borrowed in self.borrowed.values() if borrowed.home == home]

    def pending(self, home: str) -> bool:
        """Whether a reservation waits for a grant of that home."""
        return any(
            borrowed.home == home and borrowed.phase is BorrowPhase.RESERVED
            for borrowed in self.borrowed.values()
        )

    def apply_ruling(self, home: str, ruling: Ruling, sent: float) -> None:
        """Apply the home's ruling in response to a heartbeat sent at this steady time."""
        borrowed = self.borrowed.get(ruling.job)
        if borrowed is None or (borrowed.home, borrowed.epoch) != (home, ruling.epoch):
            return
        if ruling.verdict is Verdict.REVOKED:
            self._revoke(borrowed)
        elif ruling.verdict is Verdict.GRANTED and not borrowed.revoked:
            if borrowed.lease is None:
                borrowed.lease = HeldLease(ruling.lease_s, sent)
            borrowed.lease.record_renewal(sent)
            borrowed.job.start_deadline = borrowed.lease.until
            if borrowed.phase is BorrowPhase.RESERVED:
                self._adopt(borrowed)
            self._allow_start(borrowed)

    def _adopt(self, borrowed: BorrowedJob) -> None:
        if not borrowed.storing:
            self.background.spawn(self._store_adopted(borrowed))

    async def _store_adopted(self, borrowed: BorrowedJob) -> None:
        if await self._store(borrowed, BorrowPhase.ADOPTED):
            borrowed.unplaced_since = borrowed.job.idle_since = self.clock()
            self.cluster.jobs[borrowed.spec.id] = borrowed.job
            self._allow_start(borrowed)

    def _allow_start(self, borrowed: BorrowedJob) -> None:
        if borrowed.phase is BorrowPhase.ADOPTED and borrowed.may_run(self.clock()):
            borrowed.job.on_hold = False
            self.capacity.request_round()

    def _revoke(self, borrowed: BorrowedJob) -> None:
        borrowed.revoked = True
        self._stop_tasks(borrowed)
        self._release_if_gone(borrowed)

    def _stop_tasks(self, borrowed: BorrowedJob) -> None:
        """Put the job on hold and stop its tasks, as for a cancelled job."""
        borrowed.job.on_hold = True
        self.tasks.stop_all(borrowed.job)

    def _release_if_gone(self, borrowed: BorrowedJob) -> None:
        if borrowed.revoked and not borrowed.job.attempts and not borrowed.storing:
            self.background.spawn(self._release(borrowed))

    async def _release(self, borrowed: BorrowedJob) -> None:
        if borrowed.storing or borrowed.phase is BorrowPhase.RELEASED:
            return
        if not await self._commit(borrowed, Delete(borrowed.key), BorrowPhase.RELEASED):
            return  # retried with the next tick
        del self.borrowed[borrowed.spec.id]
        self.cluster.jobs.pop(borrowed.spec.id, None)
        self.capacity.release(borrowed.spec)
        for key in borrowed.job.done_keys:
            self.writer.defer_delete(key)

    # --- its end -------------------------------------------------------------
    def finish(self, job: Job) -> None:
        """All of its tasks are done: store that, then tell its home with a heartbeat."""
        borrowed = self.borrowed[job.spec.id]
        if borrowed.phase is BorrowPhase.ADOPTED and not borrowed.storing and not borrowed.revoked:
            self.background.spawn(self._finish(borrowed))

    async def _finish(self, borrowed: BorrowedJob) -> None:
        if await self._store(borrowed, BorrowPhase.ENDED):
            borrowed.job.enter(JobPhase.DONE)

    # --- time ----------------------------------------------------------------
    def stop_expired(self, now: float) -> None:
        """Called before every response to a machine: stop what our leases no longer cover."""
        for borrowed in self.borrowed.values():
            if not borrowed.job.on_hold and not borrowed.may_run(now):
                log.info("job %s: our lease has expired (home %s)", borrowed.spec.id, borrowed.home)
                self._stop_tasks(borrowed)
                self.on_change(borrowed.home)

    def tick(self, now: float) -> None:
        """Once a second: expired leases, reservations without a grant, jobs that are not placed."""
        self.stop_expired(now)
        for borrowed in self.borrowed.values():
            if borrowed.job.attempts:
                borrowed.unplaced_since = now
            elif (
                not borrowed.revoked and now - borrowed.unplaced_since > PATIENCE_S[borrowed.phase]
            ):
                log.info(
                    "job %s: given back, not placed in time (home %s)",
                    borrowed.spec.id,
                    borrowed.home,
                )
                self._revoke(borrowed)
            self._release_if_gone(borrowed)

    def counts(self) -> Counter[str]:
        """How many jobs are borrowed from each home."""
        return Counter(borrowed.home for borrowed in self.borrowed.values())

    def close(self) -> None:
        """The term is over."""
        self.background.close()
