"""Records that hold entries of several jobs, all written in one change."""

from __future__ import annotations

import asyncio
from typing import Any

from peathall.protocol.codec import json_size
from peathall.store.client import ConflictError, Put
from peathall.store.writer import LeadershipLostError, Mutation, Writer, WriterPhase


class SharedRecordWriter:
    """Entries that share records: all that wait when a transaction is made up go into one.

    Each would else cost a change of its own, and a swarm of small jobs more of them than the
    state service grants.
    """

    def __init__(self, writer: Writer, term: int, prefix: str, field: str) -> None:
        self.writer = writer
        self.stem = f"{prefix}{term:08d}-"
        self.field = field
        self.limit = writer.value_limit
        # Conditions of a transaction are limited too; a quarter is left for other changes.
        self.checks = 3 * writer.limits.txn_ops
        self.number = 0
        self.waiting: list[Entry] = []

    def add(self, value: Any, conditions: dict[str, int] | None = None) -> asyncio.Future[str]:
        """The future gives the key of the record in which the entry was stored."""
        entry = Entry(value, conditions or {})
        if self.writer.phase is WriterPhase.STOPPED:
            entry.stored.set_exception(LeadershipLostError())
        else:
            self.waiting.append(entry)
            self.writer.defer_to_next(self.stem, self._make)
        return entry.stored

    def _make(self) -> Mutation | None:
        taken: list[Entry] = []
        size, conditions = json_size({self.field: []}), dict[str, int]()
        for entry in self.waiting:
            size += entry.size + 1
            if taken and (
                size > self.limit or len(conditions) + len(entry.conditions) > self.checks
            ):
                break
            taken.append(entry)
            conditions |= entry.conditions
        if not taken:
            return None
        del self.waiting[: len(taken)]
        if self.waiting:
            self.writer.defer_to_next(self.stem, self._make)
        self.number += 1
        key = f"{self.stem}{self.number:07d}"
        change = Mutation(conditions, [Put(key, {self.field: [entry.value for entry in taken]})])
        change.done.add_done_callback(lambda done: self._settle(key, taken, done))
        return change

    def _settle(self, key: str, taken: list[Entry], done: asyncio.Future[int]) -> None:
        error = done.exception() if not done.cancelled() else LeadershipLostError()
        failed = set(error.failed) if isinstance(error, ConflictError) else set()
        again = []
        for entry in taken:
            if entry.stored.done():
                continue
            if error is None:
                entry.stored.set_result(key)
            elif failed and key not in failed and not failed & entry.conditions.keys():
                again.append(entry)  # only its neighbours' conditions did not hold
            else:
                entry.stored.set_exception(error)
        if again:
            self.waiting[:0] = again
            self.writer.defer_to_next(self.stem, self._make)

    def close(self) -> None:
        """The term is over: what still waits is given up."""
        for entry in self.waiting:
            entry.stored.cancel()
        self.waiting.clear()


class Entry:
    """What is to be stored among others, under conditions of its own."""

    __slots__ = ("conditions", "size", "stored", "value")

    def __init__(self, value: Any, conditions: dict[str, int]) -> None:
        self.value = value
        self.conditions = conditions
        self.size = json_size(value)
        self.stored: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        # Whoever does not wait for the result must not cause a warning.
        self.stored.add_done_callback(lambda f: f.cancelled() or f.exception())
