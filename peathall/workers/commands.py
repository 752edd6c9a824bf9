"""Choice of the start, stop and forget commands that are due to a machine."""

from __future__ import annotations

import asyncio
from itertools import islice

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.protocol.heartbeats import Command, ForgetCommand, StartCommand, StopCommand
from peathall.workers.attempt_tracking import AttemptTracking
from peathall.workers.fencing import FencingTokenCounter


class DueCommands:
    """Chooses the commands that are due. Attempts whose start command is chosen count as sent."""

    def __init__(self, tokens: FencingTokenCounter, tracking: AttemptTracking) -> None:
        self.tokens = tokens
        self.exits = tracking.exits
        self.unknown_tasks = tracking.unknown_tasks
        self.start_tokens = tracking.start_tokens
        self.loop = asyncio.get_running_loop()

    def for_response(self, machine: Machine, now: float) -> list[Command]:
        """Commands for the response to a heartbeat."""
        commands = self._attempt_commands(machine, now)
        commands += self._forget_commands(machine, constants.MACHINE_TASKS_MAX - len(commands))
        for status in self.unknown_tasks.of(machine.name):
            commands.append(StopCommand(status.job, status.task, status.attempt, 0.0))
        return commands

    def for_delivery(self, machine: Machine, now: float) -> list[Command]:
        """Commands to send directly: only starts and stops, since forget commands can wait."""
        return self._attempt_commands(machine, now)

    def _attempt_commands(self, machine: Machine, now: float) -> list[Command]:
        """Start and stop commands, at most as many as a response may hold."""
        commands: list[Command] = []
        usable = machine.confirmed and machine.phase in (MachinePhase.UP, MachinePhase.DRAINING)
        usable = usable and machine.unacknowledged_since is None
        running = AttemptPhase.RUNNING
        for (job_id, task), attempt in machine.attempts.items():
            if attempt.phase is running and not attempt.stopping:
                continue  # the most frequent case
            if len(commands) >= constants.MACHINE_TASKS_MAX:
                break  # the next response carries the others
            if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.GONE):
                continue
            if attempt.stopping:
                commands.append(StopCommand(job_id, task, attempt.number, attempt.grace_s))
            elif usable and self._may_start(attempt):
                commands.append(StartCommand(job_id, task, attempt.number))
                attempt.enter(AttemptPhase.SENT, now)
                attempt.epoch = machine.epoch
                self.start_tokens.note(attempt, self.tokens.current)
        return commands

    def _may_start(self, attempt: Attempt) -> bool:
        job = attempt.job
        return (
            attempt.phase in (AttemptPhase.INTENDED, AttemptPhase.SENT)
            and job.phase is JobPhase.ACTIVE
            and not job.on_hold
            and self.loop.time() < job.start_deadline
            and attempt.number >= self.tokens.lowest  # not of an earlier term
        )

    def _forget_commands(self, machine: Machine, limit: int) -> list[ForgetCommand]:
        """Forget commands for ended attempts that the machine need not report any more."""
        exits = islice(self.exits.forgettable(machine.name, self.tokens.current), max(0, limit))
        return [ForgetCommand(exited.job, exited.task, exited.number) for exited in exits]
