"""The images that each machine has cached, stored in the state service to survive a failover.

The records are hints: heartbeats do not list cached images, and a new leader without the records
would place tasks on machines that must fetch images that other machines have. A wrong hint costs
one fetch.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

from peathall import constants
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import Delete, KeyValue, Put
from peathall.store.mutation import Mutation
from peathall.store.writer import Writer

IMAGE_CACHE_PREFIX = "cache/"
EMPTY_RECORD_BYTES = json_size({"machines": {}})


class ImageCacheRecords:
    """Reads and writes the records of cached images. Many machines share a record, so that a new
    image on all machines costs few writes."""

    def __init__(self, cluster: ClusterState, writer: Writer) -> None:
        self.cluster = cluster
        self.writer = writer
        # Images (name, GB) by machine, from stored records, until the machine is confirmed.
        self.loaded_images: dict[str, list[tuple[str, float]]] = {}
        # Names of the machines in each record, by record key; the inner dict is an ordered set.
        self.machines_by_record: dict[str, dict[str, None]] = {}
        self.record_by_machine: dict[str, str] = {}  # key of the record, by machine

    def load(self, records: list[KeyValue]) -> None:
        """Read the records after a failover."""
        for record in records:
            self.writer.versions[record.key] = record.version
            for name, images in record.value["machines"].items():
                self.loaded_images[name] = images
                self.machines_by_record.setdefault(record.key, {})[name] = None
                self.record_by_machine[name] = record.key

    def restore(self, machine: Machine) -> None:
        """Restore the stored images of a machine that is now confirmed in this term."""
        for image, size in self.loaded_images.pop(machine.name, ()):
            machine.images.setdefault(image, size)

    def schedule_write(self, machine: Machine) -> None:
        """Schedule a deferred write of the machine's images, as they are when it is made."""
        key = f"{IMAGE_CACHE_PREFIX}{crc32(machine.name.encode()) % self._record_count()}"
        before = self.record_by_machine.get(machine.name)
        if before is not None and before != key:
            self.machines_by_record[before].pop(machine.name, None)
        self.record_by_machine[machine.name] = key
        self.machines_by_record.setdefault(key, {})[machine.name] = None
        self.writer.defer(key, lambda: self._mutation(key))

    def _record_count(self) -> int:
        """Number of records among which the machines are divided.

        The number is doubled when the share of a machine would be too small, since doubling leaves
        half of the machines in their record.
        """
        machines_per_record = max(1, self.writer.value_limit // constants.IMAGE_CACHE_ENTRY_BYTES)
        count = constants.IMAGE_CACHE_RECORDS
        while count * machines_per_record < len(self.cluster.machines):
            count *= 2
        return count

    def _mutation(self, key: str) -> Mutation | None:
        images_by_machine = {name: self._images(name) for name in self.machines_by_record[key]}
        cached = {name: images for name, images in images_by_machine.items() if images}
        self.machines_by_record[key] = dict.fromkeys(cached)
        machines = self._shorten(cached)
        if machines:
            return Mutation({}, [Put(key, {"machines": machines})])
        return Mutation({}, [Delete(key)]) if key in self.writer.versions else None

    def _shorten(self, images_by_machine: dict[str, list[list[Any]]]) -> dict[str, list[list[Any]]]:
        """The latest images of each machine for which its share of the record has room. Machines
        for which it has room for none are left out."""
        share = (self.writer.value_limit - EMPTY_RECORD_BYTES) // max(1, len(images_by_machine))
        shortened = {}
        for name, images in images_by_machine.items():
            latest = list(images)
            while latest and json_size({name: latest}) > share:
                latest.pop(0)  # the least recently used, which the worker evicts next
            if latest:
                shortened[name] = latest
        return shortened

    def _images(self, name: str) -> list[list[Any]]:
        """The machine's images as stored (name, GB), the least recently used first."""
        machine = self.cluster.machines.get(name)
        images = self.loaded_images.get(name) or (
            machine.images.items() if machine is not None else ()
        )
        return [[image, round(size, 1)] for image, size in images]

    def forget_unknown(self) -> None:
        """Drop machines that no longer exist, after the cloud has listed all that do."""
        for by_machine in (self.loaded_images, self.record_by_machine):
            for name in [n for n in by_machine if n not in self.cluster.machines]:
                del by_machine[name]
