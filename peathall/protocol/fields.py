"""Types of fields that several messages share, with the bounds that are checked."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

JobId = Annotated[str, Meta(pattern=r"^j-[0-9]{1,30}\Z")]


Text = Annotated[str, Meta(min_length=1, max_length=200)]


Amount = Annotated[float, Meta(ge=0)]
