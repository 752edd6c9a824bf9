"""The machine types of the cloud, and their copy in the state service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.autoscaling.machine_type_records import (
    PARTS_PREFIX,
    TypesTooLargeError,
    read_machine_types,
    write_machine_types,
)
from peathall.autoscaling.provider_client import CloudClient
from peathall.cluster.state import ClusterState
from peathall.protocol.cloud import MachineType
from peathall.protocol.state_service import KeyValue
from peathall.store.writer import Writer

log = logging.getLogger("peathall.autoscaling")


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
        self._write_count = 0  # in this term

    def load(self, items: list[KeyValue]) -> None:
        """Load the types last stored, after a failover, from all records of machine types."""
        for item in items:
            self._writer.versions[item.key] = item.version
        self._set(read_machine_types(items))

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
            self._store(types)
        if not known:
            self._on_first_known()

    def _store(self, types: list[MachineType]) -> None:
        """Store the types, so that a leader that starts during an outage of the cloud can still
        validate jobs and place them."""
        self._write_count += 1
        set_name = f"{self._cluster.term:08d}-{self._write_count:06d}"
        try:
            puts = write_machine_types(types, set_name, self._writer.value_limit)
        except TypesTooLargeError as exc:
            log.error("machine types not stored: type %s is larger than a value may be", exc)
            return
        earlier = [key for key in self._writer.versions if key.startswith(PARTS_PREFIX)]
        stored = asyncio.gather(*(self._writer.submit([put]) for put in puts))
        stored.add_done_callback(lambda done: self._delete_earlier(earlier, done))

    def _delete_earlier(self, keys: list[str], stored: asyncio.Future[list[int]]) -> None:
        """Delete the parts of earlier sets, once all records of the latest are stored."""
        if stored.cancelled() or stored.exception() is not None:
            return  # the next change of the types deletes them
        for key in keys:
            self._writer.defer_delete(key)

    def _set(self, types: list[MachineType]) -> None:
        self._cluster.types = {t.name: t for t in types}
        for machine in self._cluster.machines.values():
            machine_type = self._cluster.types.get(machine.type)
            if machine_type is not None and not machine.cpus:
                machine.set_capacity(machine_type)
