"""Messages between controllers, in JSON.

Controllers of different versions exchange them during an upgrade, so that the names on the wire
stay as they are: the field and tag names below are the only place that spells them.
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

# The query of a ping that asks for the redirected workers as well.
REDIRECTED_QUERY = "knocks"

# Epoch and sequence of a heartbeat: a later heartbeat of the same worker compares greater.
HeartbeatOrder = tuple[int, int]


class MalformedMessageError(Exception):
    """A body is not the message that was expected."""


class PeerResponse(NamedTuple):
    """An answer between controllers: HTTP status, and the value of its JSON body."""

    status: int
    value: Any


class PingResponse(Struct, frozen=True, omit_defaults=True):
    """The answer to a ping."""

    is_leader: bool = field(name="leads")
    # Workers that were redirected to the leader lately, with their latest heartbeat; None if the
    # ping did not ask for them.
    redirected: dict[str, HeartbeatOrder] | None = field(name=REDIRECTED_QUERY, default=None)


class AcceptRequest(Struct, frozen=True, tag_field="op", tag="accept"):
    """Accept a job that a user has submitted to a follower."""

    spec: JobSpec = field(name="job")


class QueryRequest(Struct, frozen=True, tag_field="op", tag="query"):
    """Tell the status of a job."""

    job_id: str = field(name="id")


class CancelRequest(Struct, frozen=True, tag_field="op", tag="cancel"):
    """Cancel a job."""

    job_id: str = field(name="id")


# What a follower forwards to the leader for a user.
JobRequest = AcceptRequest | QueryRequest | CancelRequest


def encode(message: Struct) -> bytes:
    """The message as it is sent."""
    return orjson.dumps(msgspec.to_builtins(message))


def decode(raw: bytes, message_type: type[M]) -> M:
    """A message that was received; MalformedMessageError if it is not of this type."""
    try:
        return msgspec.convert(orjson.loads(raw), message_type)
    except (orjson.JSONDecodeError, msgspec.ValidationError) as exc:
        raise MalformedMessageError(str(exc)) from None


def decode_job_request(raw: bytes) -> JobRequest:
    """A forwarded request; MalformedMessageError if it is none."""
    # mypy has no type for a union that is passed as a value.
    request: JobRequest = decode(raw, JobRequest)  # type: ignore[arg-type]
    return request


def decode_value(raw: bytes) -> Any:
    """The value of an answer whose form its reader knows; MalformedMessageError if not JSON."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise MalformedMessageError(str(exc)) from None
