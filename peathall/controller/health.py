"""Whether this controller can serve anybody at present."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from peathall import constants
from peathall.http.message import Response
from peathall.peers.client import Peers
from peathall.store.client import StoreClient


class ControllerHealth:
    """Judges the contact of this controller to the state service and to its peers."""

    def __init__(self, store: StoreClient, peers: Peers) -> None:
        self._store = store
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def is_isolated(self) -> bool:
        """Neither the state service nor any peer responds: other controllers may be able to serve,
        this one is not. A deployment of one controller is never isolated in this sense."""
        return (
            bool(self._peers.views)
            and not self._store.is_fresh()
            and not self._peers.any_responded(self._loop.time(), constants.PEER_FRESH_S)
        )

    def response(self) -> Response:
        """The response to a health check: 503 while isolated, except right after the start, when
        there was no time yet to contact anybody."""
        just_started = self._loop.time() - self._started_at < constants.STARTUP_GRACE_S
        healthy = just_started or not self.is_isolated()
        return Response(HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE)
