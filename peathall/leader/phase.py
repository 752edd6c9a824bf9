"""The phase of a leader's term, and whether the leader may act now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto


class LeaderPhase(Enum):
    """A term begins with recovery from the records in the state service."""

    RECOVERING = auto()
    SERVING = auto()
    OVER = auto()


class TermState:
    """The phase of one term, and the validity of its leader lease."""

    def __init__(self, lease_is_valid: Callable[[], bool]) -> None:
        self.phase = LeaderPhase.RECOVERING
        self.serving = asyncio.Event()  # set when recovery is complete, and never cleared
        self.lease_is_valid = lease_is_valid

    def enter(self, phase: LeaderPhase) -> None:
        """The one way to change the phase; OVER is final."""
        if self.phase is not LeaderPhase.OVER:
            self.phase = phase

    def is_active(self) -> bool:
        """Whether commands and responses may be sent now."""
        return self.phase is LeaderPhase.SERVING and self.lease_is_valid()
