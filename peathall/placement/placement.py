"""The leader's scheduling rounds: take a snapshot, plan, and carry out the plan."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from peathall import constants
from peathall.async_tasks import run_in_slices, wait_until_set
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.placement.capacity_requests import CapacityRequests
from peathall.placement.eviction import Eviction
from peathall.placement.plan import Plan
from peathall.placement.planner import Round
from peathall.placement.reservations import Reservations
from peathall.placement.rounds import RoundRecords
from peathall.placement.snapshot import Snapshot
from peathall.placement.starter import Starter
from peathall.placement.views import MachineView
from peathall.protocol.jobs import JobSpec
from peathall.store.deferred_writes import DeferredWriter
from peathall.store.writer import Writer
from peathall.workers.workers import Workers

log = logging.getLogger("peathall.placement")


class DemandListener(Protocol):
    """Finds capacity elsewhere for tasks that a round could not place."""

    def note_unplaced(self, plan: Plan) -> None:
        """Receive the plan of a round, with its unplaced tasks and remaining free capacity."""


class Placement:
    """The leader's loop of rounds. `wall` returns wall-clock time; other times are monotonic."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        writer: Writer,
        workers: Workers,
        wall: Callable[[], float],
        is_leader: Callable[[], bool],
        demand: Sequence[DemandListener],
        compaction_writer: DeferredWriter | None = None,
    ) -> None:
        self.cluster = cluster
        self.wall = wall
        self.is_leader = is_leader
        self.demand = demand
        self.loop = asyncio.get_running_loop()
        self.wake = asyncio.Event()
        # Held by a round while it plans and allocates, and by other code that uses up team limits.
        self.decision_lock = asyncio.Lock()
        self.reservations = Reservations()
        self.requests = CapacityRequests(self.reservations, self.request_round)
        self.snapshot = Snapshot(cluster, params, workers, self.reservations)
        self.rounds = RoundRecords(cluster, writer, compaction_writer)
        self.eviction = Eviction(cluster, workers, self.reservations)
        self.starter = Starter(cluster, workers, self.snapshot, self.rounds, wall)

    # --- rounds --------------------------------------------------------------
    def request_round(self) -> None:
        """Request a round soon, after a change of jobs, machines or reservations."""
        self.wake.set()

    async def run(self) -> None:
        """Run rounds until cancelled. The pause between rounds grows with their duration."""
        while True:
            await wait_until_set(self.wake, constants.ROUND_MAX_WAIT_S)
            await asyncio.sleep(constants.ROUND_MIN_PAUSE_S)
            self.wake.clear()
            if not self.is_leader():
                continue
            began = self.loop.time()
            await self.round(began)
            await asyncio.sleep(
                min(
                    constants.ROUND_MAX_WAIT_S,
                    (self.loop.time() - began) * constants.ROUND_PAUSE_FACTOR,
                )
            )

    async def round(self, now: float) -> None:
        """Plan one round and carry out the plan."""
        async with self.decision_lock:
            plan = await self.decide(now)
            for listener in self.demand:
                listener.note_unplaced(plan)
            for key in plan.stops:
                self.eviction.preempt(key, now)
            for move in plan.moves:
                self.eviction.move(move, now)
            if plan.assignments:
                await self.starter.start(plan.assignments, now)

    async def decide(self, now: float) -> Plan:
        """Plan a round on views built at its start. The coroutine yields between jobs, so that a
        long round does not delay heartbeats, user requests or the renewal of the leader lease."""
        snapshot = self.snapshot
        snapshot.begin(self.wall(), now)
        self.reservations.prune(self.cluster, snapshot.machines.is_schedulable, now)
        jobs = snapshot.jobs.views()
        if not jobs and not self.requests:
            return Plan()
        active = snapshot.jobs.active()
        current = Round(
            snapshot.machines.schedulable(),
            snapshot.teams,
            self.cluster.usage,
            prefer_spot=any(not job.spec.spot for job in active),
            recent_gangs=snapshot.jobs.recent_gangs(),
            lowest_priority=max((job.spec.priority for job in active if job.attempts), default=-1),
            team_workload=snapshot.victims.team_workload,
            lasting_usage=snapshot.victims.lasting_usage,
            reserved=snapshot.jobs.reserved(),
        )
        await run_in_slices(current.run(jobs), constants.ROUND_SLICE_S)
        for job_id, error in current.plan.failed:
            log.error("job %s is left out of this round", job_id, exc_info=error)
        self.requests.answer(current)
        return current.plan

    # --- machines ------------------------------------------------------------
    def free_machines(self) -> list[MachineView]:
        """Machines that accept new tasks, with their capacity that is neither used nor reserved."""
        return self.snapshot.machines.schedulable()

    def starting_machines(self) -> list[tuple[float, MachineView]]:
        """Machines that are starting, each with the expected seconds until it is up."""
        return self.snapshot.machines.starting(self.loop.time())

    def drain_machine(self, machine: Machine, now: float) -> None:
        """Stop the attempts that would not end before the cloud reclaims the machine."""
        self.eviction.drain(machine, now)

    # --- other cells' jobs ---------------------------------------------------
    async def reserve(self, spec: JobSpec, until: float) -> bool:
        """Reserve capacity for all tasks of the job until the monotonic time `until`. Returns False
        if the next round leaves too little capacity."""
        return await self.requests.reserve(spec, until)

    def release(self, spec: JobSpec) -> None:
        """Free the capacity that is still reserved for the job."""
        self.reservations.release(spec.id)
        self.request_round()
