"""The fencing token that the leader's responses and commands carry."""

from __future__ import annotations

from peathall.cluster.state import ClusterState
from peathall.leadership.lease import fencing_token


class FencingTokenCounter:
    """The current fencing token of a leader term.

    Workers refuse commands with a token lower than the highest that they have seen. Raising the
    token therefore invalidates start commands in flight, once a worker has seen the new token.
    """

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self._counter = 0

    @property
    def lowest(self) -> int:
        """The lowest token of this term; attempt numbers of this term are not lower."""
        return fencing_token(self.cluster.term, 0)

    @property
    def current(self) -> int:
        """The token of responses and commands that are sent now."""
        return fencing_token(self.cluster.term, self._counter)

    def advance(self) -> None:
        """Raise the token by one."""
        self._counter += 1
