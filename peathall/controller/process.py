"""The process of a controller: event loop, signals, orderly end."""

from __future__ import annotations

import asyncio
import signal

from peathall.config.platform import Settings
from peathall.controller.controller import Controller
from peathall.operator_config.settings import Operator


def run_process(settings: Settings, operator: Operator) -> None:
    """Run a controller until it is ended. OSError if an address can't be listened on;
    KeyboardInterrupt on SIGINT."""
    asyncio.run(_run_controller(Controller(settings, operator)))


async def _run_controller(controller: Controller) -> None:
    """With duties on, SIGTERM cancels the controller, and the duties that it holds are released
    before the process ends. Without them nothing needs a release, and SIGTERM ends it at once."""
    running = asyncio.ensure_future(controller.run())
    if controller.operator.duties is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    try:
        await running
    except asyncio.CancelledError:
        await controller.release()
