"""Records of the machine types, which a leader reads while the cloud does not answer.

    types              all types, if they fit into one value
    types/SET/INDEX    a part of the types otherwise, with the number of parts of its set

A set has keys of its own, and earlier sets are deleted only once all its parts are stored. Readers
use the latest complete write: a job would be rejected for a type that is missing.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from peathall.protocol.cloud import MachineType, decode_machine_types, encode_machine_types
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import KeyValue, Put

MACHINE_TYPES_KEY = "types"  # also the prefix of all keys
PARTS_PREFIX = "types/"
PART_COUNT_FIELD = "parts"
MAX_PART_COUNT = 10**6  # has the longest number of parts


class TypesTooLargeError(Exception):
    """A machine type takes more bytes than a value may have."""


class StoredTypes(Struct):
    """Machine types as read, and the revision at which they were written."""

    types: list[MachineType]
    version: int


def read_machine_types(items: list[KeyValue]) -> list[MachineType]:
    """The types of the latest complete write, from all records with the prefix MACHINE_TYPES_KEY;
    empty if there is none."""
    parts_by_set: dict[str, list[KeyValue]] = {}
    found = []
    for item in items:
        if item.key == MACHINE_TYPES_KEY:
            found.append(StoredTypes(decode_machine_types(item.value), item.version))
        elif item.key.startswith(PARTS_PREFIX):
            parts_by_set.setdefault(item.key.rpartition("/")[0], []).append(item)
    for parts in parts_by_set.values():
        if len(parts) == parts[0].value[PART_COUNT_FIELD]:
            types = [t for part in parts for t in decode_machine_types(part.value)]
            found.append(StoredTypes(types, max(part.version for part in parts)))
    latest = max(found, key=lambda stored: stored.version, default=StoredTypes([], 0))
    return latest.types


def write_machine_types(types: list[MachineType], set_name: str, limit: int) -> list[Put]:
    """The operations that store the types in values of at most `limit` bytes, one transaction each.

    `set_name` must be new for each call. Raises TypesTooLargeError.
    """
    whole = encode_machine_types(types)
    if json_size(whole) <= limit:
        return [Put(MACHINE_TYPES_KEY, whole)]
    parts = _divide(types, limit)
    return [
        Put(f"{PARTS_PREFIX}{set_name}/{index:06d}", _part_record(part, len(parts)))
        for index, part in enumerate(parts)
    ]


def _part_record(types: list[MachineType], part_count: int) -> dict[str, Any]:
    return encode_machine_types(types) | {PART_COUNT_FIELD: part_count}


def _divide(types: list[MachineType], limit: int) -> list[list[MachineType]]:
    """Divide the types, in order, into as few parts as the limit allows."""
    parts: list[list[MachineType]] = []
    for machine_type in types:
        if json_size(_part_record([machine_type], MAX_PART_COUNT)) > limit:
            raise TypesTooLargeError(machine_type.name)
        if parts and json_size(_part_record([*parts[-1], machine_type], MAX_PART_COUNT)) <= limit:
            parts[-1].append(machine_type)
        else:
            parts.append([machine_type])
    return parts
