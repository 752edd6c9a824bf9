"""Bodies of responses that refuse a request."""

from __future__ import annotations

from typing import Any


def encode_error(reason: str) -> dict[str, Any]:
    """The body of a response that refuses a request, for a person to read."""
    return {"error": reason}


def decode_error(raw: Any) -> str:
    """The reason in such a body; empty if it has none."""
    return str((raw or {}).get("error", ""))
