"""Duties: their records in the state service, and the messages between leader and holders.

A duty is a kind of work that only one controller at a time performs: its holder. The holder's
record is bound to the holder's lease in the state service, and every claim raises the duty's
fencing token. These are the records:

duties/on            while it exists, duties are on: only holders act on the cloud
duties/holder/DUTY   the holder of the duty; deleted by the state service when the lease expires
duties/token/DUTY    the highest fencing token so far; never deleted
duty-act/DUTY/NAME   the intent of an action: committed, and not known to be finished

Fields, keys and values are stored and sent to other controllers. `field(name=...)` gives the
stored spelling where it differs from the name used here.
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
    """The duties. The values are used in settings, in stored records and between controllers."""

    SCALE_OUT = "renting"  # provisioning machines
    SCALE_IN = "returning"  # deleting machines
    COMPACTION = "reclaiming"  # rewriting records of rounds without attempts that no longer exist
    CLEANUP = "cleanup"  # archiving jobs, and deleting records that are no longer needed

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
    """The state of one controller with respect to one duty."""

    FOLLOWING = auto()  # another controller holds the duty, or this one may not claim it
    CLAIMING = auto()  # a claim is in progress
    HOLDING = auto()
    RENEWAL_UNANSWERED = auto()  # holding, but the latest renewal failed: no new action starts
    RELEASING = auto()  # ending the actions and revoking the lease


class HolderRecord(Struct, frozen=True):
    """The holder of a duty."""

    member: str  # name of the controller
    token: int  # fencing token of this claim
    lease: int  # id of the holder's lease in the state service
    since: float  # seconds since the epoch, by the holder's wall clock
    vacant_s: float  # without a holder before this claim, as the claimant observed it


class Handover(Struct, frozen=True):
    """A past claim, shown to operators; the fields are as in HolderRecord."""

    member: str
    token: int
    vacant_s: float


class TokenRecord(Struct, frozen=True):
    """The highest fencing token of a duty so far, and the latest claims."""

    token: int = 0
    latest: list[Handover] = []


class Deletion(Struct, frozen=True):
    """A deletion of machines; once its intent is committed, no task is started on them."""

    name: str
    machines: list[str]


class StoredValue(Struct, frozen=True):
    """A record to write."""

    key: str
    value: Any


class StoreTransaction(Struct, frozen=True):
    """A conditional transaction in the state service."""

    name: str
    conditions: dict[str, int]  # key -> the version that it must have; 0: no such record
    puts: list[StoredValue]
    deletes: list[str] = field(name="drops")


class ActionIntent(Struct, frozen=True):
    """An action on the cloud, committed before it is carried out; one of the two actions is set."""

    token: int  # of the holder that committed the intent
    term: int  # of the leader that requested the action
    provision: ProvisionRequest | None = field(name="rental", default=None)
    deletion: Deletion | None = None


class ActionRequest(Struct, frozen=True):
    """A leader's request to the holder of a duty; one of the three actions is set."""

    duty: Duty
    token: int  # of the holder to which the request is addressed
    term: int  # of the leader
    leader_version: int = field(name="lead_version")  # of the leader key; a new leader's differs
    provision: ProvisionRequest | None = field(name="rental", default=None)
    deletion: Deletion | None = None
    write: StoreTransaction | None = None

    @property
    def name(self) -> str:
        """Name of the action, which stays the same when the request is repeated."""
        if self.provision is not None:
            return self.provision.request
        named = self.deletion or self.write
        return named.name if named is not None else ""

    def addressed_to(self, holder: HolderRecord) -> ActionRequest:
        """A copy of the request with the fencing token of this holder."""
        return msgspec.structs.replace(self, token=holder.token)


class Outcome(Enum):
    """The outcome of a request."""

    DONE = "done"
    NO_CAPACITY = "no-capacity"
    CONFLICT = "conflict"  # a condition of a transaction does not hold
    INVALID = "invalid"  # the state service will never accept such a transaction
    PENDING = "pending"  # committed or possibly committed: repeat the request under the same name
    REFUSED = "refused"  # nothing of this request was committed


class ActionResult(Struct, frozen=True):
    """A holder's response to a request."""

    outcome: Outcome
    machines: list[str] = []  # names of the provisioned machines
    why: str = ""  # reason of the outcome, for operators; empty if DONE
    revision: int = 0  # of the state service after a transaction
    failed: list[str] = []  # keys whose conditions did not hold
