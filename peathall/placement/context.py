"""Data of the current round that views of jobs, machines and victims share."""

from __future__ import annotations

from msgspec import Struct, field


class RoundContext(Struct):
    """Start time of the latest round, and the jobs within quota in that round."""

    wall: float = 0.0  # wall-clock time at the start of the round
    now: float = 0.0  # monotonic time at the start of the round
    within_quota: set[str] = field(default_factory=set)  # ids of jobs within quota
