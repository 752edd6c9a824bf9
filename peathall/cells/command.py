"""`peathall cells`: shows the other cells, the jobs lent to and borrowed from them, and the reasons
why urgent jobs are not handed off."""

from __future__ import annotations

from http import HTTPStatus

from peathall.cells.status import CellsStatus, CellStatus, HandoffStatus
from peathall.status_command import StatusCommand


def format_lines(status: CellsStatus, now: float) -> list[str]:
    """Format the status as lines of text; `now` is not needed for it."""
    lines = [f"cell {status.cell}, led by {status.leader}"]
    lines += [_cell_line(cell) for cell in status.cells]
    lines += [_handoff_line(handoff, "lent to") for handoff in status.lent]
    lines += [_handoff_line(handoff, "borrowed from") for handoff in status.borrowed]
    lines += [f"stays: {job}: {reason}" for job, reason in status.staying.items()]
    return lines


def _cell_line(cell: CellStatus) -> str:
    if cell.answered_s is None:
        return f"{cell.cell}: has not answered this leader"
    return f"{cell.cell}: answered {cell.answered_s:.0f} s ago, {cell.machines_free} machines free"


def _handoff_line(handoff: HandoffStatus, relation: str) -> str:
    remaining_s = handoff.lease_left_s
    if remaining_s is None:
        lease = "no lease"
    elif remaining_s:
        lease = f"lease ends in {remaining_s:.0f} s"
    else:
        lease = "lease ended"
    return f"{relation} {handoff.cell}: {handoff.job} {handoff.phase}, {lease}"


COMMAND = StatusCommand(
    name="cells",
    description="Jobs that are in other cells, or are other cells' here.",
    path="/cells",
    status_type=CellsStatus,
    reasons={
        HTTPStatus.NOT_FOUND: "cells are off there",
        HTTPStatus.SERVICE_UNAVAILABLE: "it knows of no leader that answers",
    },
    format_lines=format_lines,
)
