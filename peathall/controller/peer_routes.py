"""Handlers for the optional features' requests at the address for other controllers.

The requests come from other controllers, from other cells, and from operators' commands.
"""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from peathall import constants
from peathall.controller.leader_directory import LeaderDirectory
from peathall.http.client import NoAnswerError
from peathall.peers import messages
from peathall.peers.client import Peers
from peathall.peers.messages import MalformedMessageError, PeerResponse
from peathall.protocol.errors import encode_error
from peathall.store.errors import StoreError

if TYPE_CHECKING:
    from peathall.duties.duties import Duties

log = logging.getLogger("peathall.controller")

DUTY_PATHS = ("/duty", "/duties", "/duties/waiting")
CELLS_PREFIX = "/cells"
CELL_STATUS_PATH = "/cells"


class DutyRoutes:
    """Serves the requests about duties, which any controller can answer."""

    def __init__(self, duties: Duties) -> None:
        self._duties = duties

    async def serve(self, path: str, raw: bytes) -> PeerResponse | None:
        """The response; None if the path does not belong to duties."""
        if path not in DUTY_PATHS:
            return None
        try:
            return PeerResponse(*await self._duties.serve(path, raw))
        except StoreError as exc:
            log.debug(
                "duty request %s: request to the state service failed, answered 503: %s", path, exc
            )
            return PeerResponse(HTTPStatus.SERVICE_UNAVAILABLE, None)


class CellRoutes:
    """Serves the requests about cells, which only the leader can answer.

    On other controllers, messages of other cells are redirected to the leader, and the status for
    operators is fetched from the leader.
    """

    def __init__(self, own_name: str, leaders: LeaderDirectory, peers: Peers) -> None:
        self._own_name = own_name
        self._leaders = leaders
        self._peers = peers

    async def serve(self, path: str, raw: bytes) -> PeerResponse | None:
        """The response; None if the path does not belong to cells."""
        if not path.startswith(CELLS_PREFIX):
            return None
        leader = self._leaders.local
        if leader is None or leader.cells is None:
            if path == CELL_STATUS_PATH:
                return await self._relay_to_leader(path, raw)
            leader_name = self._leaders.remote_name()
            return PeerResponse(HTTPStatus.MISDIRECTED_REQUEST, {"leader": leader_name})
        if path == CELL_STATUS_PATH:
            status = leader.cells.status(self._own_name)
            return PeerResponse(HTTPStatus.OK, msgspec.to_builtins(status))
        return PeerResponse(*await leader.cells.serve(path, raw))

    async def _relay_to_leader(self, path: str, raw: bytes) -> PeerResponse:
        leader_name = self._leaders.remote_name()
        if leader_name is None:
            return PeerResponse(HTTPStatus.SERVICE_UNAVAILABLE, encode_error("nobody leads"))
        try:
            status, answer = await self._peers.send(
                leader_name, path, raw, constants.FORWARD_TIMEOUT_S
            )
            return PeerResponse(status, messages.decode_value(answer))
        except (NoAnswerError, MalformedMessageError) as exc:
            return PeerResponse(HTTPStatus.SERVICE_UNAVAILABLE, encode_error(str(exc)))
