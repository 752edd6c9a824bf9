"""The status that `peathall cells` shows. The field names are part of the command's output."""

from __future__ import annotations

from msgspec import Struct


class CellStatus(Struct):
    """Status of another cell."""

    cell: str
    answered_s: float | None  # seconds since it last responded to a heartbeat; None: never
    machines_free: int  # machines with free capacity, from the cell's latest summary


class HandoffStatus(Struct):
    """Status of a job that is lent to, or borrowed from, another cell."""

    job: str
    cell: str
    phase: str
    lease_left_s: float | None  # None: no lease has been granted yet


class CellsStatus(Struct):
    """All other cells and all handoffs, as the leader of one cell knows them."""

    cell: str
    leader: str
    cells: list[CellStatus]
    lent: list[HandoffStatus]
    borrowed: list[HandoffStatus]
    staying: dict[str, str]  # urgent unplaced jobs -> why they are not offered
