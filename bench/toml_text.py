"""Formats values as TOML, which the standard library can only read."""

from __future__ import annotations

import json
from typing import Any


def inline(value: Any) -> str:
    """The value as an inline TOML value."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {inline(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(inline(item) for item in value) + "]"
    return json.dumps(value)  # strings, numbers and booleans are written alike in both
