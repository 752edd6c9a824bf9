"""Routing of users' requests to the leader, here or elsewhere, or to the follower service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from http import HTTPStatus

from peathall import constants
from peathall.controller.leader_directory import LeaderDirectory
from peathall.http.client import NoAnswerError
from peathall.http.request_queue import RequestClass, RequestQueue
from peathall.jobs.follower import FollowerService
from peathall.jobs.responses import RETRY_LATER, JobResponse
from peathall.leader.term import Leader
from peathall.peers.client import Peers
from peathall.peers.messages import AcceptRequest, JobRequest, QueryRequest
from peathall.store.errors import StoreError

log = logging.getLogger("peathall.controller")


class JobRequestRouter:
    """Routes the requests of users about jobs."""

    def __init__(
        self,
        leaders: LeaderDirectory,
        peers: Peers,
        follower_service: FollowerService,
        queue: RequestQueue,
    ) -> None:
        self._leaders = leaders
        self._peers = peers
        self._follower_service = follower_service
        self._queue = queue

    async def route(self, request: JobRequest) -> JobResponse:
        """Answer a request that a user has sent to this controller."""
        leader = self._leaders.local
        if leader is not None:
            if leader.is_active():
                return await _ask_leader(leader, request)
        else:
            leader_name = self._leaders.remote_name()
            if leader_name is not None:
                response = await self._forward(leader_name, request)
                if response is not None:
                    return response
        return await self._ask_follower(request)

    async def serve_forwarded(self, request: JobRequest) -> JobResponse:
        """Answer a request forwarded by another controller that considers this one the leader.

        The request is never forwarded again: RETRY_LATER if this controller does not lead or is
        overloaded.
        """
        request_class = (
            RequestClass.QUERY if isinstance(request, QueryRequest) else RequestClass.WRITE
        )
        if self._leaders.local is None or not await self._queue.admit(request_class):
            return RETRY_LATER
        leader = self._leaders.local  # the term may have ended while the request was queued
        return RETRY_LATER if leader is None else await _ask_leader(leader, request)

    async def _forward(self, leader_name: str, request: JobRequest) -> JobResponse | None:
        """The leader's response; None if it did not respond, or responded with 503."""
        accepts = isinstance(request, AcceptRequest)
        timeout = constants.FORWARD_ACCEPT_TIMEOUT_S if accepts else constants.FORWARD_TIMEOUT_S
        try:
            status, value = await self._peers.forward(
                leader_name, request, timeout, constants.ACCEPT_TIMEOUT_S
            )
        except NoAnswerError as exc:
            log.debug(
                "job request: no response from leader %s, handled by this follower: %s",
                leader_name,
                exc,
            )
            return None
        return None if status == HTTPStatus.SERVICE_UNAVAILABLE else JobResponse(status, value)

    async def _ask_follower(self, request: JobRequest) -> JobResponse:
        response: Awaitable[JobResponse]
        if isinstance(request, AcceptRequest):
            response = self._follower_service.accept(request.spec)
        elif isinstance(request, QueryRequest):
            response = self._follower_service.query(request.job_id)
        else:
            return RETRY_LATER  # only the leader can cancel a job, since it keeps the job in memory
        try:
            async with asyncio.timeout(constants.FOLLOWER_TIMEOUT_S):
                return await response
        except (StoreError, TimeoutError) as exc:
            log.debug("job request: state service failed or timed out, user told to retry: %s", exc)
            return RETRY_LATER


def _ask_leader(leader: Leader, request: JobRequest) -> Awaitable[JobResponse]:
    # Not a match statement, which takes several times as long; this runs for every request.
    if isinstance(request, AcceptRequest):
        return leader.accept(request.spec)
    if isinstance(request, QueryRequest):
        return leader.query(request.job_id)
    return leader.cancel(request.job_id)
