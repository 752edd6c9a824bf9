"""Jobs and attempts as the leader knows them."""

from __future__ import annotations

import asyncio
import math
from enum import Enum, auto

from peathall.cluster.ranges import Ranges
from peathall.protocol.jobs import JobSpec, JobStatus


class JobPhase(Enum):
    """From accepted to over."""

    ACTIVE = auto()  # accepted, with work left
    CANCELLING = auto()  # its user wants it cancelled, which is being stored: nothing starts
    CANCELLED = auto()  # cancellation stored; attempts may still be on machines
    DONE = auto()  # every task stored as done; attempts may still be on machines


class JobHealth(Enum):
    """Whether a job's failures are likely to be its own fault."""

    UNKNOWN = auto()  # nothing of it has gone well yet, nor failed in several places
    HEALTHY = auto()  # it has gone well somewhere
    FAILING = auto()  # failed in several places, went well in none: perhaps a mistake in it


class AttemptPhase(Enum):
    """From booked to proven gone."""

    PLANNED = auto()  # room is taken, the intent is not stored yet
    INTENDED = auto()  # stored; the start may go out
    SENT = auto()  # a start order went out, or may have gone out in an earlier term
    FETCHING = auto()
    WAITING = auto()  # gang task waiting for the others
    RUNNING = auto()
    CHECKPOINTING = auto()
    GONE = auto()  # surely not on the machine; its room is free


class Attempt:
    """One start of one task on one machine. It takes room until it is GONE."""

    __slots__ = (
        "epoch",
        "grace_s",
        "job",
        "last_status",
        "machine",
        "number",
        "phase",
        "round_key",
        "since",
        "stopping",
        "task",
    )

    def __init__(self, job: Job, task: int, number: int, machine: str, round_key: str) -> None:
        self.job = job
        self.task = task
        self.number = number
        self.machine = machine
        self.round_key = round_key
        self.phase = AttemptPhase.PLANNED
        self.stopping = False
        self.grace_s = 0.0
        self.epoch = 0  # the worker's session in which it was sent or seen; 0: not known
        self.since = 0.0
        self.last_status: object = None  # what its machine last reported of it

    def enter(self, phase: AttemptPhase, now: float) -> None:
        """The one way to change the phase; GONE is never left."""
        if phase is not self.phase and self.phase is not AttemptPhase.GONE:
            self.phase = phase
            self.since = now

    @property
    def running(self) -> bool:
        """Its machine reports it as running."""
        return self.phase is AttemptPhase.RUNNING

    @property
    def is_leaving(self) -> bool:
        """Its room will be free before long: it is being stopped, or its job is over."""
        return self.stopping or self.job.phase is not JobPhase.ACTIVE


class Job:
    """One job of a user, with its tasks and their attempts."""

    __slots__ = (
        "attempts",
        "backoff_until",
        "borrowed",
        "consecutive_failures",
        "done",
        "done_keys",
        "failed_on",
        "final_record_key",
        "finalizing",
        "has_started",
        "health",
        "idle_since",
        "last_failed_attempt",
        "longest_failed_run_s",
        "on_hold",
        "pending",
        "phase",
        "record_key",
        "running_remotely",
        "spec",
        "start_deadline",
        "started_late",
        "stored_done",
        "write_pending",
    )

    def __init__(self, spec: JobSpec, now: float = 0.0) -> None:
        self.spec = spec
        self.on_hold = False  # nothing of it may start here: another cell may run it, or its lease
        # on this one has ended
        self.start_deadline = math.inf  # steady time from which no start order of it may leave
        self.borrowed = False  # another cell's users submitted it there
        self.running_remotely = 0  # tasks that run in another cell, as it last told
        self.started_late = False  # it was started only once it had aged
        self.has_started = False  # a task of it has run, as far as is known
        self.idle_since = now  # steady time since which none of its tasks has a place
        self.phase = JobPhase.ACTIVE
        self.done = Ranges()  # reported done, perhaps not stored yet
        self.done_keys: set[str] = set()  # of the records of done tasks
        self.stored_done = Ranges()  # those of them that are in the state service
        self.pending = Ranges([(0, spec.tasks)])  # neither done nor attempted
        self.attempts: dict[int, Attempt] = {}
        self.health = JobHealth.UNKNOWN
        self.failed_on: dict[str, float] = {}  # machines on which it failed, and when, in order
        self.longest_failed_run_s = 0.0  # seconds for which its tasks ran at most until they failed
        self.consecutive_failures = 0  # starts that failed since it was last known to go well
        self.last_failed_attempt = 0  # the latest of them
        self.backoff_until = 0.0
        self.record_key = ""  # key of the record that holds it
        self.final_record_key = ""  # key of the record that holds its final state
        self.write_pending = False  # done ranges are on their way to the store
        self.finalizing: asyncio.Future[str] | None = None  # its final state is on its way there

    def enter(self, phase: JobPhase) -> None:
        """A final phase is never left; what is being cancelled is only cancelled."""
        if self.phase is JobPhase.ACTIVE or (
            self.phase is JobPhase.CANCELLING and phase is JobPhase.CANCELLED
        ):
            self.phase = phase

    @property
    def is_final(self) -> bool:
        """Its final state is stored."""
        return self.phase in (JobPhase.CANCELLED, JobPhase.DONE)

    def set_health(self, health: JobHealth) -> None:
        """The one way to change the trust."""
        self.health = health

    @property
    def status(self) -> JobStatus:
        """What its user is told."""
        if self.phase is JobPhase.DONE:
            return JobStatus.DONE
        if self.phase is JobPhase.CANCELLED:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if self.running else JobStatus.QUEUED

    @property
    def running(self) -> int:
        """How many of its tasks run."""
        here = sum(1 for attempt in self.attempts.values() if attempt.running)
        return here + self.running_remotely

    def mark_done(self, task: int) -> bool:
        """True if this is news."""
        if task in self.done or not 0 <= task < self.spec.tasks:
            return False
        self.done.add(task)
        self.pending.remove(task)
        return True

    def mark_all_done(self) -> None:
        """Every task counts as done."""
        self.done.add(0, self.spec.tasks)
        self.pending = Ranges()

    def requeue(self, task: int) -> None:
        """An attempt of the task is gone: unless it is done, it waits again."""
        if task not in self.done:
            self.pending.add(task)
