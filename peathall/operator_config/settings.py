"""The operators' own settings, composed of the sections of the optional features."""

from __future__ import annotations

from msgspec import Struct

from peathall.cells.settings import CellSettings
from peathall.config.modes import Mode
from peathall.config.types import NotNegative
from peathall.duties.settings import DutySettings


class Operator(Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' file; without one, the defaults hold. Unknown fields are an error."""

    idle_hold_s: NotNegative | None = None  # how long idle machines are kept; None: see ScaleIn
    duties: DutySettings | None = None
    cells: CellSettings | None = None

    @property
    def duty_mode(self) -> Mode:
        """How this controller takes part in duties: not at all without a section."""
        return self.duties.mode if self.duties is not None else Mode.OFF

    @property
    def cell_mode(self) -> Mode:
        """How this controller takes part in cells: not at all without a section."""
        return self.cells.mode if self.cells is not None else Mode.OFF
