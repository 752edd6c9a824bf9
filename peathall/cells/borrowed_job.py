"""One job of another cell, as the borrower knows it."""

from __future__ import annotations

import logging

from peathall import constants
from peathall.cells.model import BorrowedJobStatus, BorrowPhase
from peathall.cluster.job import Job
from peathall.jobs.records import BORROWED_PREFIX
from peathall.leadership.lease import HeldLease
from peathall.protocol.jobs import JobSpec

log = logging.getLogger("peathall.cells")

ALLOWED_TRANSITIONS = {
    BorrowPhase.RESERVED: {BorrowPhase.ADOPTED, BorrowPhase.RELEASED},
    BorrowPhase.ADOPTED: {BorrowPhase.ENDED, BorrowPhase.RELEASED},
    BorrowPhase.ENDED: {BorrowPhase.RELEASED},
    BorrowPhase.RELEASED: set(),
}

# A borrowed job without attempts here is given back after so long in its phase.
PATIENCE_S = {
    BorrowPhase.RESERVED: constants.CELL_RESERVATION_S,
    BorrowPhase.ADOPTED: constants.CELL_UNPLACED_S,
    BorrowPhase.ENDED: constants.CELL_ENDED_S,
}


class BorrowedJob:
    """A job of another cell, its phase here, and our lease on it."""

    __slots__ = ("epoch", "home", "job", "lease", "phase", "revoked", "storing", "unplaced_since")

    def __init__(self, home: str, epoch: int, phase: BorrowPhase, job: Job, now: float) -> None:
        self.home = home
        self.epoch = epoch
        self.phase = phase
        self.job = job
        self.lease: HeldLease | None = None  # in memory only: each leader gets one of its own
        self.revoked = False  # for good, by its home or by this cell
        self.storing = False  # its record is being written
        self.unplaced_since = now  # no task of it has been placed since then

    @property
    def spec(self) -> JobSpec:
        """The job's description."""
        return self.job.spec

    @property
    def key(self) -> str:
        """Key of its record."""
        return BORROWED_PREFIX + self.spec.id

    def enter(self, phase: BorrowPhase) -> None:
        """The one way to change the phase; RELEASED is final."""
        if phase in ALLOWED_TRANSITIONS[self.phase]:
            job_id, before = self.spec.id, self.phase.name
            log.info("job %s: borrowed %s -> %s (home %s)", job_id, before, phase.name, self.home)
            self.phase = phase

    def may_run(self, now: float) -> bool:
        """Whether a task of it may start now."""
        return not self.revoked and self.lease is not None and self.lease.is_valid(now)

    def status(self) -> BorrowedJobStatus:
        """What heartbeats to its home say of it."""
        stopping = self.job.on_hold and self.phase is not BorrowPhase.RESERVED
        return BorrowedJobStatus(self.spec.id, self.epoch, self.phase, stopping, self.job.running)
