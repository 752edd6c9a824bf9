"""One job of another cell, as the borrowing cell knows it."""

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

# Seconds without an attempt of the job in this cell after which it goes back to its home cell.
RELEASE_TIMEOUT_S = {
    BorrowPhase.RESERVED: constants.CELL_RESERVATION_S,
    BorrowPhase.ADOPTED: constants.CELL_UNPLACED_TIMEOUT_S,
    BorrowPhase.ENDED: constants.CELL_END_RETENTION_S,
}


class BorrowedJob:
    """A job of another cell, its phase in this cell, and this cell's lease on it."""

    __slots__ = ("epoch", "home", "job", "lease", "phase", "revoked", "storing", "unplaced_since")

    def __init__(self, home: str, epoch: int, phase: BorrowPhase, job: Job, now: float) -> None:
        self.home = home
        self.epoch = epoch
        self.phase = phase
        self.job = job
        self.lease: HeldLease | None = None  # not stored: each new leader requests its own
        self.revoked = False  # by the home cell or by this cell; never undone
        self.storing = False  # the record of the job is being written
        self.unplaced_since = now  # time since which the job has had no attempt here

    @property
    def spec(self) -> JobSpec:
        """The job's description."""
        return self.job.spec

    @property
    def key(self) -> str:
        """Key of the job's record in the state service."""
        return BORROWED_PREFIX + self.spec.id

    def enter(self, phase: BorrowPhase) -> None:
        """Change the phase, if ALLOWED_TRANSITIONS permits it. No other code sets the phase."""
        if phase in ALLOWED_TRANSITIONS[self.phase]:
            job_id, before = self.spec.id, self.phase.name
            log.info(
                "job %s: borrowed, phase %s -> %s (home cell %s)",
                job_id,
                before,
                phase.name,
                self.home,
            )
            self.phase = phase

    def may_run(self, now: float) -> bool:
        """Whether tasks of the job may start and run now."""
        return not self.revoked and self.lease is not None and self.lease.is_valid(now)

    def status(self) -> BorrowedJobStatus:
        """The job's entry in heartbeats to its home cell."""
        stopping = self.job.on_hold and self.phase is not BorrowPhase.RESERVED
        return BorrowedJobStatus(self.spec.id, self.epoch, self.phase, stopping, self.job.running)
