"""Owner of asyncio tasks that no caller awaits."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from peathall.store.errors import LeadershipLostError

log = logging.getLogger("peathall.jobs")


class BackgroundTasks:
    """The asyncio tasks of one term: failures are logged, and `close` cancels what is left."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether any of the tasks is not finished."""
        return bool(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine in a task of its own."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            # Losing the leadership fails whatever was still to be written, which is no fault.
            if not isinstance(error, LeadershipLostError):
                log.error("background work %r failed", task.get_coro(), exc_info=error)

    def close(self) -> None:
        """Cancel the tasks that are left."""
        for task in list(self._tasks):
            task.cancel()
