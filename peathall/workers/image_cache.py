"""Which images each machine has, kept in the state service across take-overs.

Only hints: reports do not tell what is cached, and a new leader that does not know
it sends tasks to fetch again what lies elsewhere. A stale hint costs a fetch.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

from peathall import constants
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.protocol.codec import json_size
from peathall.store.client import Delete, KeyValue, Put
from peathall.store.writer import Mutation, Writer

CACHE = "cache/"


class ImageCacheRecords:
    """Many machines share a record, so that new images everywhere cost few changes."""

    def __init__(self, cluster: ClusterState, writer: Writer) -> None:
        self.cluster = cluster
        self.writer = writer
        self.limit = writer.value_limit
        self.loaded: dict[str, list[tuple[str, float]]] = {}
        self.members: dict[str, dict[str, None]] = {}  # record -> machines in it
        self.record_of: dict[str, str] = {}  # machine -> its record

    def load(self, items: list[KeyValue]) -> None:
        """After a take-over: what was remembered."""
        for item in items:
            self.writer.versions[item.key] = item.version
            for name, images in item.value["machines"].items():
                self.loaded[name] = images
                self.members.setdefault(item.key, {})[name] = None
                self.record_of[name] = item.key

    def recall(self, machine: Machine) -> None:
        """The machine is up and known to us: take over what earlier leaders saw on it."""
        for image, size in self.loaded.pop(machine.name, ()):
            machine.images.setdefault(image, size)

    def changed(self, machine: Machine) -> None:
        """Written in its latest state when nothing that matters more waits for the store."""
        key = f"{CACHE}{crc32(machine.name.encode()) % self._records()}"
        before = self.record_of.get(machine.name)
        if before is not None and before != key:
            self.members[before].pop(machine.name, None)
        self.record_of[machine.name] = key
        self.members.setdefault(key, {})[machine.name] = None
        self.writer.defer(key, lambda: self._change(key))

    def _records(self) -> int:
        """Records among which the machines are divided: more of them only once a machine's share
        would be too small, and then twice as many, so that few machines change their record."""
        together = max(1, self.limit // constants.CACHE_BYTES)
        records = constants.CACHE_RECORDS
        while records * together < len(self.cluster.machines):
            records *= 2
        return records

    def _change(self, key: str) -> Mutation | None:
        members = {name: self._known(name) for name in self.members[key]}
        record = {name: images for name, images in members.items() if images}
        self.members[key] = dict.fromkeys(record)
        share = self.limit // max(1, len(record))
        for name, images in record.items():
            while json_size(images) + len(name) + 4 > share:
                images.pop(0)  # the next to go from the cache, too
        if record:
            return Mutation({}, [Put(key, {"machines": record})])
        return Mutation({}, [Delete(key)]) if key in self.writer.versions else None

    def _known(self, name: str) -> list[Any]:
        machine = self.cluster.machines.get(name)
        seen = self.loaded.get(name) or (machine.images.items() if machine is not None else ())
        return [[image, round(size, 1)] for image, size in seen]

    def forget_unknown(self) -> None:
        """What was read of machines that are no more, after the cloud's list was read."""
        for name in [n for n in self.loaded if n not in self.cluster.machines]:
            del self.loaded[name]
        for name in [n for n in self.record_of if n not in self.cluster.machines]:
            del self.record_of[name]
