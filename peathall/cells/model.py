"""Handoffs of jobs between cells: phases, stored records, and messages.

A cell is a whole deployment. The *home* cell of a job is the one that accepted it; it answers the
job's user from then on. The *borrower* is the cell that runs the job under a lease.

Records of the home cell:
    handoff/JOB    epoch, borrower, phase (offered, granted), and the lease's length
Records of the borrower:
    borrowed/JOB   epoch, home cell, phase (reserved, adopted, ended), and the job's description

Every message names its sender, since each cell knows the others from its own settings only.
`field(name=...)` gives the name under which a field is stored, or sent to cells of other versions.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

from msgspec import Meta, Struct, field

HANDOFF = "handoff/"

Count = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(gt=0)]


class HandoffPhase(Enum):
    """Phase of a handoff in the home cell. During a handoff no task of the job starts there."""

    OFFERED = "offered"  # stored before the offer is sent; the borrower may not run the job
    GRANTED = "granted"  # stored before the borrower is told; the borrower may run the job
    REVOKED = "revoked"  # not stored; the lease is no longer renewed
    RETURNED = "returned"  # the record is deleted; the job may start in its home cell again
    ENDED = "ended"  # the record is deleted; the job is final and has no tasks anywhere


class BorrowPhase(Enum):
    """Phase of a borrowed job at the borrower."""

    RESERVED = "reserved"  # capacity is reserved for a short time
    ADOPTED = "adopted"  # granted; the job may run while the lease is valid
    ENDED = "ended"  # all tasks are done; reported to the home cell until it confirms
    RELEASED = "released"  # the record is deleted; no task of the job is left here


class Verdict(Enum):
    """The home cell's decision on a borrowed job."""

    PENDING = "pending"  # offered, not granted yet
    GRANTED = "granted"  # the lease is renewed
    REVOKED = "revoked"  # the borrower must stop the job and delete its record


class HandoffRecord(Struct, frozen=True):
    """The home cell's record of a handoff."""

    epoch: int
    cell: str
    phase: HandoffPhase
    lease_s: float = 0.0  # validity of each renewal; the same throughout the handoff
    # Seconds after the expiry of the lease by which no task is left at the borrower.
    task_expiry_s: float = field(name="lapse_s", default=0.0)


class BorrowedRecord(Struct, frozen=True):
    """The borrower's record of a job; `job` is the stored form of its description."""

    epoch: int
    home: str
    phase: BorrowPhase
    job: dict[str, Any]


class CapacityRow(Struct, frozen=True, array_like=True):
    """Number of machines with the same type, zone, kind and free capacity (rounded down)."""

    type: str
    zone: str
    spot: bool
    cpus: int
    gpus: int
    ram: int
    machines: int


class HandoffOffer(Struct, frozen=True):
    """Offers a job to another cell, which starts no task of it before the handoff is granted."""

    cell: str
    to: str
    term: int
    epoch: int
    job: dict[str, Any]


class HandoffOfferResponse(Struct, frozen=True):
    """Whether capacity is reserved; term and sequence of the borrower's latest heartbeat."""

    reserved: bool
    reason: str = field(name="why", default="")
    term: int = 0
    sequence: int = 0
    task_expiry_s: float = field(name="lapse_s", default=0.0)


class BorrowedJobStatus(Struct, frozen=True):
    """One job's entry in a borrower's heartbeat."""

    job: str
    epoch: int
    phase: BorrowPhase
    stopping: bool = False  # no task of the job starts any more, and all are being stopped
    running: Count = 0


class CellHeartbeat(Struct, frozen=True):
    """Asks a home cell to renew the leases on the jobs borrowed from it. The borrower does not have
    any job that the heartbeat does not name."""

    cell: str
    to: str
    term: int
    sequence: int  # increases within the term
    home_term: int  # term in the home cell's latest response to the sender
    task_expiry_s: Seconds = field(name="lapse_s")
    borrowed: list[BorrowedJobStatus] = []
    capacity: list[CapacityRow] = field(name="room", default_factory=list)


class Ruling(Struct, frozen=True):
    """The home cell's decision on one job of a heartbeat."""

    job: str
    epoch: int
    verdict: Verdict
    lease_s: float = 0.0


class CellHeartbeatResponse(Struct, frozen=True):
    """The home cell's response to a heartbeat."""

    term: int
    rulings: list[Ruling] = []
    capacity: list[CapacityRow] = field(name="room", default_factory=list)


class UserRequest(Struct, frozen=True):
    """A user's request that reached the borrower, which passes it on to the home cell."""

    cell: str
    to: str
    operation: str  # query or cancel
    job: str


class UserResponse(Struct, frozen=True):
    """The home cell's response to a user's request."""

    status: int
    value: dict[str, Any] | None = None
