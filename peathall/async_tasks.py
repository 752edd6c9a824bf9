"""Waits for events, and ends background tasks, without losing a cancellation.

`asyncio.wait_for` must not be used: up to Python 3.11 it returns the result instead of raising
CancelledError if the result is there when the cancellation arrives. A loop around it then never
ends. `asyncio.timeout` and `asyncio.wait` always raise.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Iterable
from typing import Any

from peathall import constants

log = logging.getLogger("peathall.tasks")


async def wait_until_set(event: asyncio.Event, timeout: float) -> bool:
    """Wait until the event is set, for at most `timeout` seconds; whether it is set."""
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        pass
    return event.is_set()


async def run_in_slices(steps: Iterable[None], slice_s: float) -> None:
    """Run all steps, and let other tasks run after every `slice_s` seconds."""
    loop = asyncio.get_running_loop()
    since = loop.time()
    for _ in steps:
        if loop.time() - since > slice_s:
            await asyncio.sleep(0)
            since = loop.time()


async def end_tasks(tasks: Collection[asyncio.Future[Any]], owner: str) -> list[BaseException]:
    """Cancel the tasks, wait until all of them have ended, and return the errors of those that
    failed.

    Every `constants.TASK_END_LIMIT_S` seconds the tasks that still run are logged with the place
    where they wait, and cancelled again; `owner` names in the log what they belong to. If the
    caller is cancelled meanwhile, they are cancelled again at once, and CancelledError is raised
    when they have ended.
    """
    caller_cancelled = False
    for task in tasks:
        task.cancel()
    while unfinished := [task for task in tasks if not task.done()]:
        try:
            await asyncio.wait(unfinished, timeout=constants.TASK_END_LIMIT_S)
        except asyncio.CancelledError:
            caller_cancelled = True
        else:
            _log_late_tasks(unfinished, owner)
        for task in unfinished:
            task.cancel()  # has no effect on those that have ended
    errors = [task.exception() for task in tasks if not task.cancelled()]
    if caller_cancelled:
        raise asyncio.CancelledError
    return [error for error in errors if error is not None]


def _log_late_tasks(tasks: Collection[asyncio.Future[Any]], owner: str) -> None:
    for task in tasks:
        if not task.done():
            log.error("%s: task goes on after its cancellation: %s", owner, describe_wait(task))


def describe_wait(task: asyncio.Future[Any]) -> str:
    """The coroutines of an unfinished task, from the outermost to the one that waits, each with the
    line at which it is."""
    awaited: Any = task.get_coro() if isinstance(task, asyncio.Task) else task
    places: list[str] = []
    while getattr(awaited, "cr_frame", None) is not None:
        places.append(f"{awaited.__qualname__}:{awaited.cr_frame.f_lineno}")
        awaited = awaited.cr_await
    return " > ".join(places) or repr(task)
