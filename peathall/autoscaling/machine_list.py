"""Reconciliation of the cluster's machines with the cloud's machine list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peathall import constants
from peathall.autoscaling.provider_client import CloudClient
from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import CloudSettings
from peathall.protocol.cloud import ListedMachine, MachineState
from peathall.workers.workers import Workers


def list_interval_s(machines: int, rps: float) -> float:
    """Seconds between reads of a list of `machines`, if the cloud allows `rps` requests a second:
    its pages leave most of the requests to provisioning and deletion."""
    pages = 1 + machines // constants.MACHINE_LIST_PAGE_SIZE
    return max(
        constants.MACHINE_LIST_MIN_INTERVAL_S, pages / (constants.MACHINE_LIST_RPS_SHARE * rps)
    )


class MachineList:
    """Reads the cloud's machine list and applies it to the cluster."""

    def __init__(
        self,
        cluster: ClusterState,
        cloud: CloudClient,
        settings: CloudSettings,
        workers: Workers,
        on_failed: Callable[[str], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._cluster = cluster
        self._cloud = cloud
        self._settings = settings
        self._workers = workers
        self._on_failed = on_failed  # called with the name of a machine that is listed as failed
        self._last_read_at = -1e9
        self._interval_s = constants.MACHINE_LIST_MIN_INTERVAL_S
        self.is_known = False  # read at least once in this term

    def is_due(self, now: float) -> bool:
        """Whether the list is to be read again."""
        return now - self._last_read_at > self._interval_s

    async def refresh(self, now: float) -> None:
        """Read the whole list and reconcile the cluster's machines with it; raises CloudError."""
        self._last_read_at = now
        listed = await self._cloud.machines()
        self._interval_s = list_interval_s(len(listed), self._settings.rps)
        self.reconcile(listed, self._loop.time())

    def reconcile(self, listed: list[ListedMachine], now: float) -> None:
        """Add new machines, and remove those that failed or are no longer listed."""
        self.is_known = True
        for item in listed:
            if not self._cluster.was_deleted(item.name):
                self._apply(item, now)
        self._remove_unlisted(now)

    def _apply(self, item: ListedMachine, now: float) -> None:
        # A running machine that this leader does not know started up under an earlier leader.
        # It is judged by its heartbeats from now on: by its age it would count as late to start.
        is_running = item.state is MachineState.RUNNING
        machine = self._cluster.machine(
            item.name,
            item.type,
            item.zone,
            item.spot,
            MachinePhase.RECOVERED if is_running else MachinePhase.STARTING,
            now,
        )
        machine.created_at = min(machine.created_at, now - item.age_s)
        machine.listed_at = now
        machine.listed_by_cloud = True
        if not machine.addr:
            machine.addr = item.addr
        if item.state is MachineState.FAILED:
            # The machine stopped without a deletion request, and all its tasks with it.
            self._workers.machine_gone(machine, now, "the cloud lists it as failed")
            self._on_failed(item.name)

    def _remove_unlisted(self, now: float) -> None:
        limit_s = constants.UNLISTED_LAGS * max(1.0, self._settings.list_lag_s)
        for machine in list(self._cluster.machines.values()):
            silent_s = self._workers.health.seconds_since_heartbeat(machine, now)
            if now - machine.listed_at > limit_s and silent_s > limit_s and not machine.attempts:
                # The machine was reclaimed, or never provisioned. Being unlisted alone proves
                # nothing: the machine must be silent too, and the expiry of its lease must have
                # released its attempts.
                self._workers.machine_gone(machine, now, "the cloud does not list it any more")
