"""The fencing tokens of start commands, of which late copies may arrive."""

from __future__ import annotations

from peathall.cluster.job import Attempt


class StartTokens:
    """The fencing token of the latest start command for each attempt.

    A start command, or a copy of one that was executed before, may arrive after the worker has sent
    a later heartbeat. A worker that no longer knows the attempt refuses the command only once it
    has seen a higher token.
    """

    def __init__(self) -> None:
        self._tokens: dict[Attempt, int] = {}

    def note(self, attempt: Attempt, token: int) -> None:
        """Record that a start command for the attempt is sent with this token."""
        self._tokens[attempt] = token

    def may_arrive(self, attempt: Attempt, seen_token: int) -> bool:
        """Whether a worker that has seen `seen_token` may still start the attempt."""
        return self._tokens.get(attempt, 0) >= seen_token

    def forget(self, attempt: Attempt) -> int:
        """Forget an attempt that has ended. Returns the token of its start command, 0 if none."""
        return self._tokens.pop(attempt, 0)
