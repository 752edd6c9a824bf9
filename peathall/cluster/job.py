"""Jobs and their attempts in one leader term."""

from __future__ import annotations

import asyncio
import math
from enum import Enum, auto

from peathall.cluster.ranges import Ranges
from peathall.protocol.heartbeats import TaskStatus
from peathall.protocol.jobs import JobSpec, JobStatus


class JobPhase(Enum):
    """Phases of a job, from its acceptance to its final status."""

    ACTIVE = auto()  # accepted, with work left
    CANCELLING = auto()  # the cancellation is being stored; no task starts
    CANCELLED = auto()  # cancellation stored; attempts may still be on machines
    DONE = auto()  # every task stored as done; attempts may still be on machines


class JobHealth(Enum):
    """Whether a job's failures are likely to be caused by the job itself."""

    UNKNOWN = auto()  # no task has succeeded yet, nor failed on several machines
    HEALTHY = auto()  # one of its tasks has succeeded, or has run for long enough
    FAILING = auto()  # failed on several machines and succeeded on none


class AttemptPhase(Enum):
    """Phases of an attempt, from the allocation of capacity to the proof that it has ended."""

    PLANNED = auto()  # capacity is allocated; the scheduling round is not stored yet
    INTENDED = auto()  # the scheduling round is stored; a start command may be sent
    SENT = auto()  # a start command was sent, or may have been sent in an earlier term
    FETCHING = auto()  # the machine is fetching the image
    WAITING = auto()  # the task waits for the other tasks of its gang
    RUNNING = auto()  # the process of the task is running
    CHECKPOINTING = auto()  # the task is saving its progress before it stops
    GONE = auto()  # proven not to be on its machine; the capacity is free


class Attempt:
    """One attempt to run one task on one machine. Its capacity is allocated until it is GONE."""

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
        self.stopping = False  # every heartbeat response carries a stop command for it
        self.grace_s = 0.0  # time to checkpoint that the stop command allows
        self.epoch = 0  # of the worker when the attempt was sent or last reported; 0: unknown
        self.since = 0.0  # monotonic time at which it entered the phase
        self.last_status: TaskStatus | None = None  # from the latest heartbeat that lists it

    def enter(self, phase: AttemptPhase, now: float) -> None:
        """Change the phase, unless it is GONE."""
        if phase is not self.phase and self.phase is not AttemptPhase.GONE:
            self.phase = phase
            self.since = now

    @property
    def running(self) -> bool:
        """Whether the machine reports the attempt as running."""
        return self.phase is AttemptPhase.RUNNING

    @property
    def is_ending(self) -> bool:
        """Whether its capacity will be free soon: it is being stopped, or its job has ended."""
        return self.stopping or self.job.phase is not JobPhase.ACTIVE


class Job:
    """A job, with the state of its tasks and their current attempts."""

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
        "pending_since",
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
        # No task may start in this cell: another cell may be running the job, or the lease under
        # which this cell runs a borrowed job has expired.
        self.on_hold = False
        self.start_deadline = math.inf  # monotonic time after which no start command may be sent
        self.borrowed = False  # submitted to another cell, and run by this one
        self.running_remotely = 0  # running tasks in another cell, as last reported
        self.started_late = False  # it was starving when it was started
        self.has_started = False  # one of its tasks is known to have run
        self.idle_since = now  # monotonic time since which it has had no attempts
        self.phase = JobPhase.ACTIVE
        self.done = Ranges()  # tasks reported as done, whether stored or not
        self.done_keys: set[str] = set()  # keys of the records that hold its done tasks
        self.stored_done = Ranges()  # tasks stored as done in the state service
        self.pending = Ranges([(0, spec.tasks)])  # tasks that are not done and have no attempt
        self.pending_since = now  # monotonic time since which it has had pending tasks
        self.attempts: dict[int, Attempt] = {}  # task -> its attempt
        self.health = JobHealth.UNKNOWN
        # Machine -> monotonic time of the latest failure of the job there, in order of time.
        self.failed_on: dict[str, float] = {}
        self.longest_failed_run_s = 0.0  # longest time that a task ran before it failed
        self.consecutive_failures = 0  # failed attempts since the job was last healthy
        self.last_failed_attempt = 0  # number of the latest attempt that failed
        self.backoff_until = 0.0  # monotonic time before which no task is placed
        self.record_key = ""  # key of its record in the state service
        self.final_record_key = ""  # key of the record with its final status
        self.write_pending = False  # a write of its done tasks is in progress
        self.finalizing: asyncio.Future[str] | None = None  # the write of its final status

    def enter(self, phase: JobPhase) -> None:
        """Change the phase. A final phase never changes; CANCELLING changes only to CANCELLED."""
        if self.phase is JobPhase.ACTIVE or (
            self.phase is JobPhase.CANCELLING and phase is JobPhase.CANCELLED
        ):
            self.phase = phase

    @property
    def is_final(self) -> bool:
        """Whether its final status is stored."""
        return self.phase in (JobPhase.CANCELLED, JobPhase.DONE)

    def set_health(self, health: JobHealth) -> None:
        """Change whether the job is considered healthy."""
        self.health = health

    @property
    def status(self) -> JobStatus:
        """The status reported to users."""
        if self.phase is JobPhase.DONE:
            return JobStatus.DONE
        if self.phase is JobPhase.CANCELLED:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if self.running else JobStatus.QUEUED

    @property
    def running(self) -> int:
        """Number of running tasks, in this cell and in another."""
        here = sum(1 for attempt in self.attempts.values() if attempt.running)
        return here + self.running_remotely

    def mark_done(self, task: int) -> bool:
        """Mark the task as done; False if it was done already or does not exist."""
        if task in self.done or not 0 <= task < self.spec.tasks:
            return False
        self.done.add(task)
        self.pending.remove(task)
        return True

    def mark_all_done(self) -> None:
        """Mark every task as done."""
        self.done.add(0, self.spec.tasks)
        self.pending = Ranges()

    def requeue(self, task: int, now: float) -> None:
        """Make the task pending again after its attempt has ended, unless it is done."""
        if task in self.done:
            return
        if not self.pending:
            self.pending_since = now
        self.pending.add(task)
