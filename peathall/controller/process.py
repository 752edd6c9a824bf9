"""The process of a controller: event loop, signals, graceful shutdown."""

from __future__ import annotations

import asyncio
import signal

from peathall.config.platform import Settings
from peathall.controller.controller import Controller
from peathall.operator_config.settings import Operator


def run_process(settings: Settings, operator: Operator) -> None:
    """Run a controller until a signal ends it.

    Raises OSError if an address can't be listened on, and KeyboardInterrupt on SIGINT.
    """
    asyncio.run(_run_controller(Controller(settings, operator)))


async def _run_controller(controller: Controller) -> None:
    """Run the controller. On SIGTERM it releases its duties before the process ends.

    If the operator has not configured duties, there is nothing to release, and SIGTERM ends the
    process at once.
    """
    running = asyncio.ensure_future(controller.run())
    if controller.operator.duties is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    try:
        await running
    except asyncio.CancelledError:
        await controller.release_duties()
