"""The `duties` section of the operators' file; field names are the names used in the file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from peathall.config.modes import Mode
from peathall.duties.model import Duty

LeaseSeconds = Annotated[float, Meta(ge=2.0, le=60.0)]


class DutySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Whether this controller takes part in duties, which it may hold, and their lease in s."""

    mode: Mode = Mode.ON
    hold: list[Duty] = []  # empty: all
    lease_s: LeaseSeconds = 5.0

    def held(self) -> list[Duty]:
        """The duties that this controller may hold."""
        return list(dict.fromkeys(self.hold)) or list(Duty)
