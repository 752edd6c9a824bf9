"""The cloud: renting, listing, returning. The only part that talks to it."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from peathall import constants
from peathall.autoscaling.actions import CloudActions, CloudError, NoCapacityError, ProvisionRequest
from peathall.autoscaling.provider_client import CloudClient
from peathall.autoscaling.scale_in import CapacityShortage, ScaleIn
from peathall.autoscaling.scale_out import Bin, MachineOffer, all_offers, offer_of, plan_scale_out
from peathall.autoscaling.startup_times import StartupTimes
from peathall.autoscaling.usage import UsageAccounting
from peathall.cluster.job import JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.placement.views import JobView, Plan
from peathall.protocol import codec
from peathall.protocol.cloud import (
    ListedMachine,
    MachineState,
    MachineType,
    decode_machine_types,
    encode_machine_types,
)
from peathall.store.client import Put
from peathall.store.writer import Writer
from peathall.workers.service import Workers

log = logging.getLogger("peathall.fleet")

TYPES = "types"


def list_gap_s(machines: int, rps: float) -> float:
    """Seconds between looks at a list of so many machines, at so many calls a second: its pages
    leave most of the calls to rentals and deletions."""
    pages = 1 + machines // constants.LIST_PAGE
    return max(constants.LIST_S, pages / (constants.LIST_SHARE * rps))


class Autoscaler:
    """Looks at the cloud's list, returns machines and rents others."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        cloud: CloudClient,
        writer: Writer,
        workers: Workers,
        is_leader: Callable[[], bool],
        on_change: Callable[[], None],
        idle_hold_s: float | None,
        actions: CloudActions | None = None,
    ) -> None:
        self.actions = actions or cloud  # who rents and deletes
        self.cluster = cluster
        self.params = params
        self.cloud = cloud
        self.writer = writer
        self.workers = workers
        self.is_leader = is_leader
        self.on_change = on_change
        self.startup_times = StartupTimes(cluster)
        self.returns = ScaleIn(cluster, params, workers.health, self.startup_times, idle_hold_s)
        self.loop = asyncio.get_running_loop()
        self.refused: dict[tuple[str, str, bool], float] = {}
        self.number = 0
        self.wake = asyncio.Event()
        self.unplaced: list[tuple[JobView, int]] = []
        self.free_capacity: dict[str, list[float]] = {}  # room that the last round left free
        self.unsure: list[tuple[str, MachineOffer, int]] = []  # rentals without an answer
        self.failed: list[str] = []  # stopped by themselves; to be taken off the list
        self.account = UsageAccounting()
        self.accounted = self.reported = self.loop.time()
        self.listed_once = False
        self.list_at = -1e9
        self.list_gap_s = constants.LIST_S
        self.types_at = -1e9

    # --- machine types -------------------------------------------------------
    def load_types(self, value: Any) -> None:
        """After a take-over: the types as they were last stored."""
        self.set_types(decode_machine_types(value))

    def set_types(self, types: list[MachineType]) -> None:
        """The machine types as the cloud, or the record of them, describes them."""
        self.cluster.types = {t.name: t for t in types}
        for machine in self.cluster.machines.values():
            size = self.cluster.types.get(machine.type)
            if size is not None and not machine.cpus:
                machine.set_capacity(size)

    async def _refresh_types(self, now: float) -> None:
        self.types_at = now
        types = await self.cloud.types()
        known = bool(self.cluster.types)
        if {t.name: t for t in types} != self.cluster.types:
            self.set_types(types)
            # Kept in the store, so that a leader that starts during an outage of
            # the cloud can still judge jobs and place them.
            value = encode_machine_types(types)
            if codec.json_size(value) < self.writer.value_limit:
                self.writer.submit([Put(TYPES, value)])
        if not known:
            self.on_change()

    # --- loop ----------------------------------------------------------------
    def note_unplaced(self, plan: Plan) -> None:
        """What a round found no room for, and the room that it left: plan rentals soon."""
        self.unplaced, self.free_capacity = plan.unplaced, plan.free_capacity
        if self.unplaced:
            self.wake.set()

    async def run(self) -> None:
        """Looking, returning and renting go on side by side and share the cloud's calls: a
        slow answer to one must not hold up the others."""
        async with asyncio.TaskGroup() as loops:
            loops.create_task(self._repeat(self._look, self._tick))
            loops.create_task(self._repeat(self._scale_in, self._tick))
            loops.create_task(self._repeat(self._scale_out, self._plan_requested))

    async def _tick(self) -> None:
        await asyncio.sleep(constants.TICK_S)

    async def _plan_requested(self) -> None:
        try:
            await asyncio.wait_for(self.wake.wait(), constants.TICK_S)
        except TimeoutError:
            pass
        self.wake.clear()

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], pause: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await pause()
            if not self.is_leader():
                continue
            try:
                await step()
            except CloudError as exc:
                log.info("%s", exc)
                await asyncio.sleep(constants.TICK_S)

    def _account(self, now: float) -> None:
        if now - self.accounted < constants.USAGE_SAMPLE_S:
            return
        self.account.add(
            list(self.cluster.machines.values()), self.cluster.types, now - self.accounted
        )
        self.accounted = now
        if now - self.reported > constants.USAGE_LOG_S:
            self.reported = now
            phases = Counter(m.phase.name.lower() for m in self.cluster.machines.values())
            queued: Counter[str] = Counter()
            for job in self.cluster.jobs.values():
                if job.pending and job.phase is JobPhase.ACTIVE:
                    queued[job.spec.class_name] += len(job.pending)
            up = [m for m in self.cluster.machines.values() if m.phase is MachinePhase.UP]
            log.info(
                "%s; machines %s; cpus %.0f of %.0f, gpus %.0f of %.0f in use; queued %s",
                self.account.line(),
                dict(phases),
                sum(m.cpus - m.free_cpus for m in up),
                sum(m.cpus for m in up),
                sum(m.gpus - m.free_gpus for m in up),
                sum(m.gpus for m in up),
                dict(queued),
            )

    async def _look(self) -> None:
        now = self.loop.time()
        self._account(now)
        if not self.cluster.types or now - self.types_at > constants.TYPES_S:
            await self._refresh_types(now)
        if now - self.list_at > self.list_gap_s:
            self.list_at = now
            listed = await self.cloud.machines()
            self.list_gap_s = list_gap_s(len(listed), self.params.cloud.rps)
            self._compare(listed, self.loop.time())

    # --- list ----------------------------------------------------------------
    def _compare(self, listed: list[ListedMachine], now: float) -> None:
        self.listed_once = True
        for item in listed:
            if self.cluster.was_deleted(item.name):
                continue
            # One that runs and is new to us came up under an earlier leader: whether it is
            # silent is judged by what it reports from now on, not by its age.
            up = item.state is MachineState.RUNNING
            machine = self.cluster.machine(
                item.name,
                item.type,
                item.zone,
                item.spot,
                MachinePhase.RECOVERED if up else MachinePhase.STARTING,
                now,
            )
            machine.created_at = min(machine.created_at, now - item.age_s)
            machine.listed_at = now
            machine.listed_by_cloud = True
            if not machine.addr:
                machine.addr = item.addr
            if item.state is MachineState.FAILED:
                # It has stopped by itself, and everything on it with it.
                self.workers.machine_gone(machine, now, "failed")
                self.failed.append(item.name)
        patience = constants.UNLISTED_LAGS * max(1.0, self.params.cloud.list_lag_s)
        for machine in list(self.cluster.machines.values()):
            quiet = self.workers.health.seconds_since_heartbeat(machine, now)
            if now - machine.listed_at > patience and quiet > patience and not machine.attempts:
                # Taken back by the cloud, or never rented. Its room was returned before,
                # by the lapse of its lease; being unlisted alone proves nothing.
                self.workers.machine_gone(machine, now, "not listed any more")

    # --- duties ---------------------------------------------------------------
    def mark_deleting(self, names: set[str], now: float) -> None:
        """After a take-over: machines whose deletion is committed. Nothing starts there."""
        for name in names:
            machine = self.cluster.machine(name, "", "", False, MachinePhase.RECOVERED, now)
            machine.enter(MachinePhase.DELETING)

    def act_directly(self) -> None:
        """From now on the leader rents and deletes by itself."""
        self.actions = self.cloud

    # --- returning -----------------------------------------------------------
    def _shortage(self, now: float) -> CapacityShortage:
        return CapacityShortage(
            [job.spec for job, _ in self.unplaced if job.is_starving],
            any(until > now for until in self.refused.values()),
        )

    def _to_delete(self, now: float) -> list[Machine]:
        return self.returns.to_delete(now, self._shortage(now))

    async def _scale_in(self) -> None:
        while await self._scale_in_batch() == constants.DELETE_MAX:
            pass  # there are more than one request may name

    async def _scale_in_batch(self) -> int:
        now = self.loop.time()
        chosen = self._to_delete(now)
        # A request with more names than the protocol allows would be refused for ever.
        room = constants.DELETE_MAX - len(chosen)
        extra, self.failed = self.failed[:room], self.failed[room:]
        if not chosen and not extra:
            return 0
        for machine in chosen:
            machine.enter(MachinePhase.DELETING)
        try:
            await self.actions.delete([m.name for m in chosen] + extra)
        except CloudError:
            self.failed += extra
            raise
        # The answer proves that the machines and everything on them are gone.
        now = self.loop.time()
        for machine in chosen:
            if self.cluster.machines.get(machine.name) is machine:  # not listed as failed meanwhile
                self.workers.machine_gone(machine, now, "deleted")
        self.on_change()
        return len(chosen) + len(extra)

    # --- renting -------------------------------------------------------------
    async def _scale_out(self) -> None:
        # A rental without an answer is repeated under its own name until it has one.
        await self._all_of([self._request(*entry) for entry in self.unsure])
        if not self.listed_once or not self.unplaced:
            return
        now = self.loop.time()
        coming, left = [], []
        for machine in self.cluster.machines.values():
            kind = offer_of(machine, self.cluster.types)
            if kind is not None and self._wakes(machine, now):
                free = [machine.free_cpus, machine.free_gpus, machine.free_ram]
                coming.append(Bin(kind, free))
            elif kind is not None and machine.name in self.free_capacity:
                left.append(Bin(kind, list(self.free_capacity[machine.name])))
        offers = [
            o
            for o in all_offers(list(self.cluster.types.values()))
            if self.refused.get(o.key, -1e9) < now
        ]
        provision = plan_scale_out(self.unplaced, coming, left, offers)
        requests = []
        for offer, count in provision:
            for part in range(0, count, constants.PROVISION_MAX):
                self.number += 1
                # The term makes the name unique for good, whoever leads later.
                request = f"r-{self.cluster.term}-{self.number}"
                requests.append(
                    self._request(request, offer, min(count - part, constants.PROVISION_MAX))
                )
        await self._all_of(requests)
        # Machines take long to boot: planning for them with every round would gain nothing.
        await asyncio.sleep(constants.SCALE_OUT_GAP_S)

    def _wakes(self, machine: Machine, now: float) -> bool:
        """Whether the machine, not in use yet, should soon be."""
        if machine.phase is MachinePhase.STARTING:
            late = now - machine.created_at > constants.STARTUP_LATE * self.startup_times.boot_s(
                machine
            )
            return not (late and self.startup_times.overtaken(machine))
        if not machine.listed_by_cloud:
            return False  # perhaps a late report, or a record, of one long gone
        if machine.phase is MachinePhase.RECOVERED:
            return (
                self.workers.health.seconds_since_heartbeat(machine, now)
                < self.workers.health.suspect_s()
            )
        return machine.phase is MachinePhase.UP and not machine.confirmed

    @staticmethod
    async def _all_of(requests: list[Coroutine[Any, Any, None]]) -> None:
        """All at once, in full batches: hundreds of machines can be needed in one go."""
        for result in await asyncio.gather(*requests, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    async def _request(self, request: str, offer: MachineOffer, count: int) -> None:
        entry = (request, offer, count)
        if not self.is_leader():
            return
        try:
            got = await self.actions.provision(
                ProvisionRequest(request, offer.type.name, offer.zone, offer.spot, count)
            )
        except NoCapacityError:
            if entry in self.unsure:
                self.unsure.remove(entry)
            self.refused[offer.key] = self.loop.time() + constants.NO_CAPACITY_S
            return
        except CloudError as exc:
            if exc.sent and entry not in self.unsure:
                self.unsure.append(entry)
            raise
        if entry in self.unsure:
            self.unsure.remove(entry)
        if len(got) < count:
            self.refused[offer.key] = self.loop.time() + constants.NO_CAPACITY_S
        log.info(
            "rented %d of %d %s in %s%s",
            len(got),
            count,
            offer.type.name,
            offer.zone,
            " (spot)" if offer.spot else "",
        )
        now = self.loop.time()
        for name in got:
            if not self.cluster.was_deleted(name):
                machine = self.cluster.machine(
                    name, offer.type.name, offer.zone, offer.spot, MachinePhase.STARTING, now
                )
                machine.created_at = now
                machine.listed_by_cloud = True
