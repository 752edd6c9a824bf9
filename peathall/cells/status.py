"""What `peathall cells` tells operators. The field names are part of the command's output."""

from __future__ import annotations

from msgspec import Struct


class CellStatus(Struct):
    """Another cell."""

    cell: str
    answered_s: float | None  # seconds since it last responded to a heartbeat; None: never
    machines_free: int  # with some free capacity, by its latest summary


class HandoffStatus(Struct):
    """A job that is lent to, or borrowed from, another cell."""

    job: str
    cell: str
    phase: str
    lease_left_s: float | None  # None: no lease was granted yet


class CellsStatus(Struct):
    """All cells and handoffs as the leader of one cell knows them."""

    cell: str
    leader: str
    cells: list[CellStatus]
    lent: list[HandoffStatus]
    borrowed: list[HandoffStatus]
    staying: dict[str, str]  # urgent unplaced jobs -> why they are not offered
