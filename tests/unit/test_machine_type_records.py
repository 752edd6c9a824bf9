"""Records of machine types: their size, and what is read while they are being replaced."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from peathall.autoscaling.machine_type_records import (
    MACHINE_TYPES_KEY,
    TypesTooLargeError,
    read_machine_types,
    write_machine_types,
)
from peathall.config.platform import StateSettings
from peathall.protocol.cloud import MachineType
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import KeyValue
from peathall.store.writer import Writer
from tests.unit.test_store import FakeStore, leader_guard
from tests.unit.test_workers import new_autoscaler, new_workers

LIMIT = 1740  # bytes


def machine_types(count: int, price: float = 1.25) -> list[MachineType]:
    return [
        MachineType(f"type-{n}", 64.0, 0.0, 256.0, 50.0, 0.4, price, 0.5, 30.0, ["a", "b"])
        for n in range(count)
    ]


def stored(types: list[MachineType], set_name: str, version: int) -> list[KeyValue]:
    """The records of one write, each stored in a transaction of its own."""
    puts = write_machine_types(types, set_name, LIMIT)
    return [KeyValue(put.key, put.value, version + n) for n, put in enumerate(puts)]


@pytest.mark.parametrize("count", [1, 4, 9, 10, 30, 200])
def test_any_number_of_types_is_stored_within_the_limit(count: int) -> None:
    """Regression: more types than fit into one value were not stored at all, and a leader that
    began while the cloud did not answer could place nothing and accept nothing."""
    types = machine_types(count)
    items = stored(types, "1-1", 5)
    assert all(json_size(item.value) <= LIMIT for item in items)
    assert read_machine_types(items) == types
    random.Random(count).shuffle(items)
    assert {t.name for t in read_machine_types(items)} == {t.name for t in types}


def test_a_few_types_are_one_record_which_every_version_reads() -> None:
    assert [item.key for item in stored(machine_types(4), "1-1", 5)] == [MACHINE_TYPES_KEY]


def test_an_incomplete_set_is_never_read() -> None:
    """A type that is missing would make every job for it inadmissible."""
    before, after = machine_types(30), machine_types(40, price=2.0)
    items, later = stored(before, "1-1", 5), stored(after, "2-1", 50)
    for missing in range(len(later)):
        partly = later[:missing] + later[missing + 1 :]
        assert read_machine_types(partly) == []
        assert read_machine_types(items + partly) == before
    assert read_machine_types(items + later) == after
    assert read_machine_types(later + items) == after
    # A version that stores one record only may write meanwhile: the latest write counts.
    assert read_machine_types(items + stored(machine_types(3), "", 90)) == machine_types(3)
    assert read_machine_types(stored(machine_types(3), "", 1) + items) == before


def test_a_type_larger_than_a_value_is_an_error() -> None:
    (large,) = machine_types(1)
    large = msgspec.structs.replace(large, zones=[f"zone-{n}" for n in range(300)])
    with pytest.raises(TypesTooLargeError):
        write_machine_types([large], "1-1", LIMIT)


def test_earlier_sets_are_deleted_once_the_latest_is_stored() -> None:
    async def run() -> None:
        store: Any = FakeStore()
        store.spare_ops = 50.0
        limits = StateSettings(100.0, 50.0, 2.0, 4)
        writer = Writer(store, limits, leader_guard(), lambda: True, lambda: None)
        writing = asyncio.create_task(writer.run())
        workers = new_workers(0.0)
        offered = machine_types(30)

        async def types() -> list[MachineType]:
            return offered

        autoscaler = new_autoscaler(workers, SimpleNamespace(types=types), writer)
        for offered in (machine_types(30), machine_types(35, 2.0), machine_types(2)):
            await autoscaler.machine_types.refresh(0.0)
            for _ in range(100):
                await asyncio.sleep(0)
            items = [
                KeyValue(key, value, version)
                for key, (value, version) in store.data.items()
                if key.startswith(MACHINE_TYPES_KEY)
            ]
            assert read_machine_types(items) == offered
            assert len(items) == len(write_machine_types(offered, "1-1", writer.value_limit))
        autoscaler.load_types(items)
        assert workers.cluster.types.keys() == {"type-0", "type-1"}
        writer.stop()
        await writing

    asyncio.run(run())
