"""Commands that ask controllers for the status of a feature, and print it."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec
import orjson

from peathall import constants
from peathall.config.platform import SettingsError, load
from peathall.http.client import HttpClient, NoAnswerError

S = TypeVar("S", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class StatusCommand(Generic[S]):
    """One such command: what it asks for, and how the answer is told."""

    name: str
    description: str
    path: str  # at the controllers' back addresses
    kind: type[S]
    reasons: Mapping[int, str]  # status of an answer -> what it means
    lines: Callable[[S, float], list[str]]  # the answer as readable text, at a time of day

    def parser(self) -> argparse.ArgumentParser:
        """The command line."""
        parser = argparse.ArgumentParser(prog=f"peathall {self.name}", description=self.description)
        where = parser.add_mutually_exclusive_group(required=True)
        where.add_argument(
            "--config", metavar="FILE", help="a controller's settings file: all it names are asked"
        )
        where.add_argument(
            "--controller", metavar="ADDR", action="append", help="back address of a controller"
        )
        parser.add_argument("--json", action="store_true", help="for scripts")
        return parser

    async def ask(self, addresses: list[str]) -> tuple[S | None, list[str]]:
        """The first answer, and what the controllers asked before it said instead."""
        troubles: list[str] = []
        for address in addresses:
            try:
                status, raw = await HttpClient(address, "application/json", keep=0).request(
                    "POST", self.path, b"", constants.DUTY_ASK_S
                )
                if status == 200:
                    return msgspec.convert(orjson.loads(raw), self.kind), troubles
                troubles.append(f"{address}: {self.reasons.get(status, f'answered {status}')}")
            except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
                troubles.append(f"{address}: {exc}")
        return None, troubles

    def main(self, argv: list[str]) -> int:
        """Ask and print; the exit code: 1 if nobody answers, 2 for wrong use."""
        args = self.parser().parse_args(argv)
        addresses = args.controller
        if addresses is None:
            try:
                config = load(args.config)
            except SettingsError as exc:
                print(f"peathall: {exc}", file=sys.stderr)
                return 2
            addresses = [config.peer_listen, *(peer.addr for peer in config.peers)]
        status, troubles = asyncio.run(self.ask(addresses))
        if status is None:
            print(f"peathall: no controller answers: {'; '.join(troubles)}", file=sys.stderr)
            return 1
        if args.json:
            print(orjson.dumps(msgspec.to_builtins(status)).decode())
        else:
            print("\n".join(self.lines(status, time.time())))
        return 0
