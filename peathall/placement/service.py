"""Rounds at the leader: look, decide, store the intent, then let the starts go."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import groupby
from typing import Protocol

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, JobHealth, JobPhase
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.placement.planner import Round
from peathall.placement.reservations import Reservation, Reservations
from peathall.placement.rounds import RecordPart, RoundRecords, joined_by_gangs
from peathall.placement.snapshot import Snapshot
from peathall.placement.views import Assignment, MachineView, Move, Plan
from peathall.protocol.jobs import JobSpec
from peathall.store.client import StoreError
from peathall.store.writer import DeferredWriter, Writer
from peathall.workers.service import Workers

log = logging.getLogger("peathall.placement")


class DemandListener(Protocol):
    """Who finds machines for what has no room."""

    def note_unplaced(self, plan: Plan) -> None:
        """What a round found no room for, and the room that it left."""


@dataclass(frozen=True, slots=True)
class CapacityRequest:
    """Another cell's job that room is to be kept for, if the next round leaves enough."""

    spec: JobSpec
    until: float  # steady time
    kept: asyncio.Future[bool]


class Placement:
    """The leader's rounds, and the effects of their plans."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        workers: Workers,
        wall: Callable[[], float],
        is_leader: Callable[[], bool],
        demand: Sequence[DemandListener],
        compaction: DeferredWriter | None = None,
    ) -> None:
        self.cluster = cluster
        self.demand = demand
        self.params = params
        self.writer = writer
        self.workers = workers
        self.wall = wall
        self.is_leader = is_leader
        self.loop = asyncio.get_running_loop()
        self.wake = asyncio.Event()
        self.reservations = Reservations()
        self.requests: list[CapacityRequest] = []
        # Whoever else takes from the teams' limits does it between two rounds.
        self.decision_lock = asyncio.Lock()
        self.snapshot = Snapshot(cluster, params, workers, self.reservations)
        self.rounds = RoundRecords(cluster, writer, compaction)

    # --- rounds --------------------------------------------------------------
    def request_round(self) -> None:
        """Something changed: decide again soon."""
        self.wake.set()

    async def run(self) -> None:
        """Rounds follow one another at a distance that grows with what a round takes."""
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), constants.ROUND_IDLE_S)
            except TimeoutError:
                pass
            await asyncio.sleep(constants.ROUND_GAP_S)
            self.wake.clear()
            if not self.is_leader():
                continue
            began = self.loop.time()
            await self.round(began)
            await asyncio.sleep(
                min(constants.ROUND_IDLE_S, (self.loop.time() - began) * constants.ROUND_LOAD)
            )

    async def round(self, now: float) -> None:
        """Decide, stop, move and start."""
        async with self.decision_lock:
            plan = await self.decide(now)
            for listener in self.demand:
                listener.note_unplaced(plan)
            for job_id, task in plan.stops:
                self._preempt(job_id, task, now)
            for move in plan.moves:
                self._move(move, now)
            if plan.assignments:
                await self._start(plan, now)

    async def decide(self, now: float) -> Plan:
        """One plan, on views taken at its beginning. Others get their turn between jobs:
        a long round must not hold up check-ins, users and the renewal of the lead."""
        snapshot = self.snapshot
        snapshot.begin(self.wall(), now)
        self.reservations.prune(lambda reservation: self._still_wanted(reservation, now))
        jobs = snapshot.jobs()
        if not jobs and not self.requests:
            return Plan()
        active = snapshot.active()
        current = Round(
            snapshot.machines(),
            snapshot.teams,
            self.cluster.usage,
            keep_ordinary=any(not job.spec.spot for job in active),
            shapes=snapshot.gang_shapes(),
            lowest=max((job.spec.priority for job in active if job.attempts), default=-1),
            team_work=snapshot.team_work,
            reserved=snapshot.reserved(),
        )
        since = self.loop.time()
        for _ in current.run(jobs):
            if self.loop.time() - since > constants.SLICE_S:
                await asyncio.sleep(0)
                since = self.loop.time()
        self._answer_requests(current)
        return current.plan

    # --- room for other cells' jobs ------------------------------------------
    async def reserve(self, spec: JobSpec, until: float) -> bool:
        """Keep room for the whole job until then, if all that is ours leaves it."""
        request = CapacityRequest(spec, until, self.loop.create_future())
        self.requests.append(request)
        self.request_round()
        return await request.kept

    def _answer_requests(self, current: Round) -> None:
        requests, self.requests = self.requests, []
        for request in requests:
            assignments = current.reserve(self.snapshot.offered_view(request.spec))
            tasks = iter(range(request.spec.tasks))
            for start in assignments:
                for _ in range(start.count):
                    self.reservations.add(
                        Reservation(request.spec, next(tasks), start.machine, request.until, True)
                    )
            if not request.kept.done():
                request.kept.set_result(bool(assignments))

    def release(self, spec: JobSpec) -> None:
        """The room that is still kept for the job is free again."""
        self.reservations.prune(lambda reservation: reservation.spec.id != spec.id)
        self.request_round()

    def free_machines(self) -> list[MachineView]:
        """Machines that take new work, with the room that is neither used nor kept."""
        return self.snapshot.machines()

    def starting_machines(self) -> list[tuple[float, MachineView]]:
        """Machines on their way, and in how many seconds they should be up."""
        return self.snapshot.starting(self.loop.time())

    def _still_wanted(self, reservation: Reservation, now: float) -> bool:
        job = self.cluster.jobs.get(reservation.spec.id)
        machine = self.cluster.machines.get(reservation.machine)
        if job is None and reservation.reserved and machine is not None:
            return now < reservation.until and self.snapshot.is_schedulable(machine, now)
        if job is None or machine is None or job.phase is not JobPhase.ACTIVE:
            return False
        attempt = job.attempts.get(reservation.task)
        placed = attempt is not None and not attempt.is_leaving
        return not placed and now < reservation.until and self.snapshot.is_schedulable(machine, now)

    def _move(self, move: Move, now: float) -> None:
        """Its next place is booked: the replica may stop."""
        job = self.cluster.jobs.get(move.job)
        attempt = job.attempts.get(move.task) if job is not None else None
        if attempt is None or attempt.is_leaving:  # it ended while the round was decided
            return
        spec = attempt.job.spec
        log.info("replica %s/%d moves to %s", move.job, move.task, move.machine)
        until = (
            now + self.workers.settings.lease_expiry_s
        )  # by then the old attempt is gone in any case
        self.reservations.add(Reservation(spec, move.task, move.machine, until))
        self._stop_in_order(attempt, now)

    def _preempt(self, job_id: str, task: int, now: float) -> None:
        job = self.cluster.jobs.get(job_id)
        if job is None or task not in job.attempts:
            return
        log.info("task %s/%d is stopped to make room", job_id, task)
        attempt, spec = job.attempts[task], job.spec
        if not spec.gang and spec.checkpoint_s <= constants.CHECKPOINT_WORTH * spec.save_s:
            # What it has done since it last saved by itself is little; whoever needs the
            # room would wait for the save.
            self.workers.stop(attempt, 0.0, now)
        else:
            self._stop_in_order(attempt, now)

    def drain_machine(self, machine: Machine, now: float) -> None:
        """The cloud takes the machine back soon: save what can be saved, and go on elsewhere."""
        left = (machine.reclaimed_at or now) - now
        for attempt in list(machine.attempts.values()):
            spec = attempt.job.spec
            if attempt.is_leaving or spec.daemon:
                continue  # a replica is stopped once its next place is booked
            rest = max(
                spec.expected_s - (now - attempt.since), spec.expected_s * constants.ESTIMATE_FLOOR
            )
            if not spec.checkpoint_s and attempt.running and rest < left:
                continue  # it may well be done before
            self._stop_in_order(attempt, now)

    def _stop_in_order(self, attempt: Attempt, now: float) -> None:
        """With time to save; a gang is stopped as a whole, or the save fails."""
        spec = attempt.job.spec
        grace_s = spec.save_s + constants.CHECKPOINT_GRACE_S if spec.checkpoint_s else 0.0
        for target in list(attempt.job.attempts.values()) if spec.gang else [attempt]:
            self.workers.stop(target, grace_s, now)

    def _still_valid(self, assignments: list[Assignment], now: float) -> list[Assignment]:
        """What may have changed while the round was decided: jobs that ended, machines that
        are not to be used any more. Room and limits cannot: only rounds take them."""
        dead = set()
        wanted: dict[str, int] = {}
        for start in assignments:
            wanted[start.job] = wanted.get(start.job, 0) + start.count
            machine = self.cluster.machines.get(start.machine)
            if machine is None or not self.snapshot.is_schedulable(machine, now):
                dead.add(start.job)
        for job_id, count in wanted.items():
            job = self.cluster.jobs.get(job_id)
            if (
                job is None
                or job.on_hold
                or job.phase is not JobPhase.ACTIVE
                or len(job.pending) < count
            ):
                dead.add(job_id)
        return [start for start in assignments if start.job not in dead]

    def _tell(self, assignments: list[Assignment]) -> None:
        """One line for each job, however many machines it goes to."""
        wall = self.wall()
        for job_id, group in groupby(assignments, key=lambda start: start.job):
            spec = self.cluster.jobs[job_id].spec
            chosen = [(self.cluster.machines[start.machine], start.count) for start in group]
            log.info(
                "%s %s: %d tasks to %d machines (%s; %d to fetch) after %.1f s",
                spec.class_name,
                job_id,
                sum(count for _, count in chosen),
                len(chosen),
                ", ".join(sorted({machine.type for machine, _ in chosen})),
                sum(spec.image not in machine.images for machine, _ in chosen),
                wall - spec.submitted,
            )
            for machine, count in chosen:
                log.debug("%s: %d tasks to %s", job_id, count, machine.name)

    async def _start(self, plan: Plan, now: float) -> None:
        """Book the room, store the intent, and only then let the starts go out."""
        assignments = self._still_valid(plan.assignments, now)
        self._tell(assignments)
        self._note_late(assignments, now)
        for parts in joined_by_gangs(self.rounds.write(assignments, now)):
            await self._start_together(parts)

    def _note_late(self, assignments: list[Assignment], now: float) -> None:
        for job_id in dict.fromkeys(start.job for start in assignments):
            job = self.cluster.jobs[job_id]
            if job.health is not JobHealth.FAILING and not job.attempts:
                job.started_late |= self.snapshot.is_starving(job, now)

    async def _start_together(self, parts: list[RecordPart]) -> None:
        """Records that a gang shares: it starts once all of them are stored, or not at all."""
        failed: list[RecordPart] = []
        for part in parts:
            try:
                await part.stored
            except StoreError as exc:
                log.error("the intent %s is not stored: %s", part.key, exc)
                failed.append(part)
        # Of these nothing was written, and nothing started.
        abandoned = [attempt for part in failed for attempt in part.attempts]
        broken = {attempt.job for attempt in abandoned if attempt.job.spec.gang}
        stored = [part for part in parts if part not in failed]
        abandoned += [a for part in stored for a in part.attempts if a.job in broken]
        for attempt in abandoned:
            self.cluster.release(attempt, self.loop.time())
        for part in stored:
            self._let_start(part)

    def _let_start(self, part: RecordPart) -> None:
        now = self.loop.time()
        pushed: dict[str, bool] = {}  # machine -> whether all that it starts may wait
        for attempt in part.attempts:
            if attempt.phase is not AttemptPhase.PLANNED:
                continue
            attempt.enter(AttemptPhase.INTENDED, now)
            if attempt.stopping or attempt.job.on_hold or attempt.job.phase is not JobPhase.ACTIVE:
                self.cluster.release(attempt, now)
            else:
                spec = attempt.job.spec
                deferrable = not spec.gang and spec.id not in self.snapshot.within_quota
                pushed[attempt.machine] = deferrable and pushed.get(attempt.machine, True)
        if part.key not in self.cluster.rounds:
            self.rounds.drop(part.key)
        for name, deferrable in pushed.items():
            machine = self.cluster.machines.get(name)
            if machine is not None:
                self.workers.delivery.push(machine, deferrable)
