"""The health check: whether this controller is cut off from the rest of the service."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from peathall import constants
from peathall.http.message import Response
from peathall.peers.client import Peers
from peathall.store.client import StoreClient


class ControllerHealth:
    """Checks whether the state service and the peers respond to this controller."""

    def __init__(self, store: StoreClient, peers: Peers) -> None:
        self._store = store
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def is_isolated(self) -> bool:
        """Whether neither the state service nor any peer responds.

        Other controllers may then be able to serve, but this one can't. A controller without
        peers is never isolated.
        """
        return (
            bool(self._peers.views)
            and not self._store.is_fresh()
            and not self._peers.any_responded(self._loop.time(), constants.PEER_FRESH_S)
        )

    def response(self) -> Response:
        """The response to a health check: 503 while isolated.

        For STARTUP_GRACE_S after startup it is 200, since nobody may have responded yet.
        """
        just_started = self._loop.time() - self._started_at < constants.STARTUP_GRACE_S
        healthy = just_started or not self.is_isolated()
        return Response(HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE)
