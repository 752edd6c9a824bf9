"""The borrower's side of handoffs: reserved room, adopted jobs, and their end.

A borrowed job runs only while our lease on it lives. The lease is in memory alone: a new leader
holds none until a heartbeat of its own was granted. Once it has lapsed, or was revoked, the job is
*held*: nothing of it starts, and every answer to a machine from then on tells its tasks to stop, as
for a cancelled job. Its record is dropped once no task of it can exist here; until then every
heartbeat names it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import msgspec

from peathall import constants
from peathall.cells.model import (
    BORROWED,
    BorrowedItem,
    BorrowedRecord,
    BorrowPhase,
    Offer,
    Ruling,
    Verdict,
    to_value,
)
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs import records
from peathall.jobs.admission import rejection_reason
from peathall.jobs.background import BackgroundTasks
from peathall.leadership.lease import LeaderLease
from peathall.protocol.jobs import JobSpec, spec_from_record, spec_to_record
from peathall.store.client import ConflictError, Delete, KeyValue, Put, StoreError
from peathall.store.writer import Writer

log = logging.getLogger("peathall.cells")

MAY_FOLLOW = {
    BorrowPhase.RESERVED: {BorrowPhase.ADOPTED, BorrowPhase.RELEASED},
    BorrowPhase.ADOPTED: {BorrowPhase.ENDED, BorrowPhase.RELEASED},
    BorrowPhase.ENDED: {BorrowPhase.RELEASED},
    BorrowPhase.RELEASED: set(),
}


# A borrowed job of which nothing is here for so long goes back; so does one whose lease has lapsed.
PATIENCE_S = {
    BorrowPhase.RESERVED: constants.CELL_RESERVATION_S,
    BorrowPhase.ADOPTED: constants.CELL_UNPLACED_S,
    BorrowPhase.ENDED: constants.CELL_ENDED_S,
}


class ReplacedError(Exception):
    """A message of an epoch or order that a later one has replaced."""


class CapacityKeeper(Protocol):
    """Who finds and keeps room on machines."""

    async def reserve(self, spec: JobSpec, until: float) -> bool:
        """Keep room for the whole job until then; False without."""

    def release(self, spec: JobSpec) -> None:
        """The room that is still kept is free again."""

    def request_round(self) -> None:
        """Something may start."""


class TaskStopper(Protocol):
    """Who ends tasks."""

    def stop_all(self, job: Job) -> None:
        """Every answer from now on ends them, and starts under way are refused."""


class BorrowedJob:
    """A job of another cell."""

    __slots__ = ("epoch", "home", "job", "lease", "phase", "revoked", "storing", "unplaced_since")

    def __init__(self, home: str, epoch: int, phase: BorrowPhase, job: Job, now: float) -> None:
        self.home = home
        self.epoch = epoch
        self.phase = phase
        self.job = job
        self.lease: LeaderLease | None = None
        self.revoked = False  # for good, by its home or by us
        self.storing = False  # its record is being written
        self.unplaced_since = now  # no task of it has had a place since then

    @property
    def spec(self) -> JobSpec:
        """Of the job."""
        return self.job.spec

    @property
    def key(self) -> str:
        """Of its record."""
        return BORROWED + self.spec.id

    def enter(self, phase: BorrowPhase) -> None:
        """The one way to change the phase; RELEASED is never left."""
        if phase in MAY_FOLLOW[self.phase]:
            log.info("job %s of %s: %s -> %s", self.spec.id, self.home, self.phase.name,
                     phase.name)  # fmt: skip
            self.phase = phase

    def may_run(self, now: float) -> bool:
        """Whether something of it may start now."""
        return not self.revoked and self.lease is not None and self.lease.is_valid(now)

    def item(self) -> BorrowedItem:
        """As it is told to its home."""
        stopping = self.job.on_hold and self.phase is not BorrowPhase.RESERVED
        return BorrowedItem(self.spec.id, self.epoch, self.phase, stopping, self.job.running)


class BorrowedJobs:
    """All jobs that this cell has borrowed, in one term."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        room: CapacityKeeper,
        tasks: TaskStopper,
        clock: Callable[[], float],
        on_news: Callable[[str], None],
        knows: Callable[[str], bool],
    ) -> None:
        self.cluster = cluster
        self.params = params
        self.writer = writer
        self.room = room
        self.tasks = tasks
        self.clock = clock  # steady time
        self.on_news = on_news  # that home is to hear of something soon
        self.knows = knows  # whether a job of that name is this cell's own
        self.borrowed: dict[str, BorrowedJob] = {}
        self.reserving: dict[str, JobSpec] = {}  # offers that are being looked at
        self.background = BackgroundTasks()

    # --- records -------------------------------------------------------------
    def load(self, items: list[KeyValue], now: float) -> None:
        """After a take-over, before the records of rounds: what is borrowed, held until its home
        has granted it to this leader."""
        for item in items:
            self.writer.versions[item.key] = item.version
            record = msgspec.convert(item.value, BorrowedRecord)
            job = self._new_job(spec_from_record(record.job), now)
            held = BorrowedJob(record.home, record.epoch, record.phase, job, now)
            self.borrowed[job.spec.id] = held
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
        """After a take-over: tasks of jobs that were not granted to us end."""
        for held in self.borrowed.values():
            if not held.may_run(now):
                self._halt(held)

    async def _store(self, held: BorrowedJob, phase: BorrowPhase) -> bool:
        """Store the next phase; only then is it entered, and told."""
        record = BorrowedRecord(held.epoch, held.home, phase, spec_to_record(held.spec))
        return await self._commit(held, Put(held.key, to_value(record)), phase)

    async def _commit(self, held: BorrowedJob, op: Put | Delete, phase: BorrowPhase) -> bool:
        conditions: dict[str, int] = {}
        if phase is BorrowPhase.RESERVED:
            # A job of our own users, accepted by whatever controller, is never borrowed as well.
            conditions = {records.JOB + held.spec.id: 0, records.PAST + held.spec.id: 0}
        held.storing = True
        try:
            await self.writer.submit([op], conditions)
        except (StoreError, ConflictError) as exc:
            log.info("%s of %s is not stored: %s", phase.name, held.spec.id, exc)
            return False
        finally:
            held.storing = False
        held.enter(phase)
        self.on_news(held.home)
        return True

    # --- reserving -----------------------------------------------------------
    async def reserve(self, offer: Offer) -> str | None:
        """Keep room for an offered job. Why not, or None once the reservation is stored."""
        spec = spec_from_record(offer.job)
        known = self.borrowed.get(spec.id)
        if known is not None:
            if offer.epoch < known.epoch:
                raise ReplacedError(f"{spec.id} was offered anew since")
            if offer.epoch == known.epoch and known.phase is BorrowPhase.RESERVED:
                return None  # a repetition
            return "an earlier handoff of it is not over here"
        why = self._why_not(spec)
        if why is not None:
            return why
        self.reserving[spec.id] = spec
        try:
            return await self._reserve(offer, spec)
        finally:
            del self.reserving[spec.id]

    def _why_not(self, spec: JobSpec) -> str | None:
        if self.knows(spec.id):
            return "a job of this name is known here"
        if spec.id in self.reserving:
            return "an offer of it is being looked at"
        if len(self.borrowed) + len(self.reserving) >= constants.CELL_BORROWED_MOST:
            return "too many jobs are borrowed already"
        if not self.cluster.types:
            return "its machine types are not known here yet"
        return rejection_reason(spec, self.cluster.types, self.params) or self._takes_guarantee(
            spec
        )

    def _takes_guarantee(self, spec: JobSpec) -> str | None:
        """A team's own guarantee here stays free of what its other cells hand over."""
        team = next(team for team in self.params.teams if team.name == spec.team)
        taken = [*(held.spec for held in self.borrowed.values()), *self.reserving.values()]
        others = [other for other in taken if other.team == spec.team]
        for kind, most, kept in (("cpus", team.cpus_max, team.cpus),
                                 ("gpus", team.gpus_max, team.gpus)):  # fmt: skip
            used = sum(getattr(other, kind) * other.tasks for other in [*others, spec])
            if most and used > most - kept:
                return "it would use what its team is guaranteed here"
        return None

    async def _reserve(self, offer: Offer, spec: JobSpec) -> str | None:
        if not await self.room.reserve(spec, self.clock() + constants.CELL_RESERVATION_S):
            return "no room"
        now = self.clock()
        held = BorrowedJob(
            offer.cell, offer.epoch, BorrowPhase.RESERVED, self._new_job(spec, now), now
        )
        if not await self._store(held, BorrowPhase.RESERVED):
            self.room.release(spec)
            return "the reservation could not be stored"
        self.borrowed[spec.id] = held
        if self.knows(spec.id):
            self._revoke(held)  # accepted from a user of ours meanwhile
            return "a job of this name is known here"
        return None

    # --- what homes say ------------------------------------------------------
    def items(self, home: str) -> list[BorrowedItem]:
        """All that is borrowed from there."""
        return [held.item() for held in self.borrowed.values() if held.home == home]

    def pending(self, home: str) -> bool:
        """Whether a reservation waits for its grant."""
        return any(
            held.home == home and held.phase is BorrowPhase.RESERVED
            for held in self.borrowed.values()
        )

    def rule(self, home: str, ruling: Ruling, sent: float) -> None:
        """The home's answer to a heartbeat that was sent at this time."""
        held = self.borrowed.get(ruling.job)
        if held is None or (held.home, held.epoch) != (home, ruling.epoch):
            return
        if ruling.verdict is Verdict.REVOKED:
            self._revoke(held)
        elif ruling.verdict is Verdict.GRANTED and not held.revoked:
            if held.lease is None:
                held.lease = LeaderLease(ruling.lease_s, sent)
            held.lease.record_renewal(sent)
            held.job.start_deadline = held.lease.until
            if held.phase is BorrowPhase.RESERVED:
                self._adopt(held)
            self._let_run(held)

    def _adopt(self, held: BorrowedJob) -> None:
        if not held.storing:
            self.background.spawn(self._store_adopted(held))

    async def _store_adopted(self, held: BorrowedJob) -> None:
        if await self._store(held, BorrowPhase.ADOPTED):
            held.unplaced_since = held.job.idle_since = self.clock()
            self.cluster.jobs[held.spec.id] = held.job
            self._let_run(held)

    def _let_run(self, held: BorrowedJob) -> None:
        if held.phase is BorrowPhase.ADOPTED and held.may_run(self.clock()):
            held.job.on_hold = False
            self.room.request_round()

    def _revoke(self, held: BorrowedJob) -> None:
        held.revoked = True
        self._halt(held)
        self._drop_if_gone(held)

    def _halt(self, held: BorrowedJob) -> None:
        """Nothing of it starts, and all of it is told to stop, as for a cancelled job."""
        held.job.on_hold = True
        self.tasks.stop_all(held.job)

    def _drop_if_gone(self, held: BorrowedJob) -> None:
        if held.revoked and not held.job.attempts and not held.storing:
            self.background.spawn(self._drop(held))

    async def _drop(self, held: BorrowedJob) -> None:
        if held.storing or held.phase is BorrowPhase.RELEASED:
            return
        if not await self._commit(held, Delete(held.key), BorrowPhase.RELEASED):
            return  # tried again with the next tick
        del self.borrowed[held.spec.id]
        self.cluster.jobs.pop(held.spec.id, None)
        self.room.release(held.spec)
        for key in held.job.done_keys:
            self.writer.defer_delete(key)

    # --- its end -------------------------------------------------------------
    def finish(self, job: Job) -> None:
        """All of its tasks are done: store that, then tell its home."""
        held = self.borrowed[job.spec.id]
        if held.phase is BorrowPhase.ADOPTED and not held.storing and not held.revoked:
            self.background.spawn(self._finish(held))

    async def _finish(self, held: BorrowedJob) -> None:
        if await self._store(held, BorrowPhase.ENDED):
            held.job.enter(JobPhase.DONE)

    # --- time ----------------------------------------------------------------
    def stop_lapsed(self, now: float) -> None:
        """Before any answer to a machine: what our lease no longer covers is told to stop."""
        for held in self.borrowed.values():
            if not held.job.on_hold and not held.may_run(now):
                log.info("our lease on %s of %s has lapsed", held.spec.id, held.home)
                self._halt(held)
                self.on_news(held.home)

    def tick(self, now: float) -> None:
        """Every second: leases, reservations that nobody granted, jobs that find no place."""
        self.stop_lapsed(now)
        for held in self.borrowed.values():
            if held.job.attempts:
                held.unplaced_since = now
            elif not held.revoked and now - held.unplaced_since > PATIENCE_S[held.phase]:
                log.info("job %s goes back to %s", held.spec.id, held.home)
                self._revoke(held)
            self._drop_if_gone(held)

    def counts(self) -> Counter[str]:
        """Jobs borrowed from each home."""
        return Counter(held.home for held in self.borrowed.values())

    def close(self) -> None:
        """The term is over."""
        self.background.close()
