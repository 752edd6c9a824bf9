"""Handlers for users' requests: submission, query and cancellation of a job."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from peathall import constants
from peathall.controller.health import ControllerHealth
from peathall.controller.job_requests import JobRequestRouter
from peathall.http.message import Request, Response
from peathall.http.request_queue import RequestClass, RequestQueue
from peathall.jobs.responses import RETRY_LATER, JobResponse, malformed
from peathall.peers.messages import AcceptRequest, CancelRequest, QueryRequest
from peathall.protocol import codec
from peathall.protocol.errors import encode_error
from peathall.protocol.fields import JOB_ID
from peathall.protocol.jobs import JobSpec, decode_submission, spec_to_record

log = logging.getLogger("peathall.controller")

# Looked up once: in Python 3.11 each access to a member of an enum class takes some 0.4 us.
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
# Responses with these statuses have a Retry-After header: the user repeats the request later.
RETRY_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
)


class UserRoutes:
    """Admits and decodes the requests of users, and encodes the responses."""

    def __init__(
        self,
        router: JobRequestRouter,
        queue: RequestQueue,
        health: ControllerHealth,
        max_record_bytes: int,
        wall: Callable[[], float],
    ) -> None:
        self._router = router
        self._queue = queue
        self._health = health
        self._max_record_bytes = max_record_bytes  # of a job's record in the state service
        self._wall = wall  # wall-clock time, in seconds since the epoch

    async def submit(self, request: Request) -> Response:
        """Handle the submission of a job."""
        if not await self._queue.admit(RequestClass.WRITE):
            return self._respond(RETRY_LATER)
        raw: dict[str, Any] = {}
        try:
            raw = codec.decode_cbor_map(request.body)
            spec = self._decode_spec(raw)
        except codec.MalformedError as exc:
            return self._respond(await self._answer_malformed(raw.get("id"), str(exc)))
        return self._respond(await self._router.route(AcceptRequest(spec)))

    def _decode_spec(self, raw: dict[str, Any]) -> JobSpec:
        spec = decode_submission(raw, self._wall())
        if codec.json_size(spec_to_record(spec)) > self._max_record_bytes:
            raise codec.MalformedError("too large to be kept")
        return spec

    async def _answer_malformed(self, job_id: object, problem: str) -> JobResponse:
        """The response to a malformed submission: the job's status if its id is already known.

        A retry of a submission that was accepted gets the job's status even if it is malformed.
        """
        if isinstance(job_id, str) and JOB_ID.match(job_id):
            known = await self._router.route(QueryRequest(job_id))
            if known.status != HTTPStatus.NOT_FOUND:
                return known
        log.info("job submission rejected as malformed: %s", problem)
        return malformed(problem)

    async def serve_job(self, request: QueryRequest | CancelRequest) -> Response:
        """Handle a query or the cancellation of a job."""
        if not JOB_ID.match(request.job_id):
            return codec.cbor_response(HTTPStatus.NOT_FOUND, encode_error("no such job"))
        is_query = isinstance(request, QueryRequest)
        if not await self._queue.admit(RequestClass.QUERY if is_query else RequestClass.WRITE):
            return self._respond(RETRY_LATER)
        return self._respond(await self._router.route(request))

    def _respond(self, answer: JobResponse) -> Response:
        """Encode a response.

        The connection is closed after a 503 if this controller is isolated, so that the user's next
        connection may reach another controller that can serve.
        """
        response = user_response(answer)
        response.close = response.status == SERVICE_UNAVAILABLE and self._health.is_isolated()
        return response


def user_response(answer: JobResponse) -> Response:
    """Encode the response to a user as an HTTP response."""
    status, value = answer
    retry_after = constants.RETRY_AFTER_S if status in RETRY_STATUSES else None
    return codec.cbor_response(status, value if value is not None else {}, retry_after)
