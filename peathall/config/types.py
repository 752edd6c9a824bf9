"""Types of settings that several sections share; their bounds are checked on parsing."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]  # IPv4 address:port
Name = Annotated[str, Meta(min_length=1, max_length=100)]
