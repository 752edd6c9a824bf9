"""Duties: their records in the state service, and the messages between leader and holders.

A duty is a type of action that only one controller at a time performs: its holder. Ownership is
by lease, with fencing tokens: the holder's record lives as long as the holder's lease in the state
service, and every claim raises the duty's token. These are the records:

duties/on            while it exists, duties are on: only holders act on the cloud
duties/holder/DUTY   who holds the duty; deleted by the state service when the lease expires
duties/token/DUTY    the highest fencing token so far; never deleted
duty-act/DUTY/NAME   the intent of an action: committed, and not known to be finished

Fields, keys and values are stored and sent to other controllers; where a name here differs, the
spelling that is stored or sent is given by `field(name=...)`.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

import msgspec
from msgspec import Struct, field

from peathall.autoscaling.actions import ProvisionRequest

DUTIES_PREFIX = "duties/"
ENABLED_KEY = "duties/on"
HOLDER_PREFIX = "duties/holder/"
TOKEN_PREFIX = "duties/token/"
ACTION_PREFIX = "duty-act/"


class Duty(Enum):
    """The duties; operators, the state service and other controllers know them by the value."""

    SCALE_OUT = "renting"  # provisioning machines
    SCALE_IN = "returning"  # deleting machines
    COMPACTION = "reclaiming"  # records of rounds, without the attempts that no longer exist
    CLEANUP = "cleanup"  # archiving jobs, and deleting records that nothing needs

    @property
    def holder_key(self) -> str:
        """Key of the record that names the holder."""
        return HOLDER_PREFIX + self.value

    @property
    def token_key(self) -> str:
        """Key of the record of the fencing token."""
        return TOKEN_PREFIX + self.value

    @property
    def action_prefix(self) -> str:
        """Prefix of the keys of unfinished actions."""
        return f"{ACTION_PREFIX}{self.value}/"


class DutyPhase(Enum):
    """A controller's part in one duty."""

    FOLLOWING = auto()  # another holds it, or it may not be claimed
    CLAIMING = auto()  # a claim is under way
    HOLDING = auto()
    RENEWAL_UNANSWERED = auto()  # holding, but with the latest renewal unanswered: nothing begins
    RELEASING = auto()  # giving it up in order


class HolderRecord(Struct, frozen=True):
    """Who holds a duty, and since when."""

    member: str  # name of the controller
    token: int  # fencing token of this claim
    lease: int  # id of the holder's lease in the state service
    since: float  # seconds since the epoch, by the holder's wall clock
    vacant_s: float  # seconds for which the claimant had seen the duty without a holder


class Handover(Struct, frozen=True):
    """An earlier claim, for operators; the fields are those of HolderRecord."""

    member: str
    token: int
    vacant_s: float


class TokenRecord(Struct, frozen=True):
    """The highest fencing token so far, and the latest claims."""

    token: int = 0
    latest: list[Handover] = []


class Deletion(Struct, frozen=True):
    """Machines to be deleted; once the intent is committed, nothing starts on them."""

    name: str
    machines: list[str]


class StoredValue(Struct, frozen=True):
    """A record to be written."""

    key: str
    value: Any


class StoreTransaction(Struct, frozen=True):
    """A compare-and-swap in the state service."""

    name: str
    conditions: dict[str, int]  # key -> the version that it must have; 0: none
    puts: list[StoredValue]
    deletes: list[str] = field(name="drops")


class ActionIntent(Struct, frozen=True):
    """An action as it is committed before its side effect; one of the two actions is set."""

    token: int  # of the holder that committed it
    term: int  # of the leader that asked for it
    provision: ProvisionRequest | None = field(name="rental", default=None)
    deletion: Deletion | None = None


class ActionRequest(Struct, frozen=True):
    """A leader's request to the holder of a duty; one of the three actions is set."""

    duty: Duty
    token: int  # of the holder that it is addressed to
    term: int
    leader_version: int = field(name="lead_version")  # of the leader key; a successor's differs
    provision: ProvisionRequest | None = field(name="rental", default=None)
    deletion: Deletion | None = None
    write: StoreTransaction | None = None

    @property
    def name(self) -> str:
        """Name of the action; the same whenever the request is repeated."""
        if self.provision is not None:
            return self.provision.request
        named = self.deletion or self.write
        return named.name if named is not None else ""

    def addressed_to(self, holder: HolderRecord) -> ActionRequest:
        """The same request, for this holder of the duty."""
        return msgspec.structs.replace(self, token=holder.token)


class Outcome(Enum):
    """What became of a request."""

    DONE = "done"
    NO_CAPACITY = "no-capacity"
    CONFLICT = "conflict"  # a condition of a transaction does not hold
    INVALID = "invalid"  # the state service will never accept such a transaction
    PENDING = "pending"  # committed, or perhaps committed: repeat it under the same name
    REFUSED = "refused"  # nothing of this request was committed


class ActionResult(Struct, frozen=True):
    """A holder's answer to a request."""

    outcome: Outcome
    machines: list[str] = []  # that were provisioned
    why: str = ""  # for operators, unless the outcome is DONE
    revision: int = 0  # of a transaction
    failed: list[str] = []  # keys that did not have the version of their condition
