"""What a writer is doing."""

from __future__ import annotations

from enum import Enum, auto


class WriterPhase(Enum):
    """What a writer's one transaction in flight is doing."""

    IDLE = auto()
    COMMITTING = auto()
    OUTCOME_UNKNOWN = auto()  # no response to a commit: nothing else is written until it is known
    STOPPED = auto()


class WriterState:
    """The phase of a writer, which its committer changes too. A stopped writer stays stopped."""

    def __init__(self) -> None:
        self.phase = WriterPhase.IDLE

    @property
    def is_stopped(self) -> bool:
        """Whether nothing may be written any more."""
        return self.phase is WriterPhase.STOPPED

    def enter(self, phase: WriterPhase) -> None:
        """Change the phase, unless the writer is stopped."""
        if not self.is_stopped:
            self.phase = phase
