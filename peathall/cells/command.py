"""`peathall cells`: other cells, what is lent to them and borrowed from them, and why jobs stay."""

from __future__ import annotations

from peathall.cells.status import CellsStatus, CellStatus, HandoffStatus
from peathall.status_command import StatusCommand


def lines(status: CellsStatus, now: float) -> list[str]:
    """The answer as readable text."""
    told = [f"cell {status.cell}, led by {status.leader}"]
    told += [_cell_line(cell) for cell in status.cells]
    told += [_handoff_line(handoff, "lent to") for handoff in status.lent]
    told += [_handoff_line(handoff, "borrowed from") for handoff in status.borrowed]
    told += [f"stays: {job}: {reason}" for job, reason in status.staying.items()]
    return told


def _cell_line(cell: CellStatus) -> str:
    if cell.answered_s is None:
        return f"{cell.cell}: has not answered this leader"
    return f"{cell.cell}: answered {cell.answered_s:.0f} s ago, {cell.machines_free} machines free"


def _handoff_line(handoff: HandoffStatus, how: str) -> str:
    left = handoff.lease_left_s
    lease = "no lease" if left is None else f"lease ends in {left:.0f} s" if left else "lease ended"
    return f"{how} {handoff.cell}: {handoff.job} {handoff.phase}, {lease}"


COMMAND = StatusCommand(
    "cells",
    "Jobs that are in other cells, or are other cells' here.",
    "/cells",
    CellsStatus,
    {404: "cells are off there", 503: "it knows of no leader that answers"},
    lines,
)
