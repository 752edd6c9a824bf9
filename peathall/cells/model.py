"""Handoffs of jobs between cells: phases, records in the state service, and messages.

At the home cell, which accepted the job and answers for it for good:

    handoff/JOB    epoch, borrower, phase (offered, granted), and the lease's length

At the borrower, which runs it:

    borrowed/JOB   epoch, home, phase (reserved, adopted, ended), and the job's description

Every message names its sender, since each cell knows the others by its own settings only.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

HANDOFF = "handoff/"
BORROWED = "borrowed/"

Count = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(gt=0)]


class HandoffPhase(Enum):
    """A handoff at the job's home. While there is one, nothing of the job starts at home."""

    OFFERED = "offered"  # stored before the offer leaves; nothing may run elsewhere
    GRANTED = "granted"  # stored before the borrower hears of it; it may run there
    REVOKED = "revoked"  # in memory: nothing is confirmed any more, until it is surely over
    RETURNED = "returned"  # the record is dropped: the job is at home again
    ENDED = "ended"  # the record is dropped: the job is over and gone


class BorrowPhase(Enum):
    """A borrowed job."""

    RESERVED = "reserved"  # room is kept for it for a short time
    ADOPTED = "adopted"  # granted: it may run while the lease lives
    ENDED = "ended"  # all of it is done, which is stored; its home is told until it agrees
    RELEASED = "released"  # the record is dropped: no task of it is here


class Verdict(Enum):
    """What a job's home says of a borrowed job."""

    PENDING = "pending"  # offered, not granted yet
    GRANTED = "granted"  # the lease is renewed
    REVOKED = "revoked"  # no part in it any more: stop it and drop it


class HandoffRecord(Struct, frozen=True):
    """The home's record of a handoff."""

    epoch: int
    cell: str
    phase: HandoffPhase
    lease_s: float = 0.0  # for which each renewal holds; fixed for the handoff
    lapse_s: float = 0.0  # s; after the lease's end no task is left at the borrower by then


class BorrowedRecord(Struct, frozen=True):
    """The borrower's record of a job."""

    epoch: int
    home: str
    phase: BorrowPhase
    job: dict[str, Any]


class RoomRow(Struct, frozen=True, array_like=True):
    """Machines of one type, zone and kind with the same free room, rounded down."""

    type: str
    zone: str
    spot: bool
    cpus: int
    gpus: int
    ram: int
    machines: int


class Offer(Struct, frozen=True):
    """May this job run with you? Nothing of it starts before it is granted."""

    cell: str
    to: str
    term: int
    epoch: int
    job: dict[str, Any]


class OfferAnswer(Struct, frozen=True):
    """Whether room is reserved, and the order of the borrower's latest heartbeat."""

    reserved: bool
    why: str = ""
    term: int = 0
    sequence: int = 0
    lapse_s: float = 0.0


class BorrowedItem(Struct, frozen=True):
    """What a borrower tells of a job."""

    job: str
    epoch: int
    phase: BorrowPhase
    stopping: bool = False  # nothing of it starts there any more, and all of it is told to stop
    running: Count = 0


class Heartbeat(Struct, frozen=True):
    """Asks a home to renew the lease on the jobs that are borrowed from it. What is not named is
    not at the borrower."""

    cell: str
    to: str
    term: int
    sequence: int  # counted up within the term
    home_term: int  # of the latest answer that the sender has had
    lapse_s: Seconds
    borrowed: list[BorrowedItem] = []
    room: list[RoomRow] = []


class Ruling(Struct, frozen=True):
    """The home's answer for one job."""

    job: str
    epoch: int
    verdict: Verdict
    lease_s: float = 0.0


class HeartbeatAnswer(Struct, frozen=True):
    """The home's answer to a heartbeat."""

    term: int
    rulings: list[Ruling] = []
    room: list[RoomRow] = []


class UserRequest(Struct, frozen=True):
    """A user's request that reached the borrower; the home answers it."""

    cell: str
    to: str
    operation: str  # query or cancel
    job: str


class UserAnswer(Struct, frozen=True):
    """The home's answer to a user."""

    status: int
    value: dict[str, Any] | None = None


def to_value(record: Struct) -> Any:
    """The value under which a record is stored."""
    return msgspec.to_builtins(record)
