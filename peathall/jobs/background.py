"""Runs asyncio tasks that no caller awaits."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from peathall.store.errors import LeadershipLostError

log = logging.getLogger("peathall.jobs")


class BackgroundTasks:
    """The background asyncio tasks of one term. Failures are logged; `close` cancels unfinished
    tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether any task is unfinished."""
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
            # Loss of leadership fails all pending writes; that is expected.
            if not isinstance(error, LeadershipLostError):
                log.error("background task %r failed", task.get_coro(), exc_info=error)

    def close(self) -> None:
        """Cancel all unfinished tasks."""
        for task in list(self._tasks):
            task.cancel()
