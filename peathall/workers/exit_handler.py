"""Effects of the end of an attempt: done tasks, failures, retries."""

from __future__ import annotations

import logging

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, Job, JobPhase
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.protocol.heartbeats import ExitReason, TaskStatus
from peathall.workers.attempt_control import AttemptControl
from peathall.workers.events import WorkerListener
from peathall.workers.exits import ExitedAttempt
from peathall.workers.faults import FaultTracker
from peathall.workers.fencing import FencingTokenCounter
from peathall.workers.images import CachedImages
from peathall.workers.quarantine import Quarantine
from peathall.workers.start_tokens import StartTokens

log = logging.getLogger("peathall.workers")

# A start was rejected since the worker's state differs from the leader's view. The next heartbeats
# correct that view, so the start is retried after a backoff.
STATE_MISMATCH_REASONS = (ExitReason.NO_CAPACITY, ExitReason.BUSY, ExitReason.UNKNOWN)


class ExitHandler:
    """Applies the exits that heartbeats report to the cluster state."""

    def __init__(
        self,
        cluster: ClusterState,
        tokens: FencingTokenCounter,
        start_tokens: StartTokens,
        faults: FaultTracker,
        quarantine: Quarantine,
        control: AttemptControl,
        images: CachedImages,
        listener: WorkerListener,
    ) -> None:
        self.cluster = cluster
        self.tokens = tokens
        self.start_tokens = start_tokens
        self.faults = faults
        self.quarantine = quarantine
        self.control = control
        self.images = images
        self.listener = listener

    def handle(
        self,
        machine: Machine,
        status: TaskStatus,
        attempt: Attempt | None,
        before: ExitedAttempt | None,
        now: float,
    ) -> ExitedAttempt:
        """Apply one exit.

        `attempt` is the attempt that ended, None if it is not in the cluster state; `before` is the
        record of the same exit from an earlier heartbeat. Returns the new record of the exit.
        """
        job = self.cluster.jobs.get(status.job)
        # A replica of a daemon is never done: even one that reports success is started again.
        done = status.exit_reason is ExitReason.DONE and not (job is not None and job.spec.daemon)
        # Attempts of earlier terms need no token: the tokens of this term fence their starts.
        start_token = 0
        if attempt is not None:
            start_token = self.start_tokens.forget(attempt)
            if attempt.phase in (AttemptPhase.FETCHING, AttemptPhase.SENT) and done:
                self.images.note(machine, attempt)
        elif status.attempt >= self.tokens.lowest:
            start_token = before.start_token if before is not None else self.tokens.current
        if job is not None and done and job.phase is JobPhase.ACTIVE:
            self._note_done(job, status.task, machine, now)
        if attempt is not None and attempt.phase is not AttemptPhase.GONE:
            self._end_attempt(machine, attempt, status, now)
        # The successful exit of a task whose job is not known yet is handled again later.
        settled = job is not None or not done
        return ExitedAttempt(status.job, status.task, status.attempt, done, start_token, settled)

    def _note_done(self, job: Job, task: int, machine: Machine, now: float) -> None:
        job.has_started = True
        self.quarantine.drain_unhealthy(self.faults.note_success(job, machine, now), now)
        if job.spec.gang:
            # The tasks of a gang complete together: when one task is done, all are.
            if len(job.done) < job.spec.tasks:
                job.mark_all_done()
                self.listener.tasks_done(job)
        elif job.mark_done(task):
            self.listener.tasks_done(job)

    def _end_attempt(
        self, machine: Machine, attempt: Attempt, status: TaskStatus, now: float
    ) -> None:
        job, number, reason = attempt.job, attempt.number, status.exit_reason
        runtime_s = now - attempt.since if attempt.running else 0.0
        self.cluster.release(attempt, now)
        if reason is not ExitReason.DONE:
            log.info(
                "task %s/%d ended on machine %s: %s",
                job.spec.id,
                attempt.task,
                machine.name,
                reason.value if reason else "?",
            )
        if reason is ExitReason.ERROR or (reason is ExitReason.DONE and job.spec.daemon):
            self.quarantine.drain_unhealthy(self.faults.note_failure(attempt, runtime_s, now), now)
        elif reason in STATE_MISMATCH_REASONS:
            job.backoff_until = max(job.backoff_until, now + constants.ERROR_BACKOFF_S)
        if job.spec.gang and reason is not ExitReason.DONE:
            self.control.stop_gang(job, number, now)
