"""Encoding of message bodies as CBOR, for users, workers, the cloud and the state service.

JSON is used here only to measure values, since the protocol's size limits count JSON. Packages that
exchange messages between controllers, which are JSON, encode them themselves.
"""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec
import orjson
from msgspec import Struct

from peathall import constants
from peathall.http.message import Response


class MalformedError(Exception):
    """A request body violates the protocol. The sender receives the message of this error."""


def decode_cbor_map(body: bytes) -> dict[str, Any]:
    """Decode a body that must be a map with text keys; MalformedError if it is not."""
    if not body or len(body) > constants.MAX_BODY_BYTES:
        raise MalformedError("empty or too large")
    try:
        value = cbor2.loads(body)
    # Catches every exception: malformed bytes make the decoder fail in many ways, among them
    # RecursionError and MemoryError.
    except Exception as exc:
        raise MalformedError(f"not CBOR: {type(exc).__name__}") from None
    if not isinstance(value, dict) or set(map(type, value)) - {str}:
        raise MalformedError("not a map with text keys")
    return value


def decode_cbor(body: bytes) -> Any:
    """Decode a body; None if it is empty. Exceptions of cbor2 are passed on."""
    return cbor2.loads(body) if body else None


def encode_cbor(value: Any) -> bytes:
    """Encode a value as CBOR."""
    return cbor2.dumps(value)


def cbor_response(status: int, value: Any, retry_after: int | None = None) -> Response:
    """A response with a CBOR body; `retry_after` is in seconds."""
    return Response(status, cbor2.dumps(value), retry_after=retry_after)


def json_size(value: Any) -> int:
    """Size of a value in bytes as JSON, by which the protocol counts its limits."""
    return len(orjson.dumps(value))


def struct_to_builtins(record: Struct) -> Any:
    """Convert a struct to dicts, lists and scalars under its encoded field names, for any codec."""
    return msgspec.to_builtins(record)
