"""Work that nobody waits for, kept until it is done."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from peathall.store.writer import LeadershipLostError

log = logging.getLogger("peathall.jobs")


class BackgroundTasks:
    """Tasks of one term; what fails is logged, and all are cancelled at its end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether any of the work goes on."""
        return bool(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin the work."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            if not isinstance(error, LeadershipLostError):
                log.error("writing a record failed", exc_info=error)

    def close(self) -> None:
        """Cancel what is left."""
        for task in list(self._tasks):
            task.cancel()
