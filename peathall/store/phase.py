"""The phase of a writer, shared with its committer."""

from __future__ import annotations

from enum import Enum, auto


class WriterPhase(Enum):
    """State of the transaction that a writer has in flight."""

    IDLE = auto()
    COMMITTING = auto()
    OUTCOME_UNKNOWN = auto()  # a commit got no response; other writes wait for its outcome
    STOPPED = auto()


class WriterState:
    """Phase of a writer, changed by the writer and its committer. STOPPED is final."""

    def __init__(self) -> None:
        self.phase = WriterPhase.IDLE

    @property
    def is_stopped(self) -> bool:
        """Whether no further writes are allowed."""
        return self.phase is WriterPhase.STOPPED

    def enter(self, phase: WriterPhase) -> None:
        """Change the phase, unless the writer is stopped."""
        if not self.is_stopped:
            self.phase = phase
