"""Encodings of bodies: CBOR for users, workers, the cloud and the state service. JSON, the encoding
between our own controllers, is needed here only for the sizes that the protocol limits."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec
import orjson
from msgspec import Struct

from peathall import constants
from peathall.http.message import Response


class MalformedError(Exception):
    """A body is not what the protocol allows; the message goes to the sender."""


def cbor_map(body: bytes) -> dict[str, Any]:
    """The value of a body that must be a map with text keys; MalformedError if it is not."""
    if not body or len(body) > constants.MAX_BODY_BYTES:
        raise MalformedError("empty or too large")
    try:
        value = cbor2.loads(body)
    # Last line of defence: on bytes from outside the decoder fails in many ways, among them
    # RecursionError and MemoryError.
    except Exception as exc:
        raise MalformedError(f"not CBOR: {type(exc).__name__}") from None
    if not isinstance(value, dict) or set(map(type, value)) - {str}:
        raise MalformedError("not a map with text keys")
    return value


def cbor_any(body: bytes) -> Any:
    """The value of a body; None if it is empty. Whatever cbor2 raises is passed on."""
    return cbor2.loads(body) if body else None


def cbor_bytes(value: Any) -> bytes:
    """The CBOR encoding of a value."""
    return cbor2.dumps(value)


def cbor_response(status: int, value: Any, retry_after: int | None = None) -> Response:
    """A response with a CBOR body; `retry_after` in s."""
    return Response(status, cbor2.dumps(value), retry_after=retry_after)


def json_size(value: Any) -> int:
    """Bytes of a value as JSON, the form in which the protocol counts its limits."""
    return len(orjson.dumps(value))


def struct_to_builtins(record: Struct) -> Any:
    """The struct as dicts, lists and scalars with its encoded field names, ready for any codec."""
    return msgspec.to_builtins(record)
