"""Lookup of the leader: in this process, or the name of another controller."""

from __future__ import annotations

from peathall.leader.term import Leader
from peathall.leadership.election import Election
from peathall.peers.client import Peers
from peathall.store.client import StoreClient


class LeaderDirectory:
    """The leader that this controller knows at present."""

    def __init__(self, own_name: str, election: Election, store: StoreClient, peers: Peers) -> None:
        # The leader of this process; `Controller.leader` sets it for the duration of a term.
        self.local: Leader | None = None
        self._own_name = own_name
        self._election = election
        self._store = store
        self._peers = peers

    def remote_name(self) -> str | None:
        """Name of the leader if it is another controller; None if no such leader is known.

        While the state service can't be reached, the leader last read from it may be outdated, so
        the leader is then taken from the peers' ping responses.
        """
        name = self._election.leader if self._store.is_fresh() else self._peers.leader_name()
        return None if name == self._own_name else name
