"""`peathall duties`: who holds what, what is outstanding, and why something waits."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time

import msgspec
import orjson

from peathall import constants, settings
from peathall.duties.model import to_value
from peathall.duties.status import DutiesStatus, DutyStatus
from peathall.wire.http import HttpClient, NoAnswerError


def build_parser() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser(
        prog="peathall duties", description="Who holds which duty, and why something waits."
    )
    where = parser.add_mutually_exclusive_group(required=True)
    where.add_argument(
        "--config", metavar="FILE", help="a controller's settings file: all it names are asked"
    )
    where.add_argument(
        "--controller", metavar="ADDR", action="append", help="back address of a controller"
    )
    parser.add_argument("--json", action="store_true", help="for scripts")
    return parser


async def ask(addresses: list[str]) -> tuple[DutiesStatus | None, list[str]]:
    """The first answer, and what the controllers asked before it said instead."""
    troubles: list[str] = []
    for address in addresses:
        try:
            status, raw = await HttpClient(address, "application/json", keep=0).request(
                "POST", "/duties", b"", constants.DUTY_ASK_S
            )
            if status == 200:
                return msgspec.convert(orjson.loads(raw), DutiesStatus), troubles
            reasons = {404: "duties are off there", 503: "it can't read the state service now"}
            troubles.append(f"{address}: {reasons.get(status, f'answered {status}')}")
        except (NoAnswerError, orjson.JSONDecodeError, msgspec.ValidationError) as exc:
            troubles.append(f"{address}: {exc}")
    return None, troubles


def lines(status: DutiesStatus, now: float) -> list[str]:
    """The answer as readable text."""
    told = [f"duties are {'on' if status.on else 'off'}; {status.leader or 'nobody'} leads"]
    for duty in status.duties:
        told += _duty_lines(duty, now)
    return told


def _duty_lines(duty: DutyStatus, now: float) -> list[str]:
    if duty.holder is None or duty.since is None:
        held = "nobody holds it"
    else:
        held = f"{duty.holder} holds it for {max(0.0, now - duty.since):.0f} s"
    told = [f"{duty.duty}: {held}, token {duty.token}, {len(duty.outstanding)} outstanding"]
    told += [f"  outstanding: {name}" for name in duty.outstanding]
    taken = ", ".join(f"{x.member} after {x.vacant_s:.1f} s" for x in duty.handovers)
    if taken:
        told.append(f"  latest claims: {taken}")
    if duty.waiting is not None:
        told.append(f"  waits: {duty.waiting}")
    return told


def main(argv: list[str]) -> int:
    """Ask and print; the exit code: 1 if nobody answers, 2 for wrong use."""
    args = build_parser().parse_args(argv)
    addresses = args.controller
    if addresses is None:
        try:
            config = settings.load(args.config)
        except settings.SettingsError as exc:
            print(f"peathall: {exc}", file=sys.stderr)
            return 2
        addresses = [config.peer_listen, *(peer.addr for peer in config.peers)]
    status, troubles = asyncio.run(ask(addresses))
    if status is None:
        print(f"peathall: no controller answers: {'; '.join(troubles)}", file=sys.stderr)
        return 1
    if args.json:
        print(orjson.dumps(to_value(status)).decode())
    else:
        print("\n".join(lines(status, time.time())))
    return 0
