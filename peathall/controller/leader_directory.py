"""Where the leader is: in this controller, or in which other one."""

from __future__ import annotations

from peathall.leader.term import Leader
from peathall.leadership.election import Election
from peathall.peers.client import Peers
from peathall.store.client import StoreClient


class LeaderDirectory:
    """The leader, as far as this controller knows it now."""

    def __init__(self, own_name: str, election: Election, store: StoreClient, peers: Peers) -> None:
        # The term that this controller serves as leader; `Controller.leader` sets it for as long as
        # the term runs.
        self.local: Leader | None = None
        self._own_name = own_name
        self._election = election
        self._store = store
        self._peers = peers

    def remote(self) -> str | None:
        """Name of the other controller that is the leader; None if none is known.

        While the state service can't be reached, the leader that its watch named last may be one
        from before the loss of contact: then only the peers' own ping responses count.
        """
        name = self._election.leader if self._store.is_fresh() else self._peers.leader_name()
        return None if name == self._own_name else name
