"""What all views of a round have in common."""

from __future__ import annotations

from msgspec import Struct, field


class RoundContext(Struct):
    """The round that was begun last."""

    wall: float = 0.0  # time of day at its beginning
    now: float = 0.0  # steady time at its beginning
    within_quota: set[str] = field(default_factory=set)  # jobs within their teams' quotas
