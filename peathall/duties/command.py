"""`peathall duties`: who holds what, what is outstanding, and why something waits."""

from __future__ import annotations

from peathall.duties.status import DutiesStatus, DutyStatus
from peathall.status_command import StatusCommand


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


COMMAND = StatusCommand(
    "duties",
    "Who holds which duty, and why something waits.",
    "/duties",
    DutiesStatus,
    {404: "duties are off there", 503: "it can't read the state service now"},
    lines,
)
