"""The operators' own settings: one section for each optional feature."""

from __future__ import annotations

from msgspec import Struct

from peathall.cells.settings import CellSettings
from peathall.config.modes import Mode
from peathall.config.types import NotNegative
from peathall.duties.settings import DutySettings


class OperatorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole operators' settings file. A controller without one uses the defaults. Unknown
    fields are an error."""

    # How long idle machines are kept; None: scale-in derives it from startup times, prices, quota
    # guarantees and recent submissions.
    idle_hold_s: NotNegative | None = None
    duties: DutySettings | None = None
    cells: CellSettings | None = None

    @property
    def duty_mode(self) -> Mode:
        """How this controller takes part in duties; off without a `duties` section."""
        return self.duties.mode if self.duties is not None else Mode.OFF

    @property
    def cell_mode(self) -> Mode:
        """How this controller takes part in cells; off without a `cells` section."""
        return self.cells.mode if self.cells is not None else Mode.OFF
