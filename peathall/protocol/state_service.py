"""Paths, requests and responses of the state service, and the records that they carry.

===============  ==================================================
on the wire      in this program
===============  ==================================================
k                key
data             value
stamp            version, of one key
epoch            revision, of the whole store
write            Put
drop             Delete
tenancy          lease
when             conditions
apply            operations
news             watch events
ttl_ms, hold_ms  ttl_s, hold_s
===============  ==================================================
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

from msgspec import Struct

from peathall.protocol.errors import decode_error

COMMIT_PATH = "/commit"
LEASES_PATH = "/leases"
SCAN_PAGE_SIZE = 1000  # records in one page of a scan


class KeyValue(Struct):
    """A stored record, with the revision of its last change as its version."""

    key: str
    value: Any
    version: int


class WatchEvent(Struct):
    """A change of a record that a watch reports; the value is None if the record was deleted."""

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
    """Path that reads one record."""
    return f"/store/{quote(key)}"


def scan_path(prefix: str, after: str) -> str:
    """Path that reads a page of the records with a prefix; `after` is the last key of the previous
    page, or empty."""
    path = f"/store?prefix={quote(prefix)}&most={SCAN_PAGE_SIZE}"
    return f"{path}&after={quote(after)}" if after else path


def watch_path(prefix: str, after: int, hold_s: float) -> str:
    """Path that reads the changes after a revision. If there are none, the service holds the
    response for up to `hold_s` seconds."""
    return f"/watch?prefix={quote(prefix)}&after={after}&hold_ms={int(hold_s * 1000)}"


def lease_path(lease: int) -> str:
    """Path that ends a lease."""
    return f"{LEASES_PATH}/{lease}"


def lease_renewal_path(lease: int) -> str:
    """Path that renews a lease."""
    return f"{LEASES_PATH}/{lease}/renew"


def operation_to_wire(operation: Put | Delete) -> dict[str, Any]:
    """Encode one operation of a transaction. The size limits of transactions count this form."""
    if isinstance(operation, Delete):
        return {"drop": operation.key}
    wire = {"write": operation.key, "data": operation.value}
    if operation.lease is not None:
        wire["tenancy"] = operation.lease
    return wire


def transaction_to_wire(
    conditions: dict[str, int], operations: Iterable[Put | Delete]
) -> dict[str, Any]:
    """Encode a transaction: the version that each key must have (0: no such record), and the
    operations that are carried out if all conditions hold."""
    return {
        "when": [{"k": key, "stamp": version} for key, version in conditions.items()],
        "apply": [operation_to_wire(operation) for operation in operations],
    }


def lease_request_to_wire(ttl_s: float) -> dict[str, Any]:
    """Encode a request for a lease that ends `ttl_s` seconds after its last renewal."""
    return {"ttl_ms": int(ttl_s * 1000)}


def key_value_from_wire(raw: dict[str, Any]) -> KeyValue:
    """Decode a record in the response to a read or a scan."""
    return KeyValue(raw["k"], raw["data"], raw["stamp"])


def scan_page_from_wire(raw: dict[str, Any]) -> tuple[list[KeyValue], bool]:
    """Decode a page of a scan: its records, and whether another page follows."""
    items = [key_value_from_wire(item) for item in raw["items"]]
    return items, bool(raw.get("more") and items)


def revision_from_wire(raw: dict[str, Any]) -> int:
    """Decode the revision of the store at which a request was carried out."""
    return int(raw["epoch"])


def failed_conditions_from_wire(raw: dict[str, Any]) -> list[str]:
    """Decode the keys whose conditions did not hold."""
    return list(raw["failed"])


def is_ended_lease_error(raw: Any) -> bool:
    """Whether a transaction was rejected as invalid because a lease in it has ended."""
    return "lease" in decode_error(raw)


def lease_from_wire(raw: dict[str, Any]) -> int:
    """Decode the id of a granted lease."""
    return int(raw["tenancy"])


def watch_event_from_wire(raw: dict[str, Any]) -> WatchEvent:
    """Decode one change that a watch reports."""
    if "write" in raw:
        return WatchEvent(raw["write"], raw["stamp"], raw.get("data"))
    return WatchEvent(raw["drop"], raw["stamp"], deleted=True)


def watch_events_from_wire(raw: dict[str, Any]) -> list[WatchEvent]:
    """Decode all changes in the response to a watch."""
    return [watch_event_from_wire(event) for event in raw["news"]]
