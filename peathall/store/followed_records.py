"""A copy of all records below a key prefix, which later refreshes keep up to date.

The first use scans all records. Each later refresh reads only the changes since the previous one,
in one request that serves all waiting callers.
"""

from __future__ import annotations

from typing import Any, Protocol

from peathall.store.client import StoreClient
from peathall.store.single_flight import SingleFlightRead


class RecordIndex(Protocol):
    """Data that is derived from the records below a prefix."""

    def clear(self) -> None:
        """Drop the data: all records follow again."""

    def apply(self, key: str, value: Any) -> None:
        """Apply the new value of a record; None: the record was deleted."""


class FollowedRecords:
    """Reads the records below a prefix, and their changes, for an index."""

    def __init__(self, store: StoreClient, prefix: str, index: RecordIndex) -> None:
        self._store = store
        self._prefix = prefix
        self._index = index
        self._revision: int | None = None  # of the records applied; None: a scan is needed
        self._reading = SingleFlightRead(self._read)

    async def refresh(self) -> None:
        """Apply everything that was stored before this call; raises StoreError on failure."""
        await self._reading.refresh()

    async def _read(self) -> None:
        if self._revision is None or not await self._apply_changes(self._revision):
            items, revision = await self._store.scan(self._prefix)
            self._revision = None
            self._index.clear()
            for item in items:
                self._index.apply(item.key, item.value)
            # The pages of a scan may be read at different revisions, so the changes since the
            # first page are applied as well.
            await self._apply_changes(revision)

    async def _apply_changes(self, revision: int) -> bool:
        """Apply the changes after the revision; returns False if the state service no longer
        has all of them."""
        changes = await self._store.changes_since(self._prefix, revision)
        if changes is None:
            return False
        self._revision, events = changes
        for event in events:
            self._index.apply(event.key, None if event.deleted else event.value)
        return True
