"""Dispatch of requests at the address for users and workers, by path and method."""

from __future__ import annotations

from http import HTTPStatus

from peathall.controller.health import ControllerHealth
from peathall.controller.user_routes import UserRoutes
from peathall.controller.worker_routes import WorkerRoutes
from peathall.http.message import Request, Response
from peathall.peers.messages import CancelRequest, QueryRequest
from peathall.protocol import codec
from peathall.protocol.errors import encode_error
from peathall.protocol.heartbeats import HEARTBEAT_PATH
from peathall.protocol.jobs import JOB_PATH, SUBMISSION_PATH

HEALTH_PATH = "/healthz"


class PublicRoutes:
    """Passes each request of a user, a worker or a health check to its handler."""

    def __init__(self, users: UserRoutes, workers: WorkerRoutes, health: ControllerHealth) -> None:
        self._users = users
        self._workers = workers
        self._health = health

    async def serve(self, request: Request) -> Response:
        """The response to a request."""
        path, method = request.path, request.method
        if path == HEARTBEAT_PATH:
            return await self._workers.heartbeat(request) if method == "POST" else _not_allowed()
        if path == HEALTH_PATH:
            return self._health.response() if method == "GET" else _not_allowed()
        if path == SUBMISSION_PATH:
            return await self._users.submit(request) if method == "POST" else _not_allowed()
        match = JOB_PATH.match(path)
        if match is None:
            return codec.cbor_response(HTTPStatus.NOT_FOUND, encode_error("no such path"))
        job_id, cancels = match.groups()
        if method != ("POST" if cancels else "GET"):
            return _not_allowed()
        return await self._users.serve_job(
            CancelRequest(job_id) if cancels else QueryRequest(job_id)
        )


def _not_allowed() -> Response:
    return Response(HTTPStatus.METHOD_NOT_ALLOWED)
