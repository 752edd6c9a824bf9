"""What operators are told of cells."""

from __future__ import annotations

from msgspec import Struct


class CellStatus(Struct):
    """Another cell."""

    cell: str
    answered_s: float | None  # seconds since it last answered a heartbeat; None: never
    machines_free: int  # with some room, as it last told


class HandoffStatus(Struct):
    """A job that is lent to, or borrowed from, another cell."""

    job: str
    cell: str
    phase: str
    lease_left_s: float | None  # None: no lease was granted yet


class CellsStatus(Struct):
    """All of it, as the leader of a cell knows it."""

    cell: str
    leader: str
    cells: list[CellStatus]
    lent: list[HandoffStatus]
    borrowed: list[HandoffStatus]
    staying: dict[str, str]  # urgent jobs without room, and why they are not offered
