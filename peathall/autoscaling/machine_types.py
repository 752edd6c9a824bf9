"""The machine types of the cloud provider, and their copy in the state service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from peathall import constants
from peathall.autoscaling.provider_client import CloudClient
from peathall.cluster.state import ClusterState
from peathall.protocol import codec
from peathall.protocol.cloud import MachineType, decode_machine_types, encode_machine_types
from peathall.protocol.state_service import Put
from peathall.store.writer import Writer

MACHINE_TYPES_KEY = "types"  # key of the stored copy


class MachineTypes:
    """Keeps the cluster's machine types and their stored copy up to date."""

    def __init__(
        self,
        cluster: ClusterState,
        cloud: CloudClient,
        writer: Writer,
        on_first_known: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._cloud = cloud
        self._writer = writer
        self._on_first_known = on_first_known
        self._refreshed_at = -1e9

    def load(self, value: Any) -> None:
        """Load the types last stored, after a failover."""
        self._set(decode_machine_types(value))

    def is_due(self, now: float) -> bool:
        """Whether to read the types: none are known, or their prices may have changed."""
        return (
            not self._cluster.types or now - self._refreshed_at > constants.MACHINE_TYPES_INTERVAL_S
        )

    async def refresh(self, now: float) -> None:
        """Read the types from the cloud, and store them if they have changed."""
        self._refreshed_at = now
        types = await self._cloud.types()
        known = bool(self._cluster.types)
        if {t.name: t for t in types} != self._cluster.types:
            self._set(types)
            # Stored, so that a leader that starts during an outage of the cloud can still
            # validate jobs and place them.
            value = encode_machine_types(types)
            if codec.json_size(value) < self._writer.value_limit:
                self._writer.submit([Put(MACHINE_TYPES_KEY, value)])
        if not known:
            self._on_first_known()

    def _set(self, types: list[MachineType]) -> None:
        self._cluster.types = {t.name: t for t in types}
        for machine in self._cluster.machines.values():
            machine_type = self._cluster.types.get(machine.type)
            if machine_type is not None and not machine.cpus:
                machine.set_capacity(machine_type)
