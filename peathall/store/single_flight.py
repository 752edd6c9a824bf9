"""One read that serves all who ask for it at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


class SingleFlightRead:
    """Runs at most one read at a time, however many callers ask for one.

    Callers that ask while a read is in progress share the next one, so the data that a caller
    gets is never older than its request.
    """

    def __init__(self, read: Callable[[], Awaitable[None]]) -> None:
        self.read = read
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def refresh(self) -> None:
        """Wait for a read that begins after this call; raises the read's error."""
        if self._next is None:
            # The read under way may have been carried out before this call.
            self._next = asyncio.create_task(self._read_after(self._running))
            # All its callers may have been cancelled: its error is then nobody's concern.
            self._next.add_done_callback(lambda task: task.cancelled() or task.exception())
        await asyncio.shield(self._next)

    async def _read_after(self, previous: asyncio.Task[None] | None) -> None:
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        self._running, self._next = self._next, None
        await self.read()
