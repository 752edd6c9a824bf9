"""Bodies: CBOR towards the outside, orjson between our own controllers."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec
import orjson
from msgspec import Struct

from peathall import constants
from peathall.http.message import Response


class MalformedError(Exception):
    """A body is not what the protocol allows."""


def cbor_map(body: bytes) -> dict[str, Any]:
    """A request's body; MalformedError unless it is a map with text keys."""
    if not body or len(body) > constants.MAX_BODY:
        raise MalformedError("empty or too large")
    try:
        value = cbor2.loads(body)
    # A decoder of foreign bytes fails in many ways: recursion, memory, value.
    except Exception as exc:
        raise MalformedError(f"not CBOR: {type(exc).__name__}") from None
    if not isinstance(value, dict) or set(map(type, value)) - {str}:
        raise MalformedError("not a map with text keys")
    return value


def cbor_any(body: bytes) -> Any:
    """Whatever the body holds; None if it is empty."""
    return cbor2.loads(body) if body else None


def cbor_bytes(value: Any) -> bytes:
    """A value as CBOR."""
    return cbor2.dumps(value)


def cbor_response(status: int, value: Any, retry_after: int | None = None) -> Response:
    """A response with a CBOR body."""
    return Response(status, cbor2.dumps(value), retry_after=retry_after)


def json_size(value: Any) -> int:
    """Size in the form in which the protocol counts its limits."""
    return len(orjson.dumps(value))


def struct_to_builtins(record: Struct) -> Any:
    """The struct as dicts, lists and scalars with its encoded field names, ready for any codec."""
    return msgspec.to_builtins(record)
