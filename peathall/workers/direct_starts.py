"""Start commands that were sent directly and may be executed late."""

from __future__ import annotations

from peathall.cluster.job import Attempt


class DirectStarts:
    """The fencing tokens of start commands that were sent directly.

    Direct commands are not ordered with heartbeats: a command may arrive after the worker has sent
    a later heartbeat. Only a worker that has seen a higher token refuses it.
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
        """Forget an attempt that has ended. Returns the token of its direct start, 0 if none."""
        return self._tokens.pop(attempt, 0)
