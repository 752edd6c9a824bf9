"""Command line: starts a controller, checks its settings, or runs a status command."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING, Any

from peathall import __version__
from peathall.config.platform import Settings, SettingsError, load
from peathall.operator_config.settings import OperatorSettings

if TYPE_CHECKING:
    from peathall.status_command import StatusCommand

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser() -> argparse.ArgumentParser:
    """The parser of a controller's arguments."""
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


def main(argv: list[str] | None = None) -> int:
    """Run a controller, check its settings, or run a status command.

    The exit code: 0 on success, 1 if an address can't be listened on or no controller responds, 2
    for invalid settings or arguments.
    """
    arguments = sys.argv[1:] if argv is None else argv
    command = _status_command(arguments[0]) if arguments else None
    if command is not None:
        return command.main(arguments[1:])
    args = build_parser().parse_args(arguments)
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(level, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    try:
        if level not in LOG_LEVELS:
            raise SettingsError(f"LOG_LEVEL: {level!r} is none of {', '.join(LOG_LEVELS)}")
        settings = load(args.config)
        operator_settings = _load_operator_settings(args.operator_config, settings)
    except SettingsError as exc:
        print(f"peathall: {exc}", file=sys.stderr)
        return 2
    if args.check:
        print(f"settings of {settings.name} are in order")
        return 0
    return _run(settings, operator_settings)


def _status_command(name: str) -> StatusCommand[Any] | None:
    """The status command of that name, or None. The imports are here because a controller needs no
    status command, and an import costs start-up time."""
    if name == "duties":
        from peathall.duties.command import COMMAND as DUTIES_COMMAND

        return DUTIES_COMMAND
    if name == "cells":
        from peathall.cells.command import COMMAND as CELLS_COMMAND

        return CELLS_COMMAND
    return None


def _load_operator_settings(path: str | None, settings: Settings) -> OperatorSettings:
    """The operators' settings, checked against the platform's; the defaults without a file.
    SettingsError if they are invalid."""
    if not path:
        return OperatorSettings()
    # Imported here because most controllers have no such file, and protobuf is slow to import.
    from peathall.operator_config.file import load_operator_settings

    operator_settings = load_operator_settings(path)
    if operator_settings.cells is not None:
        problem = operator_settings.cells.problem(settings.params.workers.lease_expiry_s)
        if problem:
            raise SettingsError(f"{path}: {problem}")
    return operator_settings


def _run(settings: Settings, operator_settings: OperatorSettings) -> int:
    # Imported here because --check needs neither a controller nor an event loop.
    from peathall.controller.process import run_process

    try:
        run_process(settings, operator_settings)
    except OSError as exc:
        print(f"peathall: {exc}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass  # stopped by Ctrl-C at a terminal
    return 0
