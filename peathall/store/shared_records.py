"""Records that hold entries of several jobs, written in one mutation."""

from __future__ import annotations

import asyncio
from typing import Any

from peathall.protocol.codec import json_size
from peathall.protocol.state_service import Put
from peathall.store.errors import ConflictError, InvalidTransactionError, LeadershipLostError
from peathall.store.mutation import Mutation
from peathall.store.phase import WriterPhase
from peathall.store.writer import Writer


class SharedRecordEntry:
    """A value to be stored in a shared record, with its conditions."""

    __slots__ = ("conditions", "size", "stored", "value")

    def __init__(self, value: Any, conditions: dict[str, int]) -> None:
        self.value = value
        self.conditions = conditions  # key -> version; 0: no such record
        self.size = json_size(value)  # bytes
        self.stored: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        # Retrieves the exception, or asyncio warns when no caller awaits the result.
        self.stored.add_done_callback(lambda done: done.cancelled() or done.exception())


class SharedRecordWriter:
    """Stores entries in shared records.

    When a transaction is assembled, all waiting entries that fit go into one record. A separate
    record for each entry would cost one write operation each, and many small jobs would exceed the
    write rate limit of the state service.
    """

    def __init__(self, writer: Writer, term: int, prefix: str, field: str) -> None:
        self.writer = writer
        self.key_prefix = f"{prefix}{term:08d}-"
        self.field = field  # of the record that holds the list of entries
        # A quarter of a transaction's conditions is left to its other mutations.
        self.max_conditions = writer.limits.max_conditions * 3 // 4
        self._last_number = 0  # number of the latest record of this term
        self._waiting: list[SharedRecordEntry] = []

    def add(self, value: Any, conditions: dict[str, int] | None = None) -> asyncio.Future[str]:
        """Store a value. The future yields the key of the record that holds it, or raises
        ConflictError or LeadershipLostError."""
        entry = SharedRecordEntry(value, conditions or {})
        if self.writer.phase is WriterPhase.STOPPED:
            entry.stored.set_exception(LeadershipLostError())
        else:
            self._waiting.append(entry)
            self._request_write()
        return entry.stored

    def close(self) -> None:
        """Cancel the waiting entries at the end of the term."""
        for entry in self._waiting:
            entry.stored.cancel()
        self._waiting.clear()

    def _request_write(self) -> None:
        self.writer.defer_to_next_transaction(self.key_prefix, self._make_record)

    def _make_record(self) -> Mutation | None:
        entries = self._take_entries()
        if not entries:
            return None
        if self._waiting:
            self._request_write()
        self._last_number += 1
        key = f"{self.key_prefix}{self._last_number:07d}"
        conditions = {
            key: version for entry in entries for key, version in entry.conditions.items()
        }
        record = {self.field: [entry.value for entry in entries]}
        mutation = Mutation(conditions, [Put(key, record)])
        size = json_size(record)
        mutation.done.add_done_callback(lambda done: self._settle(key, entries, size, done))
        return mutation

    def _take_entries(self) -> list[SharedRecordEntry]:
        """Remove and return the oldest entries that fit into one record and whose conditions fit
        into one transaction; at least one if any is waiting."""
        entries: list[SharedRecordEntry] = []
        size, conditions = json_size({self.field: []}), set[str]()
        max_size = self.writer.value_limit
        for entry in self._waiting:
            size += entry.size + 1
            condition_count = len(conditions) + len(entry.conditions)
            if entries and (size > max_size or condition_count > self.max_conditions):
                break
            entries.append(entry)
            conditions |= entry.conditions.keys()
        del self._waiting[: len(entries)]
        return entries

    def _settle(
        self, key: str, entries: list[SharedRecordEntry], size: int, done: asyncio.Future[int]
    ) -> None:
        error = done.exception() if not done.cancelled() else LeadershipLostError()
        # The writer lowers its limit if the record may have been too large.
        divisible = len(entries) > 1 and size > self.writer.value_limit
        too_large = isinstance(error, InvalidTransactionError) and divisible
        failed = set(error.failed) if isinstance(error, ConflictError) else set()
        repeated: list[SharedRecordEntry] = []
        for entry in entries:
            if entry.stored.done():
                continue
            if error is None:
                entry.stored.set_result(key)
            elif too_large:
                repeated.append(entry)  # in a smaller record
            elif failed and key not in failed and not failed & entry.conditions.keys():
                repeated.append(entry)  # only conditions of other entries failed
            else:
                entry.stored.set_exception(error)
        if repeated:
            self._waiting[:0] = repeated
            self._request_write()
