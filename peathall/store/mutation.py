"""Mutations, and batches of mutations that fit into one transaction."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import Delete, Put, operation_to_wire


class Mutation:
    """Puts and deletes that are committed together, with their conditions.

    `done` yields the revision of the commit, or the error because of which nothing was written.
    """

    __slots__ = ("conditions", "done", "ops", "size")

    def __init__(self, conditions: dict[str, int], ops: list[Put | Delete]) -> None:
        self.conditions = conditions  # key -> version; 0: no such record
        self.ops = ops
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Retrieves the exception, or asyncio warns when no caller awaits the result.
        self.done.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.size = sum(json_size(operation_to_wire(op)) for op in ops)  # bytes

    def then(self, action: Callable[[], None]) -> Mutation:
        """Run `action` once the mutation is stored; never if it fails."""
        self.done.add_done_callback(
            lambda done: None if done.cancelled() or done.exception() else action()
        )
        return self

    def touched_keys(self) -> set[str]:
        """All keys of its operations and conditions."""
        return {op.key for op in self.ops} | set(self.conditions)


class Batch:
    """Mutations for one transaction: within its limits, and with no key in common."""

    def __init__(self, limits: StateSettings) -> None:
        self.max_ops = limits.max_operations
        self.max_conditions = limits.max_conditions
        self.mutations: list[Mutation] = []
        self.op_count = 0
        self._size = 0  # bytes
        self._condition_count = 0
        self._keys: set[str] = set()

    @property
    def is_full(self) -> bool:
        """Whether the limit of operations is reached."""
        return self.op_count >= self.max_ops

    def add(self, mutation: Mutation) -> bool:
        """Add the mutation if it fits; the first one always fits. False if it does not fit."""
        touched = mutation.touched_keys()
        if self.mutations and not self._fits(mutation, touched):
            return False
        self.mutations.append(mutation)
        self.op_count += len(mutation.ops)
        self._size += mutation.size
        self._condition_count += len(touched)
        self._keys |= touched
        return True

    def _fits(self, mutation: Mutation, touched: set[str]) -> bool:
        return (
            self.op_count + len(mutation.ops) <= self.max_ops
            and self._size + mutation.size <= constants.MAX_TXN_BYTES
            and self._condition_count + len(touched) < self.max_conditions
            and not touched & self._keys
        )


def fail_mutations(mutations: Iterable[Mutation], error: Exception) -> None:
    """Fail mutations that will not be written, except those with a result."""
    for mutation in mutations:
        if not mutation.done.done():
            mutation.done.set_exception(error)


def partition_by_keys(
    mutations: list[Mutation], keys: list[str]
) -> tuple[list[Mutation], list[Mutation]]:
    """The mutations that touch any of the keys, and the others."""
    touching: list[Mutation] = []
    others: list[Mutation] = []
    wanted = set(keys)
    for mutation in mutations:
        (touching if mutation.touched_keys() & wanted else others).append(mutation)
    return touching, others
