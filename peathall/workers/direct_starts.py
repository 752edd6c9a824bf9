"""Start commands that were sent directly, and may be carried out late."""

from __future__ import annotations

from peathall.cluster.job import Attempt


class DirectStarts:
    """The fencing tokens under which start commands were sent directly.

    A direct command has no place in the order of heartbeats: it may arrive after a later
    heartbeat has left the worker. Only a worker that has seen a higher token refuses it.
    """

    def __init__(self) -> None:
        self._tokens: dict[Attempt, int] = {}

    def note(self, attempt: Attempt, token: int) -> None:
        """A start command for the attempt is sent under this token."""
        self._tokens[attempt] = token

    def may_arrive(self, attempt: Attempt, seen_token: int) -> bool:
        """Whether a worker that has seen `seen_token` may still start the attempt."""
        return self._tokens.get(attempt, 0) >= seen_token

    def forget(self, attempt: Attempt) -> int:
        """Forget the attempt, which has ended; the token of its direct start, 0 if it had none."""
        return self._tokens.pop(attempt, 0)
