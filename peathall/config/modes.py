"""How a controller takes part in an optional feature."""

from __future__ import annotations

from enum import Enum


class Mode(Enum):
    """How a controller takes part in an optional feature; the values are those of the operators'
    file."""

    OFF = "off"  # does not take part, and does not lead while others have it on
    ON = "on"
    RETIRING = "retiring"  # completes what is outstanding and begins nothing new
