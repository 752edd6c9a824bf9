"""The borrowing cell's side of handoffs: capacity reservations, adopted jobs, and their end.

A borrowed job runs only while this cell's lease on it is valid. The lease is not stored: a new
leader has none until its home cell has granted one in response to a heartbeat. When the lease
expires or is revoked, the job is put on hold: no task of it starts, and every further response to
a machine stops its tasks, as for a cancelled job. The record of the job is deleted once no task of
it can exist here; until then every heartbeat to the home cell names the job.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from peathall import constants
from peathall.cells.borrowed_job import RELEASE_TIMEOUT_S, BorrowedJob
from peathall.cells.errors import StaleMessageError
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
from peathall.protocol.codec import json_size, struct_to_builtins
from peathall.protocol.jobs import JobSpec, spec_from_record, spec_to_record
from peathall.protocol.state_service import Delete, KeyValue, Put
from peathall.store.errors import ConflictError, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")


def _to_record(epoch: int, home: str, phase: BorrowPhase, spec: JobSpec) -> Any:
    """The stored value for a borrowed job. No phase has a longer name than RESERVED."""
    return struct_to_builtins(BorrowedRecord(epoch, home, phase, spec_to_record(spec)))


class CapacityReserver(Protocol):
    """Finds and reserves capacity on machines; implemented by the placement component."""

    async def reserve(self, spec: JobSpec, until: float) -> bool:
        """Reserve capacity for all tasks of the job until `until` (monotonic time); return whether
        there was enough."""

    def release(self, spec: JobSpec) -> None:
        """Free the capacity that is still reserved for the job."""

    def request_round(self) -> None:
        """Request a scheduling round: tasks that could not start before may start now."""


class TaskStopper(Protocol):
    """Stops the tasks of a job; implemented by the leader with its workers component."""

    def stop_all(self, job: Job) -> None:
        """Stop the job's tasks in every response to a machine from now on, and make machines refuse
        start commands that are still in flight."""


class BorrowedJobs:
    """All jobs that this cell has borrowed, during one leader term."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        capacity: CapacityReserver,
        tasks: TaskStopper,
        clock: Callable[[], float],
        request_heartbeat: Callable[[str], None],
        submitted_here: Callable[[str], bool],
    ) -> None:
        self.cluster = cluster
        self.params = params
        self.writer = writer
        self.capacity = capacity
        self.tasks = tasks
        self.clock = clock  # monotonic time
        self.request_heartbeat = request_heartbeat  # sends the home cell of this name one soon
        self.submitted_here = submitted_here  # whether a user of this cell submitted the job id
        self.borrowed: dict[str, BorrowedJob] = {}
        self.reserving: dict[str, JobSpec] = {}  # jobs whose offers are in progress
        self.background = BackgroundTasks()

    # --- records -------------------------------------------------------------
    def load(self, items: list[KeyValue], now: float) -> None:
        """Recover borrowed jobs after failover, before the records of rounds are read. They stay on
        hold until their home cells have granted this leader a lease."""
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

    def stop_without_lease(self, now: float) -> None:
        """After failover, stop the tasks of jobs on which this leader got no lease."""
        for borrowed in self.borrowed.values():
            if not borrowed.may_run(now):
                self._stop_tasks(borrowed)

    async def _store(self, borrowed: BorrowedJob, phase: BorrowPhase) -> bool:
        """Store the next phase, then enter it; heartbeats name a phase only once it is stored."""
        record = _to_record(borrowed.epoch, borrowed.home, phase, borrowed.spec)
        return await self._commit(borrowed, Put(borrowed.key, record), phase)

    async def _commit(self, borrowed: BorrowedJob, op: Put | Delete, phase: BorrowPhase) -> bool:
        conditions: dict[str, int] = {}
        if phase is BorrowPhase.RESERVED:
            # A job that any controller of this cell accepted from a user is never borrowed as well.
            conditions = {
                records.SINGLE_JOB_PREFIX + borrowed.spec.id: 0,
                records.ARCHIVE_PREFIX + borrowed.spec.id: 0,
            }
        borrowed.storing = True
        try:
            await self.writer.submit([op], conditions)
        except (StoreError, ConflictError) as exc:
            log.info("job %s: borrowed phase %s not stored: %s", borrowed.spec.id, phase.name, exc)
            return False
        finally:
            borrowed.storing = False
        borrowed.enter(phase)
        self.request_heartbeat(borrowed.home)
        return True

    # --- reserving -----------------------------------------------------------
    async def reserve(self, offer: HandoffOffer) -> str | None:
        """Reserve capacity for an offered job and store that. Return None, or the reason why
        nothing was reserved."""
        spec = spec_from_record(offer.job)
        known = self.borrowed.get(spec.id)
        if known is not None:
            if offer.epoch < known.epoch:
                raise StaleMessageError(f"{spec.id} was offered anew since")
            if offer.epoch == known.epoch and known.phase is BorrowPhase.RESERVED:
                return None  # the same offer, sent again
            return "an earlier handoff of it is not over here"
        reason = self._rejection_reason(spec) or self._size_reason(offer, spec)
        if reason is not None:
            return reason
        self.reserving[spec.id] = spec
        try:
            return await self._reserve(offer, spec)
        finally:
            del self.reserving[spec.id]

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        if self.submitted_here(spec.id):
            return "a job of this name is known here"
        if spec.id in self.reserving:
            return "an offer of it is being looked at"
        if len(self.borrowed) + len(self.reserving) >= constants.CELL_MAX_BORROWED_JOBS:
            return "too many jobs are borrowed already"
        if not self.cluster.types:
            return "its machine types are not known here yet"
        reason = rejection_reason(spec, self.cluster.types, self.params)
        if reason is not None:
            return reason
        team = next(team for team in self.params.teams if team.name == spec.team)
        taken = [*(borrowed.spec for borrowed in self.borrowed.values()), *self.reserving.values()]
        return quota_conflict(spec, taken, team)

    def _size_reason(self, offer: HandoffOffer, spec: JobSpec) -> str | None:
        """The reason if the record of the job would be too large for this cell's state service,
        whose limits may be lower than those of the home cell."""
        record = _to_record(offer.epoch, offer.cell, BorrowPhase.RESERVED, spec)
        if json_size(record) > self.writer.value_limit:
            return "its description is too large for the state service here"
        return None

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
        if self.submitted_here(spec.id):
            self._revoke(borrowed)  # a user submitted the job here in the meantime
            return "a job of this name is known here"
        return None

    # --- heartbeats to home cells --------------------------------------------
    def statuses(self, home: str) -> list[BorrowedJobStatus]:
        """The status of every job borrowed from that home cell."""
        return [borrowed.status() for borrowed in self.borrowed.values() if borrowed.home == home]

    def awaits_grant(self, home: str) -> bool:
        """Whether a job of that home cell is reserved, but not granted yet."""
        return any(
            borrowed.home == home and borrowed.phase is BorrowPhase.RESERVED
            for borrowed in self.borrowed.values()
        )

    def apply_ruling(self, home: str, ruling: Ruling, sent: float) -> None:
        """Apply a ruling of the home cell. `sent` is the monotonic time at which the heartbeat that
        it responds to was sent."""
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
            return  # the next tick retries
        del self.borrowed[borrowed.spec.id]
        self.cluster.jobs.pop(borrowed.spec.id, None)
        self.capacity.release(borrowed.spec)
        for key in borrowed.job.done_keys:
            self.writer.defer_delete(key)

    # --- completion ----------------------------------------------------------
    def finish(self, job: Job) -> None:
        """All tasks of the job are done: store that, then report it to the home cell."""
        borrowed = self.borrowed[job.spec.id]
        if borrowed.phase is BorrowPhase.ADOPTED and not borrowed.storing and not borrowed.revoked:
            self.background.spawn(self._finish(borrowed))

    async def _finish(self, borrowed: BorrowedJob) -> None:
        if await self._store(borrowed, BorrowPhase.ENDED):
            borrowed.job.enter(JobPhase.DONE)

    # --- time ----------------------------------------------------------------
    def stop_expired(self, now: float) -> None:
        """Stop jobs whose leases are no longer valid. Called before every response to a machine."""
        for borrowed in self.borrowed.values():
            if not borrowed.job.on_hold and not borrowed.may_run(now):
                log.info(
                    "job %s: lease expired, stopping its tasks (home cell %s)",
                    borrowed.spec.id,
                    borrowed.home,
                )
                self._stop_tasks(borrowed)
                self.request_heartbeat(borrowed.home)

    def tick(self, now: float) -> None:
        """Handle expired leases, reservations that were not granted, and jobs that could not be
        placed. Called once a second."""
        self.stop_expired(now)
        for borrowed in self.borrowed.values():
            if borrowed.job.attempts:
                borrowed.unplaced_since = now
            elif (
                not borrowed.revoked
                and now - borrowed.unplaced_since > RELEASE_TIMEOUT_S[borrowed.phase]
            ):
                log.info(
                    "job %s: timed out without an attempt here, returning it to home cell %s",
                    borrowed.spec.id,
                    borrowed.home,
                )
                self._revoke(borrowed)
            self._release_if_gone(borrowed)

    def counts_by_home(self) -> Counter[str]:
        """How many jobs are borrowed from each home cell."""
        return Counter(borrowed.home for borrowed in self.borrowed.values())

    def close(self) -> None:
        """Cancel background work at the end of the term."""
        self.background.close()
