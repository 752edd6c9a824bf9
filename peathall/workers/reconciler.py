"""Reconciliation: compares heartbeats with the attempts that the leader expects on the machine."""

from __future__ import annotations

import logging

from peathall.cluster.job import Attempt, AttemptPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.protocol.heartbeats import Heartbeat, TaskState, TaskStatus
from peathall.workers.attempt_control import AttemptControl
from peathall.workers.attempt_tracking import AttemptTracking
from peathall.workers.events import WorkerListener
from peathall.workers.exit_handler import ExitHandler
from peathall.workers.exits import ExitedAttempt, ExitKey
from peathall.workers.fencing import FencingTokenCounter
from peathall.workers.images import CachedImages

log = logging.getLogger("peathall.workers")

PHASE_OF = {
    TaskState.FETCHING: AttemptPhase.FETCHING,
    TaskState.WAITING: AttemptPhase.WAITING,
    TaskState.RUNNING: AttemptPhase.RUNNING,
    TaskState.CHECKPOINTING: AttemptPhase.CHECKPOINTING,
}


class Reconciler:
    """Applies heartbeats to the cluster state."""

    def __init__(
        self,
        cluster: ClusterState,
        tokens: FencingTokenCounter,
        tracking: AttemptTracking,
        exit_handler: ExitHandler,
        control: AttemptControl,
        images: CachedImages,
        listener: WorkerListener,
    ) -> None:
        self.cluster = cluster
        self.tokens = tokens
        self.exits = tracking.exits
        self.unknown_tasks = tracking.unknown_tasks
        self.start_tokens = tracking.start_tokens
        self.exit_handler = exit_handler
        self.control = control
        self.images = images
        self.listener = listener

    def apply(self, machine: Machine, heartbeat: Heartbeat, now: float, conclusive: bool) -> None:
        """Apply a heartbeat that is newer than all heartbeats applied before.

        Only a `conclusive` heartbeat proves that tasks missing from it are not on the machine. The
        response to direct commands is not conclusive: a heartbeat response with other start
        commands may still be in flight.
        """
        if machine.phase in (MachinePhase.STARTING, MachinePhase.RECOVERED):
            log.info(
                "machine %s (%s, %s) is up: first heartbeat received",
                machine.name,
                machine.type,
                machine.zone,
            )
            machine.enter(MachinePhase.UP)
            self.listener.state_changed()
        if heartbeat.addr:
            machine.addr = heartbeat.addr
        if heartbeat.epoch > machine.epoch:
            self._begin_epoch(machine, heartbeat, now)
        machine.epoch, machine.sequence = heartbeat.epoch, heartbeat.sequence
        machine.last_heard = now
        is_first_notice = heartbeat.notice_s is not None and machine.reclaimed_at is None
        if is_first_notice:
            self._note_spot_notice(machine, heartbeat.notice_s or 0.0, now)
        present = self._reconcile_tasks(machine, heartbeat, now)
        if is_first_notice:
            self.listener.spot_notice_received(machine, now)
        if conclusive and heartbeat.fencing_token >= self.tokens.lowest:
            absent = [attempt for attempt in machine.attempts.values() if attempt not in present]
            for attempt in absent:
                self._note_absent(attempt, heartbeat.fencing_token, now)

    def _begin_epoch(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Release the attempts of earlier epochs: the worker's lease expired, so it has killed all
        its tasks and forgotten them.

        Attempts of unknown epoch are kept, since they may belong to the new one: after a failover,
        a delayed copy of a heartbeat of an earlier epoch may have arrived first.
        """
        ended = [a for a in machine.attempts.values() if 0 < a.epoch < heartbeat.epoch]
        if ended:
            log.info(
                "machine %s began epoch %d after its lease expired: %d tasks lost",
                machine.name,
                heartbeat.epoch,
                len(ended),
            )
            for lost in ended:
                self.cluster.release(lost, now)
            self.control.note_lost(ended, now)
        self.exits.drop(machine.name)

    def _note_spot_notice(self, machine: Machine, notice_s: float, now: float) -> None:
        machine.reclaimed_at = now + notice_s
        machine.drain_reason = "spot notice"
        machine.enter(MachinePhase.DRAINING)
        log.info("machine %s is draining: the cloud reclaims it in %.0f s", machine.name, notice_s)
        self.listener.state_changed()

    def _reconcile_tasks(self, machine: Machine, heartbeat: Heartbeat, now: float) -> set[Attempt]:
        """Apply the task statuses. Returns the expected attempts that they report."""
        present: set[Attempt] = set()
        exits: dict[ExitKey, ExitedAttempt] = {}
        exits_before = self.exits.of(machine.name)
        unknown_tasks: list[TaskStatus] = []
        attempts = machine.attempts
        for status in heartbeat.tasks:
            attempt = attempts.get(status.key)
            if attempt is not None:
                if attempt.number != status.attempt:
                    attempt = None
                else:
                    present.add(attempt)
                    # Equal statuses are the same object (see TaskStatus): nothing has changed.
                    if attempt.last_status is status:
                        continue
            if status.state is TaskState.EXITED:
                key = (status.job, status.task, status.attempt)
                exited = exits_before.get(key)
                if exited is None or attempt is not None or not exited.settled:
                    exited = self.exit_handler.handle(machine, status, attempt, exited, now)
                exits[key] = exited
            elif attempt is not None:
                self._note_status(machine, attempt, status, now)
            else:
                unknown_tasks.append(status)
        self.exits.replace(machine.name, exits)
        # A heartbeat with a token of an earlier term may be a delayed copy, which is no error.
        if unknown_tasks and heartbeat.fencing_token >= self.tokens.lowest:
            log.error(
                "machine %s runs unknown tasks, stopping them (job, task, attempt): %s",
                machine.name,
                [(status.job, status.task, status.attempt) for status in unknown_tasks],
            )
        self.unknown_tasks.replace(machine.name, unknown_tasks)
        return present

    def _note_status(
        self, machine: Machine, attempt: Attempt, status: TaskStatus, now: float
    ) -> None:
        if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.GONE):
            return
        before = attempt.phase
        attempt.last_status = status
        attempt.epoch = machine.epoch
        attempt.job.has_started |= status.state is TaskState.RUNNING
        attempt.enter(PHASE_OF[status.state], now)
        if before is attempt.phase:
            return
        log.debug(
            "task %s/%d on machine %s is %s",
            status.job,
            status.task,
            machine.name,
            attempt.phase.name.lower(),
        )
        if status.state is not TaskState.FETCHING:
            self.images.note(machine, attempt)

    def _note_absent(self, attempt: Attempt, seen_token: int, now: float) -> None:
        """Release an attempt missing from a conclusive heartbeat, unless it may still start."""
        if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.INTENDED):
            return  # no start command was sent
        if self.start_tokens.may_arrive(attempt, seen_token):
            return
        is_of_this_term = attempt.number >= self.tokens.lowest
        if attempt.phase is AttemptPhase.SENT and not attempt.stopping and is_of_this_term:
            return  # the response with the start command was lost: the next one repeats it
        self.start_tokens.forget(attempt)
        self.cluster.release(attempt, now)
        self.control.note_lost([attempt], now)
