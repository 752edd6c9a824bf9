"""Bodies of error responses."""

from __future__ import annotations

from typing import Any


def encode_error(reason: str) -> dict[str, Any]:
    """The body of an error response, with a reason for people to read."""
    return {"error": reason}


def decode_error(raw: Any) -> str:
    """The reason in the body of an error response; empty if it has none or is no map."""
    return str(raw.get("error", "")) if isinstance(raw, dict) else ""
