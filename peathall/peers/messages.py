"""Messages between controllers, in JSON.

During an upgrade controllers of different versions exchange these messages. The names on the wire,
which are the encoded field names and the tags below, must therefore not change.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec
import orjson
from msgspec import Struct, field

from peathall.protocol.jobs import JobSpec

M = TypeVar("M")

PING_PATH = "/ping"
FORWARD_PATH = "/forward"

# Query string of a ping that requests the redirected workers as well.
REDIRECTED_QUERY = "knocks"

# Epoch and sequence of a heartbeat: a later heartbeat of the same worker compares greater.
HeartbeatOrder = tuple[int, int]


class MalformedMessageError(Exception):
    """A body is not a message of the expected type."""


class PeerResponse(NamedTuple):
    """A response between controllers: HTTP status, and the value of its JSON body."""

    status: int
    value: Any


class PingResponse(Struct, frozen=True, omit_defaults=True):
    """The response to a ping."""

    is_leader: bool = field(name="leads")
    # Workers that were recently redirected to the leader, with their latest heartbeat; None if the
    # ping did not request them.
    redirected: dict[str, HeartbeatOrder] | None = field(name=REDIRECTED_QUERY, default=None)


class AcceptRequest(Struct, frozen=True, tag_field="op", tag="accept"):
    """Accept a job that a user has submitted to a follower."""

    spec: JobSpec = field(name="job")


class QueryRequest(Struct, frozen=True, tag_field="op", tag="query"):
    """Query the status of a job."""

    job_id: str = field(name="id")


class CancelRequest(Struct, frozen=True, tag_field="op", tag="cancel"):
    """Cancel a job."""

    job_id: str = field(name="id")


# A user's request, as a follower forwards it to the leader.
JobRequest = AcceptRequest | QueryRequest | CancelRequest


def encode(message: Struct) -> bytes:
    """Encode a message."""
    return orjson.dumps(msgspec.to_builtins(message))


def decode(raw: bytes, message_type: type[M]) -> M:
    """Decode a message; MalformedMessageError if it is not of this type."""
    try:
        return msgspec.convert(orjson.loads(raw), message_type)
    except (orjson.JSONDecodeError, msgspec.ValidationError) as exc:
        raise MalformedMessageError(str(exc)) from None


def decode_job_request(raw: bytes) -> JobRequest:
    """Decode a forwarded request; MalformedMessageError if the body is not one."""
    # mypy cannot type a union that is passed as a value.
    request: JobRequest = decode(raw, JobRequest)  # type: ignore[arg-type]
    return request


def decode_value(raw: bytes) -> Any:
    """Decode a body that the caller interprets itself; MalformedMessageError if not JSON."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise MalformedMessageError(str(exc)) from None
