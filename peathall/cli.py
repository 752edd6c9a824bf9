"""Command line of a controller."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from peathall import __version__, settings

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


def main(argv: list[str] | None = None) -> int:
    """Run a controller, or check its settings; the exit code."""
    args = build_parser().parse_args(argv)
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    try:
        if level not in LEVELS:
            raise settings.SettingsError(f"LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}")
        config = settings.load(args.config)
        operator = (
            settings.load_operator(args.operator_config)
            if args.operator_config
            else settings.Operator()
        )
    except settings.SettingsError as exc:
        print(f"peathall: {exc}", file=sys.stderr)
        return 2
    if args.check:
        print(f"settings of {config.name} are in order")
        return 0
    import asyncio

    from peathall.node import Node

    try:
        asyncio.run(Node(config, operator).run())
    except OSError as exc:
        print(f"peathall: {exc}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 0
    return 0
