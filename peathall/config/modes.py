"""Modes of the optional features, duties and cells."""

from __future__ import annotations

from enum import Enum


class Mode(Enum):
    """How a controller takes part in an optional feature. The values are the spellings in the
    operators' settings file."""

    OFF = "off"  # takes no part; cannot become leader while the cluster has the feature on
    ON = "on"
    RETIRING = "retiring"  # completes outstanding work and begins no new work
