"""Values as TOML, which the standard library only reads."""

from __future__ import annotations

import json
from typing import Any


def inline(value: Any) -> str:
    """A value in TOML's inline form."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {inline(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(inline(item) for item in value) + "]"
    return json.dumps(value)  # strings, numbers and booleans look the same in both
