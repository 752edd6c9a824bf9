"""Paths, requests and responses of the state service, and the records that they carry.

protocol -> here: k key, data value, stamp version (of one key), epoch revision (of the store),
write Put, drop Delete, tenancy lease, when conditions, apply operations, news watch events,
ttl_ms and hold_ms seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

from msgspec import Struct

COMMIT_PATH = "/commit"
LEASES_PATH = "/leases"
SCAN_PAGE_SIZE = 1000  # records of one page of a scan


class KeyValue(Struct):
    """A record as it is stored, with the revision of its last change."""

    key: str
    value: Any
    version: int


class WatchEvent(Struct):
    """A change of a record that a watch reports; the value is None if it was deleted."""

    key: str
    version: int
    value: Any = None
    deleted: bool = False


class Put(Struct):
    """Write a record. A record with a lease is deleted when the lease ends."""

    key: str
    value: Any
    lease: int | None = None


class Delete(Struct):
    """Delete a record."""

    key: str


def record_path(key: str) -> str:
    """Where one record is read."""
    return f"/store/{quote(key)}"


def scan_path(prefix: str, after: str) -> str:
    """Where a page of the records with a prefix is read; `after` is the last key of the page
    before, or empty."""
    path = f"/store?prefix={quote(prefix)}&most={SCAN_PAGE_SIZE}"
    return f"{path}&after={quote(after)}" if after else path


def watch_path(prefix: str, after: int, hold_s: float) -> str:
    """Where the changes after a revision are read; without any, the service holds the response
    for `hold_s` seconds."""
    return f"/watch?prefix={quote(prefix)}&after={after}&hold_ms={int(hold_s * 1000)}"


def lease_path(lease: int) -> str:
    """Where a lease is ended."""
    return f"{LEASES_PATH}/{lease}"


def lease_renewal_path(lease: int) -> str:
    """Where a lease is renewed."""
    return f"{LEASES_PATH}/{lease}/renew"


def operation_to_wire(operation: Put | Delete) -> dict[str, Any]:
    """One operation of a transaction. Limits on the size of a transaction count this form."""
    if isinstance(operation, Delete):
        return {"drop": operation.key}
    wire = {"write": operation.key, "data": operation.value}
    if operation.lease is not None:
        wire["tenancy"] = operation.lease
    return wire


def transaction_to_wire(
    conditions: dict[str, int], operations: Iterable[Put | Delete]
) -> dict[str, Any]:
    """A transaction: the version that each key must have (0: no such record), and what is then
    carried out."""
    return {
        "when": [{"k": key, "stamp": version} for key, version in conditions.items()],
        "apply": [operation_to_wire(operation) for operation in operations],
    }


def lease_request_to_wire(ttl_s: float) -> dict[str, Any]:
    """A request for a lease that ends `ttl_s` seconds after its last renewal."""
    return {"ttl_ms": int(ttl_s * 1000)}


def key_value_from_wire(raw: dict[str, Any]) -> KeyValue:
    """A record of a read or a scan."""
    return KeyValue(raw["k"], raw["data"], raw["stamp"])


def scan_page_from_wire(raw: dict[str, Any]) -> tuple[list[KeyValue], bool]:
    """The records of one page of a scan, and whether another page follows."""
    items = [key_value_from_wire(item) for item in raw["items"]]
    return items, bool(raw.get("more") and items)


def revision_from_wire(raw: dict[str, Any]) -> int:
    """The revision of the store at which a request was carried out."""
    return int(raw["epoch"])


def failed_conditions_from_wire(raw: dict[str, Any]) -> list[str]:
    """The keys whose conditions did not hold."""
    return list(raw["failed"])


def names_ended_lease(raw: dict[str, Any] | None) -> bool:
    """Whether a transaction was rejected as invalid since a lease in it has ended."""
    return "lease" in str((raw or {}).get("error", ""))


def lease_from_wire(raw: dict[str, Any]) -> int:
    """The id of a lease that was granted."""
    return int(raw["tenancy"])


def watch_event_from_wire(raw: dict[str, Any]) -> WatchEvent:
    """One change that a watch reports."""
    if "write" in raw:
        return WatchEvent(raw["write"], raw["stamp"], raw.get("data"))
    return WatchEvent(raw["drop"], raw["stamp"], deleted=True)


def watch_events_from_wire(raw: dict[str, Any]) -> list[WatchEvent]:
    """All changes that a response to a watch reports."""
    return [watch_event_from_wire(event) for event in raw["news"]]
