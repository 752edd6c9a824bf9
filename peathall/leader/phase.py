"""The phase of a leader's term, and whether the leader may act now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto


class LeaderPhase(Enum):
    """The phases of a term, in order."""

    RECOVERING = auto()  # loading the records from the state service
    SERVING = auto()
    OVER = auto()


class TermState:
    """The phase of one term, and the validity of its leader lease."""

    def __init__(self, lease_is_valid: Callable[[], bool]) -> None:
        self.phase = LeaderPhase.RECOVERING
        self.serving = asyncio.Event()  # set when recovery is complete, and never cleared
        self.lease_is_valid = lease_is_valid

    def enter(self, phase: LeaderPhase) -> None:
        """Change the phase, unless the term is over."""
        if self.phase is not LeaderPhase.OVER:
            self.phase = phase

    def is_active(self) -> bool:
        """Whether commands and responses may be sent now."""
        return self.phase is LeaderPhase.SERVING and self.lease_is_valid()
