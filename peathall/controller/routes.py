"""Paths and methods of the address for users and workers."""

from __future__ import annotations

import re
from http import HTTPStatus

from peathall.controller.health import ControllerHealth
from peathall.controller.user_routes import UserRoutes
from peathall.controller.worker_routes import WorkerRoutes
from peathall.http.message import Request, Response
from peathall.peers.messages import CancelRequest, QueryRequest
from peathall.protocol import codec

JOB_PATH = re.compile(r"/work/([^/]+)(/withdraw)?\Z")


class PublicRoutes:
    """Finds the handler of a request of a user, a worker or a health check."""

    def __init__(self, users: UserRoutes, workers: WorkerRoutes, health: ControllerHealth) -> None:
        self._users = users
        self._workers = workers
        self._health = health

    async def serve(self, request: Request) -> Response:
        """The response to a request."""
        path, method = request.path, request.method
        if path == "/checkin":
            return await self._workers.heartbeat(request) if method == "POST" else _not_allowed()
        if path == "/healthz":
            return self._health.response() if method == "GET" else _not_allowed()
        if path == "/work":
            return await self._users.submit(request) if method == "POST" else _not_allowed()
        match = JOB_PATH.match(path)
        if match is None:
            return codec.cbor_response(HTTPStatus.NOT_FOUND, {"error": "no such path"})
        job_id, cancels = match.groups()
        if method != ("POST" if cancels else "GET"):
            return _not_allowed()
        return await self._users.serve_job(
            CancelRequest(job_id) if cancels else QueryRequest(job_id)
        )


def _not_allowed() -> Response:
    return Response(HTTPStatus.METHOD_NOT_ALLOWED)
