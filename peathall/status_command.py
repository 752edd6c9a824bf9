"""Operator commands that request the status of a feature from a controller and print it."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Generic, TypeVar

import msgspec
import orjson

from peathall import constants
from peathall.config.platform import SettingsError, load
from peathall.http.client import HttpClient, NoAnswerError

S = TypeVar("S", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class StatusCommand(Generic[S]):
    """A status command: which status it requests, and how the status is printed."""

    name: str
    description: str
    path: str  # of the status, on the `back` addresses of controllers
    status_type: type[S]
    reasons: Mapping[int, str]  # HTTP status of an error response -> its meaning
    format_lines: Callable[[S, float], list[str]]  # (status, present Unix time) -> lines of text

    def build_parser(self) -> argparse.ArgumentParser:
        """The parser of the command's arguments."""
        parser = argparse.ArgumentParser(prog=f"peathall {self.name}", description=self.description)
        addresses = parser.add_mutually_exclusive_group(required=True)
        addresses.add_argument(
            "--config", metavar="FILE", help="a controller's settings file: all it names are asked"
        )
        addresses.add_argument(
            "--controller", metavar="ADDR", action="append", help="back address of a controller"
        )
        parser.add_argument("--json", action="store_true", help="for scripts")
        return parser

    async def fetch(self, addresses: list[str]) -> tuple[S | None, list[str]]:
        """The status from the first address that gives it, None if none does; and the failures of
        the addresses that were tried before it."""
        failures: list[str] = []
        for address in addresses:
            try:
                status, raw = await HttpClient(address, "application/json", max_idle=0).request(
                    "POST", self.path, b"", constants.DUTY_REQUEST_TIMEOUT_S
                )
                if status == HTTPStatus.OK:
                    return msgspec.convert(orjson.loads(raw), self.status_type), failures
                failures.append(f"{address}: {self.reasons.get(status, f'answered {status}')}")
            except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
                failures.append(f"{address}: {exc}")
        return None, failures

    def main(self, argv: list[str]) -> int:
        """Fetch and print the status. The exit code: 0 on success, 1 if no controller gives it, 2
        for invalid settings; argparse itself exits with 2 for invalid arguments."""
        args = self.build_parser().parse_args(argv)
        addresses = args.controller
        if addresses is None:
            try:
                settings = load(args.config)
            except SettingsError as exc:
                print(f"peathall: {exc}", file=sys.stderr)
                return 2
            addresses = [settings.peer_listen, *(peer.addr for peer in settings.peers)]
        status, failures = asyncio.run(self.fetch(addresses))
        if status is None:
            print(f"peathall: no controller answers: {'; '.join(failures)}", file=sys.stderr)
            return 1
        if args.json:
            print(orjson.dumps(msgspec.to_builtins(status)).decode())
        else:
            print("\n".join(self.format_lines(status, time.time())))
        return 0
