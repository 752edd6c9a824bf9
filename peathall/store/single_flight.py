"""Deduplicates concurrent reads of the same data."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


class SingleFlightRead:
    """Runs at most one read at a time for any number of callers.

    Callers that arrive while a read is in progress share the next read, so no caller gets data
    that is older than its call.
    """

    def __init__(self, read: Callable[[], Awaitable[None]]) -> None:
        self.read = read
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def refresh(self) -> None:
        """Wait for a read that begins after this call; raises the error of that read."""
        if self._next is None:
            # The read in progress may already have fetched its data.
            self._next = asyncio.create_task(self._read_after(self._running))
            # Retrieves the exception, or asyncio warns when all callers were cancelled.
            self._next.add_done_callback(lambda task: task.cancelled() or task.exception())
        await asyncio.shield(self._next)

    async def _read_after(self, previous: asyncio.Task[None] | None) -> None:
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        self._running, self._next = self._next, None
        await self.read()
