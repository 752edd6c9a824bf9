"""How a controller takes part in a feature that operators switch on and off."""

from __future__ import annotations

from enum import Enum


class Mode(Enum):
    """A controller's part in a feature, as its operator has set it."""

    OFF = "off"  # knows nothing of it, and does not lead while the others have it on
    ON = "on"
    RETIRING = "retiring"  # finishes what is outstanding and begins nothing new
