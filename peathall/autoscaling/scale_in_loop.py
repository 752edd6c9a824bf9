"""Scale-in: deletes the machines that are no longer useful."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peathall import constants
from peathall.autoscaling.actions import CloudActions, CloudError
from peathall.autoscaling.scale_in import CapacityShortage, ScaleInPolicy
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.workers.workers import Workers


class ScaleInLoop:
    """Deletes machines at the cloud, batch by batch, and then removes them from the cluster."""

    def __init__(
        self,
        cluster: ClusterState,
        workers: Workers,
        policy: ScaleInPolicy,
        actions: CloudActions,
        shortage: Callable[[float], CapacityShortage],
        on_change: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._cluster = cluster
        self._workers = workers
        self._policy = policy
        self._actions = actions
        self._shortage = shortage
        self._on_change = on_change
        # Machines that stopped without a deletion request; deleting them removes them from the
        # cloud's list.
        self.failed: list[str] = []

    def note_failed(self, name: str) -> None:
        """Delete a machine that the cloud lists as failed with the next batch."""
        self.failed.append(name)

    def machines_to_delete(self, now: float) -> list[Machine]:
        """Machines that are no longer useful, at most as many as one deletion request may name."""
        return self._policy.machines_to_delete(now, self._shortage(now))

    async def step(self) -> None:
        """Delete all machines that are no longer useful, or failed; raises CloudError."""
        while await self._delete_batch() == constants.MAX_DELETION_NAMES:
            pass  # a full batch: there may be more to delete

    async def _delete_batch(self) -> int:
        now = self._loop.time()
        chosen = self.machines_to_delete(now)
        # The cloud rejects a request with more names than the protocol allows, and would reject
        # each retry.
        spare = constants.MAX_DELETION_NAMES - len(chosen)
        failed, self.failed = self.failed[:spare], self.failed[spare:]
        if not chosen and not failed:
            return 0
        for machine in chosen:
            machine.enter(MachinePhase.DELETING)
        try:
            await self._actions.delete([m.name for m in chosen] + failed)
        except CloudError:
            self.failed += failed
            raise
        # The response proves that the machines and everything on them are gone.
        now = self._loop.time()
        for machine in chosen:
            # The machine is already removed if it was listed as failed during the request.
            if self._cluster.machines.get(machine.name) is machine:
                self._workers.machine_gone(machine, now, "deleted")
        self._on_change()
        return len(chosen) + len(failed)
