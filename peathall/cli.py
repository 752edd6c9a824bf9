"""Command line of a controller."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING

from peathall import __version__
from peathall.config.platform import SettingsError, load
from peathall.operator_config.settings import Operator

if TYPE_CHECKING:
    from peathall.controller.controller import Controller

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser(
        prog="peathall", description="A controller of the peathall cluster scheduler."
    )
    parser.add_argument("--version", action="version", version=f"peathall {__version__}")
    parser.add_argument("--config", required=True, metavar="FILE", help="settings file (TOML)")
    parser.add_argument(
        "--operator-config", metavar="FILE", help="operators' own settings (protobuf text format)"
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings, then exit with 0 or 2"
    )
    return parser


async def serve(node: Controller) -> None:
    """Run the controller; told to end, it first gives up in order what it holds."""
    import asyncio
    import signal

    running = asyncio.ensure_future(node.run())
    if node.operator.duties is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    try:
        await running
    except asyncio.CancelledError:
        await node.release()


def main(argv: list[str] | None = None) -> int:
    """Run a controller, check its settings, or ask controllers; the exit code."""
    words = sys.argv[1:] if argv is None else argv
    if words[:1] == ["duties"]:
        from peathall.duties import command

        return command.COMMAND.main(words[1:])
    if words[:1] == ["cells"]:
        from peathall.cells.command import COMMAND

        return COMMAND.main(words[1:])
    args = build_parser().parse_args(words)
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    try:
        if level not in LEVELS:
            raise SettingsError(f"LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}")
        config = load(args.config)
        operator = Operator()
        if args.operator_config:
            # Imported here only: most controllers have no such file.
            from peathall.operator_config.file import load_operator

            operator = load_operator(args.operator_config)
            problem = operator.cells and operator.cells.problem(
                config.params.workers.lease_expiry_s
            )
            if problem:
                raise SettingsError(f"{args.operator_config}: {problem}")
    except SettingsError as exc:
        print(f"peathall: {exc}", file=sys.stderr)
        return 2
    if args.check:
        print(f"settings of {config.name} are in order")
        return 0
    import asyncio

    from peathall.controller.controller import Controller

    try:
        asyncio.run(serve(Controller(config, operator)))
    except OSError as exc:
        print(f"peathall: {exc}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 0
    return 0
