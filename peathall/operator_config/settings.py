"""The operators' own settings, composed of the sections of the optional features."""

from __future__ import annotations

from msgspec import Struct

from peathall.cells.settings import CellSettings
from peathall.config.modes import Mode
from peathall.config.types import NotNegative
from peathall.duties.settings import DutySettings


class Operator(Struct, frozen=True, forbid_unknown_fields=True):
    """What the operators may set themselves; the defaults serve without a file."""

    idle_hold_s: NotNegative | None = None
    duties: DutySettings | None = None
    cells: CellSettings | None = None

    @property
    def duty_mode(self) -> Mode:
        """This controller's part in duties; without a section it has none."""
        return self.duties.mode if self.duties is not None else Mode.OFF

    @property
    def cell_mode(self) -> Mode:
        """This controller's part in cells; without a section it has none."""
        return self.cells.mode if self.cells is not None else Mode.OFF
