"""The autoscaler of a leader: its components, and the loops that run them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from peathall import constants
from peathall.autoscaling.actions import ActionRouter, CloudActions, CloudError
from peathall.autoscaling.machine_list import MachineList
from peathall.autoscaling.machine_types import MachineTypes
from peathall.autoscaling.provider_client import CloudClient
from peathall.autoscaling.provisioner import Provisioner
from peathall.autoscaling.scale_in import ScaleInPolicy
from peathall.autoscaling.scale_in_loop import ScaleInLoop
from peathall.autoscaling.scale_out_loop import ScaleOutLoop
from peathall.autoscaling.startup_times import StartupTimes
from peathall.autoscaling.usage import UsageLog
from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.placement.plan import Plan
from peathall.protocol.state_service import KeyValue
from peathall.store.writer import Writer
from peathall.workers.workers import Workers

log = logging.getLogger("peathall.autoscaling")


class ScalingLeader(Protocol):
    """The part of the leader that the autoscaler calls."""

    def is_active(self) -> bool:
        """Whether the leader may act now."""

    def state_changed(self) -> None:
        """Machine types have become known, or machines are gone: placement should run again."""


class Autoscaler:
    """Tracks the cloud's machine types and machine list, provisions and deletes machines."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        cloud: CloudClient,
        writer: Writer,
        workers: Workers,
        leader: ScalingLeader,
        idle_hold_s: float | None,
        delegated: CloudActions | None = None,
    ) -> None:
        """`idle_hold_s`: seconds for which idle machines are kept; None derives them from costs.
        `delegated`: sends requests to the duty holders, if those provision and delete."""
        self._loop = asyncio.get_running_loop()
        self._cluster = cluster
        self._leader = leader
        self.actions = ActionRouter(cloud, delegated)
        self.startup_times = StartupTimes(cluster)
        self.usage = UsageLog(cluster)
        self.machine_types = MachineTypes(cluster, cloud, writer, leader.state_changed)
        self.provisioner = Provisioner(cluster, self.actions, leader.is_active)
        self.scale_out = ScaleOutLoop(cluster, workers.health, self.startup_times, self.provisioner)
        self.scale_in_policy = ScaleInPolicy(
            cluster, params, workers.health, self.startup_times, idle_hold_s
        )
        self.scale_in = ScaleInLoop(
            cluster,
            workers,
            self.scale_in_policy,
            self.actions,
            self.scale_out.shortage,
            leader.state_changed,
        )
        self.machine_list = MachineList(
            cluster, cloud, params.cloud, workers, self.scale_in.note_failed
        )

    def load_types(self, items: list[KeyValue]) -> None:
        """Load the machine types last stored, after a failover."""
        self.machine_types.load(items)

    def mark_deleting(self, names: set[str], now: float) -> None:
        """After a failover, mark machines whose deletion is committed: no task may start there."""
        for name in names:
            machine = self._cluster.machine(name, "", "", False, MachinePhase.RECOVERED, now)
            machine.enter(MachinePhase.DELETING)

    def act_directly(self) -> None:
        """Provision and delete directly from now on, without the duty holders."""
        self.actions.act_directly()

    def note_unplaced(self, plan: Plan) -> None:
        """Plan scale-out soon, from the unplaced tasks and the free capacity that a round left."""
        self.scale_out.note_unplaced(plan)

    async def run(self) -> None:
        """Run reading, scale-in and scale-out concurrently: a slow response to one must not delay
        the others. They share the cloud's request rate."""
        async with asyncio.TaskGroup() as loops:
            loops.create_task(self._repeat(self._refresh, self._tick))
            loops.create_task(self._repeat(self.scale_in.step, self._tick))
            loops.create_task(self._repeat(self.scale_out_step, self.scale_out.wait))

    async def scale_out_step(self) -> None:
        """Plan and provision once; raises CloudError."""
        await self.scale_out.step(self.machine_list.is_known)

    async def _tick(self) -> None:
        await asyncio.sleep(constants.TICK_S)

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], pause: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await pause()
            if not self._leader.is_active():
                continue
            try:
                await step()
            except CloudError as exc:
                log.info("autoscaling step failed and will be retried: %s", exc)
                await asyncio.sleep(constants.TICK_S)

    async def _refresh(self) -> None:
        """Sample usage, and read the machine types and the machine list if they are due."""
        now = self._loop.time()
        self.usage.sample(now)
        if self.machine_types.is_due(now):
            await self.machine_types.refresh(now)
        if self.machine_list.is_due(now):
            await self.machine_list.refresh(now)
