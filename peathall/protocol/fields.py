"""Field types that several messages share, with their validated bounds."""

from __future__ import annotations

import re
from typing import Annotated

from msgspec import Meta

JOB_ID = re.compile(r"^j-[0-9]{1,30}\Z")

JobId = Annotated[str, Meta(pattern=JOB_ID.pattern)]

Text = Annotated[str, Meta(min_length=1, max_length=200)]  # a name, not empty

Amount = Annotated[float, Meta(ge=0)]
