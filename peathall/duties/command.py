"""`peathall duties`: the holder of each duty, its unfinished actions, and why its work waits."""

from __future__ import annotations

from http import HTTPStatus

from peathall.duties.status import DutiesStatus, DutyStatus
from peathall.status_command import StatusCommand


def format_lines(status: DutiesStatus, now: float) -> list[str]:
    """The status as lines of text; `now`: wall clock time, in seconds since the epoch."""
    lines = [f"duties are {'on' if status.on else 'off'}; {status.leader or 'nobody'} leads"]
    for duty in status.duties:
        lines += _duty_lines(duty, now)
    return lines


def _duty_lines(duty: DutyStatus, now: float) -> list[str]:
    if duty.holder is None or duty.since is None:
        held = "nobody holds it"
    else:
        held = f"{duty.holder} holds it for {max(0.0, now - duty.since):.0f} s"
    lines = [f"{duty.duty}: {held}, token {duty.token}, {len(duty.outstanding)} outstanding"]
    lines += [f"  outstanding: {name}" for name in duty.outstanding]
    claims = ", ".join(f"{x.member} after {x.vacant_s:.1f} s" for x in duty.handovers)
    if claims:
        lines.append(f"  latest claims: {claims}")
    if duty.waiting is not None:
        lines.append(f"  waits: {duty.waiting}")
    return lines


COMMAND = StatusCommand(
    name="duties",
    description="Who holds which duty, and why something waits.",
    path="/duties",
    status_type=DutiesStatus,
    reasons={
        HTTPStatus.NOT_FOUND: "duties are off there",
        HTTPStatus.SERVICE_UNAVAILABLE: "it can't read the state service now",
    },
    format_lines=format_lines,
)
