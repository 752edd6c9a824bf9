"""Check-ins, leases and orders: the only part that talks to workers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from itertools import islice
from typing import Any

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, Job, JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import WorkerSettings
from peathall.leadership.lease import fencing_token
from peathall.protocol.heartbeats import (
    ExitReason,
    Heartbeat,
    TaskState,
    TaskStatus,
    encode_commands,
    encode_heartbeat_response,
    forget_command,
    start_command,
    stop_command,
)
from peathall.workers.delivery import CommandDelivery
from peathall.workers.events import WorkerListener
from peathall.workers.exits import ExitedAttempt, ExitedAttempts, ExitKey
from peathall.workers.faults import FaultTracker
from peathall.workers.health import HeartbeatsElsewhere, MachineHealth
from peathall.workers.probes import LivenessProbes

log = logging.getLogger("peathall.workers")

PHASE_OF = {
    TaskState.FETCHING: AttemptPhase.FETCHING,
    TaskState.WAITING: AttemptPhase.WAITING,
    TaskState.RUNNING: AttemptPhase.RUNNING,
    TaskState.CHECKPOINTING: AttemptPhase.CHECKPOINTING,
}


class Workers:
    """The workers' reports, and the orders that answer them."""

    def __init__(
        self,
        cluster: ClusterState,
        settings: WorkerSettings,
        now: float,
        is_leader: Callable[[], bool],
        listener: WorkerListener,
        connections: int,
        deferrable_rate: float = constants.DEFERRABLE_COMMANDS,
        elsewhere: HeartbeatsElsewhere = dict,
    ) -> None:
        self.cluster = cluster
        self.faults = FaultTracker(cluster)
        self.settings = settings
        self.is_leader = is_leader
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.failover_at = now
        self.health = MachineHealth(cluster, settings, now, elsewhere)
        self.delivery = CommandDelivery(self, is_leader, connections, deferrable_rate)
        self.probes = LivenessProbes(self.health, is_leader)
        self.counter = 0
        # The mandate under which a start was sent directly; such a start may be
        # executed late until the worker has seen a higher one.
        self.direct: dict[Attempt, int] = {}
        self.exits = ExitedAttempts(cluster)
        # Machine -> tasks there that nobody asked for.
        self.unknown_tasks: dict[str, list[tuple[str, int, int]]] = {}

    # --- mandate and lease ---------------------------------------------------
    @property
    def base(self) -> int:
        """The lowest token of this term."""
        return fencing_token(self.cluster.term, 0)

    @property
    def fencing_token(self) -> int:
        """The token of answers now."""
        return fencing_token(self.cluster.term, self.counter)

    # --- check-ins -----------------------------------------------------------
    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> tuple[int, dict[str, Any] | None]:
        """Answer a report."""
        if self.cluster.was_deleted(heartbeat.machine):
            # A late copy from a machine that no longer exists.
            return 503, None
        known = self.cluster.machines.get(heartbeat.machine)
        position = (heartbeat.epoch, heartbeat.sequence)
        if known is not None and (position <= known.last_received or heartbeat.epoch < known.epoch):
            # A copy, or of an ended session: it says nothing, and gets no answer that
            # would seem to renew a lease.
            return 503, None
        machine = known or self.cluster.machine(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, MachinePhase.UP, now
        )
        if machine.last_received == (0, -1):
            machine.registered_at = machine.idle_since = now
        machine.last_received = position
        if heartbeat.fencing_token >= machine.last_response_token:
            if machine.unacknowledged_since is not None:
                log.info("machine %s hears us again", machine.name)
                self.listener.state_changed()
            machine.unacknowledged_since = None
        elif machine.unacknowledged_since is None:
            # It reports, yet has not seen the answer to its report before: what goes out
            # to it may be lost altogether. No new work until it proves to have heard us.
            machine.unacknowledged_since = machine.last_response_at
            log.info("machine %s did not get our last answer", machine.name)
        if position > (machine.epoch, machine.sequence):
            self._apply(machine, heartbeat, now, conclusive=True)
            if not machine.confirmed and heartbeat.fencing_token >= self.base:
                machine.confirmed = True
                self.listener.machine_confirmed(machine)
                log.info("machine %s confirmed, %d tasks", machine.name, len(machine.attempts))
                self.listener.state_changed()
        # A check-in overtaken by a direct answer is still answered, but tells nothing.
        machine.lease_renewed_at = now
        machine.last_response_token, machine.last_response_at = self.fencing_token, now
        return 200, encode_heartbeat_response(
            self.fencing_token, self._commands(machine, now, direct=False)
        )

    def _apply(self, machine: Machine, heartbeat: Heartbeat, now: float, conclusive: bool) -> None:
        """Learn what a newer report says; only a `conclusive` one proves absence."""
        if machine.phase in (MachinePhase.STARTING, MachinePhase.RECOVERED):
            log.info("machine %s (%s, %s) is up", machine.name, machine.type, machine.zone)
            machine.enter(MachinePhase.UP)
            self.listener.state_changed()
        if heartbeat.addr:
            machine.addr = heartbeat.addr
        if heartbeat.epoch > machine.epoch:
            self._new_session(machine, heartbeat, now)
        machine.epoch, machine.sequence = heartbeat.epoch, heartbeat.sequence
        machine.last_heard = now
        noticed = heartbeat.notice_s is not None and machine.reclaimed_at is None
        if noticed:
            self._note_recall(machine, heartbeat, now)
        present = self._note_tasks(machine, heartbeat, now)
        if noticed:
            self.listener.spot_notice_received(machine, now)
        if conclusive and heartbeat.fencing_token >= self.base:
            for attempt in list(machine.attempts.values()):
                if attempt not in present:
                    self._absent(machine, attempt, heartbeat.fencing_token, now)

    def _new_session(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """The worker's lease ended: it killed all its tasks and forgot them. That says nothing of
        attempts whose session is not known: after a take-over, a late copy of an old report may
        have come first."""
        ended = [a for a in machine.attempts.values() if 0 < a.epoch < heartbeat.epoch]
        if ended:
            log.info("machine %s lost its lease, %d tasks lost", machine.name, len(ended))
            for lost in ended:
                self.cluster.release(lost, now)
            self._lost(ended, now)
        self.exits.drop(machine.name)

    def _note_recall(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        seconds = heartbeat.notice_s or 0.0
        machine.reclaimed_at = now + seconds
        machine.drain_reason = "spot notice"
        machine.enter(MachinePhase.DRAINING)
        log.info("machine %s will be taken in %.0f s", machine.name, seconds)
        self.listener.state_changed()

    def _note_tasks(self, machine: Machine, heartbeat: Heartbeat, now: float) -> set[Attempt]:
        """Our attempts among the tasks that the report names."""
        present: set[Attempt] = set()
        exits: dict[ExitKey, ExitedAttempt] = {}
        before = self.exits.of(machine.name)
        unknown_tasks: list[tuple[str, int, int]] = []
        for item in heartbeat.tasks:
            attempt = machine.attempts.get(item.key)
            if attempt is not None:
                if attempt.number != item.attempt:
                    attempt = None
                else:
                    present.add(attempt)
                    if attempt.last_status is item:
                        continue  # as in the report before
            if item.state is TaskState.EXITED:
                name = (item.job, item.task, item.attempt)
                told = before.get(name)
                if told is None or attempt is not None or not told.settled:
                    told = self._exited(machine, item, attempt, told, now)
                exits[name] = told  # until it may be forgotten
            elif attempt is not None:
                self._seen(machine, attempt, item, now)
            else:
                unknown_tasks.append((item.job, item.task, item.attempt))
        self.exits.replace(machine.name, exits)
        if (
            unknown_tasks and heartbeat.fencing_token >= self.base
        ):  # else perhaps an old report, come late
            log.error("machine %s runs unknown tasks: %s", machine.name, unknown_tasks)
        self.unknown_tasks[machine.name] = unknown_tasks
        return present

    def _seen(self, machine: Machine, attempt: Attempt, item: TaskStatus, now: float) -> None:
        if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.GONE):
            return
        before = attempt.phase
        attempt.last_status = item
        attempt.epoch = machine.epoch
        attempt.job.has_started |= item.state is TaskState.RUNNING
        attempt.enter(PHASE_OF[item.state], now)
        if before is not attempt.phase:
            log.debug(
                "%s/%d is %s on %s", item.job, item.task, attempt.phase.name.lower(), machine.name
            )
        if item.state is not TaskState.FETCHING and before is not attempt.phase:
            self._saw_image(machine, attempt)

    def _saw_image(self, machine: Machine, attempt: Attempt) -> None:
        size = self.cluster.types.get(machine.type)
        if machine.note_image(attempt.job.spec, size.cache_gb if size else 0.0):
            self.listener.images_changed(machine)

    def _exited(
        self,
        machine: Machine,
        item: TaskStatus,
        attempt: Attempt | None,
        told: ExitedAttempt | None,
        now: float,
    ) -> ExitedAttempt:
        job = self.cluster.jobs.get(item.job)
        # A replica is never done, whatever is reported: it has ended, and runs again.
        done = item.exit_reason is ExitReason.DONE and not (job is not None and job.spec.daemon)
        # Late copies of an earlier term's starts are fenced by this term's base already.
        direct_token = 0
        if attempt is not None:
            direct_token = self.direct.pop(attempt, 0)
            if attempt.phase in (AttemptPhase.FETCHING, AttemptPhase.SENT) and done:
                self._saw_image(machine, attempt)
        elif item.attempt >= self.base:
            direct_token = told.direct_token if told is not None else self.fencing_token
        if job is not None and done and job.phase is JobPhase.ACTIVE:
            self._done(job, item.task, machine, now)
        if attempt is not None and attempt.phase is not AttemptPhase.GONE:
            self._ended(machine, attempt, item, now)
        # The end of a job that is not known yet is looked at again.
        settled = job is not None or not done
        return ExitedAttempt(item.job, item.task, item.attempt, done, direct_token, settled)

    def _done(self, job: Job, task: int, machine: Machine, now: float) -> None:
        job.has_started = True
        self._quarantine(self.faults.note_success(job, machine, now))
        if job.spec.gang:
            # The tasks of a gang complete together: when one is done, all are.
            if len(job.done) < job.spec.tasks:
                job.mark_all_done()
                self.listener.tasks_done(job)
        elif job.mark_done(task):
            self.listener.tasks_done(job)

    def _ended(self, machine: Machine, attempt: Attempt, item: TaskStatus, now: float) -> None:
        job = attempt.job
        number = attempt.number
        ran_s = now - attempt.since if attempt.running else 0.0
        self.cluster.release(attempt, now)
        if item.exit_reason is not ExitReason.DONE:
            log.info(
                "task %s/%d ended on %s: %s",
                job.spec.id,
                attempt.task,
                machine.name,
                item.exit_reason.value if item.exit_reason else "?",
            )
        if item.exit_reason is ExitReason.ERROR or (
            item.exit_reason is ExitReason.DONE and job.spec.daemon
        ):
            self._quarantine(self.faults.failed(attempt, ran_s, now))
        elif item.exit_reason in (ExitReason.NO_CAPACITY, ExitReason.BUSY, ExitReason.UNKNOWN):
            # What we know and what the worker knows differ: wait a little, its next report tells.
            job.backoff_until = max(job.backoff_until, now + constants.ERROR_BACKOFF_S)
        if job.spec.gang and item.exit_reason is not ExitReason.DONE:
            self.break_gang(job, number, now)

    def _quarantine(self, machines: list[Machine]) -> None:
        for machine in machines:
            self.quarantine(machine, "it fails tasks that end well elsewhere")

    def quarantine(self, machine: Machine, why: str) -> None:
        """The machine takes no new work, and is returned once it is empty."""
        if machine.enter(MachinePhase.DRAINING):
            machine.drain_reason = why
            log.info("machine %s is emptied: %s", machine.name, why)
            self.listener.state_changed()

    def _absent(self, machine: Machine, attempt: Attempt, seen_token: int, now: float) -> None:
        """A current check-in does not show this attempt."""
        if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.INTENDED):
            return  # never sent
        # A start sent directly may still arrive until a higher mandate was seen.
        if self.direct.get(attempt, 0) >= seen_token:
            return
        if attempt.phase is AttemptPhase.SENT and not attempt.stopping and self._own(attempt):
            return  # the answer with the start was lost: the next one carries it again
        self.direct.pop(attempt, None)
        self.cluster.release(attempt, now)
        self._lost([attempt], now)

    def _own(self, attempt: Attempt) -> bool:
        """Started in this term, not inherited from records."""
        return attempt.number >= self.base

    def _lost(self, attempts: list[Attempt], now: float) -> None:
        for attempt in attempts:
            self.direct.pop(attempt, None)
            if attempt.job.spec.gang:
                self.break_gang(attempt.job, attempt.number, now)
        self.listener.state_changed()

    def break_gang(self, job: Job, number: int, now: float) -> None:
        """One task of a gang is gone: its mates cannot go on, so nothing is worth saving."""
        if len(job.done) >= job.spec.tasks:
            return
        mates = [a for a in job.attempts.values() if a.number == number]
        for mate in mates:
            self.stop(mate, 0.0, now)

    # --- orders --------------------------------------------------------------
    def stop(self, attempt: Attempt, grace_s: float, now: float) -> None:
        """Ask for the end of an attempt, at once and with every answer until it is gone."""
        if attempt.stopping and grace_s >= attempt.grace_s:
            return
        attempt.stopping = True
        attempt.grace_s = grace_s
        if attempt.phase is AttemptPhase.INTENDED:
            # Never sent, so it exists nowhere.
            self.cluster.release(attempt, now)
            return
        if attempt.phase is not AttemptPhase.PLANNED:
            self.delivery.push(self.cluster.machines[attempt.machine])

    def raise_fencing_token(self) -> None:
        """Starts that are under way are refused wherever an answer from now on gets."""
        self.counter += 1

    def reported_task_count(self, machine: Machine) -> int:
        """How many tasks its next report will name: those it has, and ends not yet forgotten."""
        return len(machine.attempts) + len(self.exits.of(machine.name))

    def _commands(self, machine: Machine, now: float, direct: bool) -> list[dict[str, Any]]:
        commands = self._attempt_commands(machine, now, direct)
        if not direct:
            commands += self._forget_commands(machine, constants.MACHINE_TASKS - len(commands))
            unknown = self.unknown_tasks.get(machine.name, ())
            commands += [stop_command(*task, 0.0) for task in unknown]
        return commands

    def _attempt_commands(self, machine: Machine, now: float, direct: bool) -> list[dict[str, Any]]:
        """Starts and stops that are due; at most as many as an answer may hold."""
        commands: list[dict[str, Any]] = []
        usable = machine.confirmed and machine.phase in (MachinePhase.UP, MachinePhase.DRAINING)
        usable = usable and machine.unacknowledged_since is None
        for (job_id, task), attempt in machine.attempts.items():
            if attempt.phase is AttemptPhase.RUNNING and not attempt.stopping:
                continue  # nearly all of them
            if len(commands) >= constants.MACHINE_TASKS:
                break  # the next answer carries on
            if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.GONE):
                continue
            if attempt.stopping:
                commands.append(stop_command(job_id, task, attempt.number, attempt.grace_s))
            elif usable and self._may_start(attempt):
                commands.append(start_command(job_id, task, attempt.number))
                attempt.enter(AttemptPhase.SENT, now)
                attempt.epoch = machine.epoch
                if direct:
                    self.direct[attempt] = self.fencing_token
        return commands

    def _may_start(self, attempt: Attempt) -> bool:
        early = attempt.phase in (AttemptPhase.INTENDED, AttemptPhase.SENT)
        job = attempt.job
        wanted = (
            job.phase is JobPhase.ACTIVE
            and not job.on_hold
            and self.loop.time() < job.start_deadline
        )
        return early and wanted and self._own(attempt)

    def _forget_commands(self, machine: Machine, most: int) -> list[dict[str, Any]]:
        """For ended attempts that their machine need not report any more."""
        # Under our own token, the next tick raises it.
        known = islice(self.exits.forgettable(machine.name, self.fencing_token), max(0, most))
        return [forget_command(x.job, x.task, x.number) for x in known]

    def commands_due(self, machine: Machine) -> dict[str, Any] | None:
        """The orders that are due now, or None."""
        commands = self._commands(machine, self.loop.time(), direct=True)
        return encode_commands(self.fencing_token, machine.epoch, commands) if commands else None

    def note_command_response(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """What the machine reports after direct orders, unless a later report came first."""
        if (heartbeat.epoch, heartbeat.sequence) > (machine.epoch, machine.sequence):
            self._apply(machine, heartbeat, self.loop.time(), conclusive=False)

    # --- time ----------------------------------------------------------------
    def tick(self, now: float) -> None:
        """Every second: tokens, health, probes and leases."""
        # Raised every second: late direct starts are refused from then on, and the token
        # that a report shows tells which of our answers the worker has had.
        self.raise_fencing_token()
        self.health.note_tick(now)
        self.probes.tick(now)
        self._quarantine(self.faults.look(now))
        for machine in list(self.cluster.machines.values()):
            # Known from records only: if it still exists, its report or the cloud's list
            # brings it back.
            unproven = machine.phase is MachinePhase.RECOVERED and not machine.listed_by_cloud
            if not machine.attempts and not unproven:
                continue
            since = max(machine.lease_renewed_at, self.failover_at)
            if now - since > self.settings.lease_expiry_s:
                log.info("lease of machine %s has lapsed", machine.name)
                machine.confirmed = False
                self._lost(self.cluster.release_all(machine, now), now)
                self.exits.drop(machine.name)
                if unproven:
                    self.cluster.remove_machine(machine, now, "not heard since the take-over")

    def machine_gone(self, machine: Machine, now: float, why: str) -> None:
        """The cloud's answer, or its list, proves that the machine is gone."""
        self.cluster.note_deleted(machine.name, now)
        self.exits.drop(machine.name)
        self.unknown_tasks.pop(machine.name, None)
        self.delivery.forget(machine)
        self._lost(self.cluster.remove_machine(machine, now, why), now)

    def close(self) -> None:
        """The term is over."""
        self.delivery.close()
        self.probes.close()
