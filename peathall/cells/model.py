"""Handoffs of jobs between cells: phases, stored records, and messages.

A cell is a whole deployment. The *home* of a job is the cell that accepted it and answers its user
for good; the *borrower* is the cell that runs it under a lease.

Records of the home:
    handoff/JOB    epoch, borrower, phase (offered, granted), and the lease's length
Records of the borrower:
    borrowed/JOB   epoch, home, phase (reserved, adopted, ended), and the job's description

Every message names its sender, since each cell knows the others by its own settings only. Fields
whose encoded name differs from ours are stored, or sent to cells of other versions, under it.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

from msgspec import Meta, Struct, field

HANDOFF = "handoff/"

Count = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(gt=0)]


class HandoffPhase(Enum):
    """A handoff at the job's home. While there is one, nothing of the job starts at home."""

    OFFERED = "offered"  # stored before the offer is sent; nothing may run at the borrower
    GRANTED = "granted"  # stored before the borrower is told; the job may run there
    REVOKED = "revoked"  # in memory: the lease is not renewed any more, until it has expired
    RETURNED = "returned"  # the record is deleted: the job may start at home again
    ENDED = "ended"  # the record is deleted: the job is final and gone everywhere


class BorrowPhase(Enum):
    """A borrowed job at the borrower."""

    RESERVED = "reserved"  # capacity is reserved for a short time
    ADOPTED = "adopted"  # granted: it may run while the lease is valid
    ENDED = "ended"  # all tasks are done, which is stored; the home is told until it confirms
    RELEASED = "released"  # the record is deleted: no task of it is here


class Verdict(Enum):
    """The home's decision on a borrowed job."""

    PENDING = "pending"  # offered, not granted yet
    GRANTED = "granted"  # the lease is renewed
    REVOKED = "revoked"  # not at this borrower any more: stop it and delete its record


class HandoffRecord(Struct, frozen=True):
    """The home's record of a handoff."""

    epoch: int
    cell: str
    phase: HandoffPhase
    lease_s: float = 0.0  # for which each renewal is valid; fixed for the handoff
    # Seconds after the lease's expiry by which no task is left at the borrower.
    task_expiry_s: float = field(name="lapse_s", default=0.0)


class BorrowedRecord(Struct, frozen=True):
    """The borrower's record of a job; `job` is the stored form of its description."""

    epoch: int
    home: str
    phase: BorrowPhase
    job: dict[str, Any]


class CapacityRow(Struct, frozen=True, array_like=True):
    """Machines of one type, zone and kind with the same free capacity, rounded down."""

    type: str
    zone: str
    spot: bool
    cpus: int
    gpus: int
    ram: int
    machines: int


class HandoffOffer(Struct, frozen=True):
    """Offers a job to another cell. Nothing of it starts there before it is granted."""

    cell: str
    to: str
    term: int
    epoch: int
    job: dict[str, Any]


class HandoffOfferResponse(Struct, frozen=True):
    """Whether capacity is reserved, and the order of the borrower's latest heartbeat."""

    reserved: bool
    reason: str = field(name="why", default="")
    term: int = 0
    sequence: int = 0
    task_expiry_s: float = field(name="lapse_s", default=0.0)


class BorrowedJobStatus(Struct, frozen=True):
    """What a borrower's heartbeat says of one job."""

    job: str
    epoch: int
    phase: BorrowPhase
    stopping: bool = False  # nothing of it starts there any more, and all its tasks are stopped
    running: Count = 0


class CellHeartbeat(Struct, frozen=True):
    """Asks a home to renew the leases on the jobs borrowed from it. A job that it does not name is
    not at the borrower."""

    cell: str
    to: str
    term: int
    sequence: int  # counted up within the term
    home_term: int  # of the home's latest response to the sender
    task_expiry_s: Seconds = field(name="lapse_s")
    borrowed: list[BorrowedJobStatus] = []
    capacity: list[CapacityRow] = field(name="room", default_factory=list)


class Ruling(Struct, frozen=True):
    """The home's decision on one job of a heartbeat."""

    job: str
    epoch: int
    verdict: Verdict
    lease_s: float = 0.0


class CellHeartbeatResponse(Struct, frozen=True):
    """The home's response to a heartbeat."""

    term: int
    rulings: list[Ruling] = []
    capacity: list[CapacityRow] = field(name="room", default_factory=list)


class UserRequest(Struct, frozen=True):
    """A user's request that reached the borrower; the home answers it."""

    cell: str
    to: str
    operation: str  # query or cancel
    job: str


class UserResponse(Struct, frozen=True):
    """The home's response to a user."""

    status: int
    value: dict[str, Any] | None = None
