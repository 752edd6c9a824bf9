"""Duties, their records in the state service, and what leader and holders tell one another.

duties/on            the mark: while it stands, only holders act on the cloud
duties/holder/DUTY   who holds the duty, on a lease: it goes when the lease ends
duties/token/DUTY    the fencing token, counted up with every claim, durable
duty-act/DUTY/ID     an action that was committed and is not known to be finished
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

import msgspec
from msgspec import Struct

from peathall.autoscaling.actions import ProvisionRequest

PREFIX = "duties/"
MARK = "duties/on"
HOLDER = "duties/holder/"
TOKEN = "duties/token/"
ACT = "duty-act/"


class Duty(Enum):
    """What only one controller at a time may do."""

    RENTING = "renting"
    RETURNING = "returning"
    RECLAIMING = "reclaiming"  # records of rounds give back what is surely gone
    CLEANUP = "cleanup"  # archiving, and dropping records that nothing needs

    @property
    def holder_key(self) -> str:
        """Key of the record that names the holder."""
        return HOLDER + self.value

    @property
    def token_key(self) -> str:
        """Key of the record that counts the claims."""
        return TOKEN + self.value

    @property
    def act_prefix(self) -> str:
        """Prefix of the records of unfinished actions."""
        return f"{ACT}{self.value}/"


class DutyPhase(Enum):
    """A controller's part in one duty."""

    FOLLOWING = auto()  # another holds it, or nobody may
    CLAIMING = auto()  # a claim is under way
    HOLDING = auto()
    UNSURE = auto()  # holding, but the latest renewal got no answer: nothing new is begun
    RELEASING = auto()  # giving it up in order


class HolderRecord(Struct, frozen=True):
    """Who holds a duty, and since when."""

    member: str
    token: int
    lease: int
    since: float  # time of day
    vacant_s: float  # for how long the claimant had seen it vacant


class Handover(Struct, frozen=True):
    """An earlier claim, for operators."""

    member: str
    token: int
    vacant_s: float


class TokenRecord(Struct, frozen=True):
    """The highest fencing token that was given, and the latest claims."""

    token: int = 0
    latest: list[Handover] = []


class Deletion(Struct, frozen=True):
    """Machines to be deleted; from its commit on they are condemned."""

    name: str
    machines: list[str]


class StoredValue(Struct, frozen=True):
    """A record to be written."""

    key: str
    value: Any


class StoreWork(Struct, frozen=True):
    """A transaction: versions on which it depends, and what it changes."""

    name: str
    conditions: dict[str, int]
    puts: list[StoredValue]
    drops: list[str]


class ActRecord(Struct, frozen=True):
    """An action as it was committed, before its side effect."""

    token: int
    term: int
    rental: ProvisionRequest | None = None
    deletion: Deletion | None = None


class ActRequest(Struct, frozen=True):
    """A leader's order to the holder of a duty."""

    duty: Duty
    token: int  # of the holder that is meant
    term: int
    lead_version: int  # of the leader's record: its successor's has another
    rental: ProvisionRequest | None = None
    deletion: Deletion | None = None
    write: StoreWork | None = None

    @property
    def name(self) -> str:
        """Of the action; the same whenever it is asked for."""
        if self.rental is not None:
            return self.rental.request
        named = self.deletion or self.write
        return named.name if named is not None else ""

    def meant_for(self, holder: HolderRecord) -> ActRequest:
        """The same, for this holder of the duty."""
        return msgspec.structs.replace(self, token=holder.token)


class Outcome(Enum):
    """What became of an order."""

    DONE = "done"
    NO_CAPACITY = "no-capacity"
    CONFLICT = "conflict"  # a condition of a transaction does not hold
    INVALID = "invalid"  # the state service will never take such a transaction
    PENDING = "pending"  # committed, or perhaps committed: ask again under the same name
    REFUSED = "refused"  # nothing of this order was committed


class ActAnswer(Struct, frozen=True):
    """A holder's answer."""

    outcome: Outcome
    machines: list[str] = []
    why: str = ""
    revision: int = 0  # of a transaction
    failed: list[str] = []  # keys that did not have the version that was the condition


def to_value(record: Struct) -> Any:
    """The value under which a record is stored."""
    return msgspec.to_builtins(record)
