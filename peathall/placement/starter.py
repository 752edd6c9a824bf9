"""Starting the tasks of a plan: the intent is stored before any start command is sent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from itertools import groupby

from peathall import constants
from peathall.cluster.job import AttemptPhase, JobHealth, JobPhase
from peathall.cluster.state import ClusterState
from peathall.placement.job_views import is_starving
from peathall.placement.plan import Assignment
from peathall.placement.rounds import RecordPart, RoundRecords, group_by_gang
from peathall.placement.snapshot import Snapshot
from peathall.store.errors import InvalidTransactionError, StoreError
from peathall.workers.workers import Workers

log = logging.getLogger("peathall.placement")


class Starter:
    """Allocates capacity for assignments, stores their records, then has start commands sent."""

    def __init__(
        self,
        cluster: ClusterState,
        workers: Workers,
        snapshot: Snapshot,
        rounds: RoundRecords,
        wall: Callable[[], float],
    ) -> None:
        self.cluster = cluster
        self.workers = workers
        self.snapshot = snapshot
        self.rounds = rounds
        self.wall = wall
        self.loop = asyncio.get_running_loop()

    async def start(self, assignments: list[Assignment], now: float) -> None:
        """Start the assignments that are still valid. Returns once each is stored or abandoned."""
        assignments = self._still_valid(assignments, now)
        self._log(assignments)
        self._mark_starved_jobs(assignments, now)
        for parts in group_by_gang(self.rounds.write(assignments, now)):
            await self._start_when_stored(parts)

    def _still_valid(self, assignments: list[Assignment], now: float) -> list[Assignment]:
        """The assignments without those of jobs that ended while the round was planned, or that use
        a machine that no longer accepts tasks. Capacity and limits are not checked again: only
        rounds use them up."""
        invalid = set()
        wanted: dict[str, int] = {}
        for assignment in assignments:
            wanted[assignment.job] = wanted.get(assignment.job, 0) + assignment.count
            machine = self.cluster.machines.get(assignment.machine)
            if machine is None or not self.snapshot.machines.is_schedulable(machine, now):
                invalid.add(assignment.job)
        for job_id, count in wanted.items():
            job = self.cluster.jobs.get(job_id)
            if (
                job is None
                or job.on_hold
                or job.phase is not JobPhase.ACTIVE
                or len(job.pending) < count
            ):
                invalid.add(job_id)
        return [assignment for assignment in assignments if assignment.job not in invalid]

    def _log(self, assignments: list[Assignment]) -> None:
        """Log one line per job, and a debug line per machine."""
        wall = self.wall()
        for job_id, group in groupby(assignments, key=lambda assignment: assignment.job):
            spec = self.cluster.jobs[job_id].spec
            chosen = [(self.cluster.machines[a.machine], a.count) for a in group]
            log.info(
                "%s job %s: starting %d tasks on %d machines (types %s; %d must fetch the image) "
                "%.1f s after submission",
                spec.class_name,
                job_id,
                sum(count for _, count in chosen),
                len(chosen),
                ", ".join(sorted({machine.type for machine, _ in chosen})),
                sum(spec.image not in machine.images for machine, _ in chosen),
                wall - spec.submitted,
            )
            for machine, count in chosen:
                log.debug("job %s: starting %d tasks on %s", job_id, count, machine.name)

    def _mark_starved_jobs(self, assignments: list[Assignment], now: float) -> None:
        """Mark the starving jobs that start now, which protects their starts from preemption."""
        for job_id in dict.fromkeys(assignment.job for assignment in assignments):
            job = self.cluster.jobs[job_id]
            if job.health is not JobHealth.FAILING and not job.attempts:
                job.started_late |= is_starving(job, now)

    async def _start_when_stored(self, parts: list[RecordPart]) -> None:
        """Start the attempts of records that share a gang, once all of the records are stored. If a
        record is not stored, the gang does not start."""
        failed: list[RecordPart] = []
        for part in parts:
            try:
                await part.stored
            except StoreError as exc:
                log.error("round record %s not stored, tasks not started: %s", part.key, exc)
                failed.append(part)
                if isinstance(exc, InvalidTransactionError):
                    self._delay_jobs(part)
        # No record of these attempts was written, and no start command was sent.
        abandoned = [attempt for part in failed for attempt in part.attempts]
        broken_gangs = {attempt.job for attempt in abandoned if attempt.job.spec.gang}
        stored = [part for part in parts if part not in failed]
        abandoned += [a for part in stored for a in part.attempts if a.job in broken_gangs]
        for attempt in abandoned:
            self.cluster.release(attempt, self.loop.time())
        for part in stored:
            self._allow_start_commands(part)

    def _delay_jobs(self, part: RecordPart) -> None:
        """Let the jobs of a rejected record wait. Records are smaller once the writer has lowered
        its limit of a value; if they can't be, no round of other jobs is delayed."""
        until = self.loop.time() + constants.ROUND_REJECTED_BACKOFF_S
        for job in {attempt.job for attempt in part.attempts}:
            job.backoff_until = max(job.backoff_until, until)

    def _allow_start_commands(self, part: RecordPart) -> None:
        """Allow the start commands of a stored record, and have them pushed to the machines."""
        now = self.loop.time()
        within_quota = self.snapshot.context.within_quota
        to_push: dict[str, bool] = {}  # machine -> whether all its new starts are deferrable
        for attempt in part.attempts:
            if attempt.phase is not AttemptPhase.PLANNED:
                continue
            attempt.enter(AttemptPhase.INTENDED, now)
            if attempt.stopping or attempt.job.on_hold or attempt.job.phase is not JobPhase.ACTIVE:
                self.cluster.release(attempt, now)
            else:
                spec = attempt.job.spec
                deferrable = not spec.gang and spec.id not in within_quota
                to_push[attempt.machine] = deferrable and to_push.get(attempt.machine, True)
        if part.key not in self.cluster.rounds:
            self.rounds.delete(part.key)
        for name, deferrable in to_push.items():
            machine = self.cluster.machines.get(name)
            if machine is not None:
                self.workers.delivery.push(machine, deferrable)
