"""Requests to reserve capacity for jobs of other cells; the next scheduling round answers them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from peathall.placement.job_views import JobViews
from peathall.placement.planner import Round
from peathall.placement.reservations import Reservation, Reservations
from peathall.protocol.jobs import JobSpec


class CapacityRequest(Struct, frozen=True):
    """A request to reserve capacity that the next round leaves free, for a job of another cell."""

    spec: JobSpec
    until: float  # monotonic time at which the reservation expires
    granted: asyncio.Future[bool]


class CapacityRequests:
    """The requests that no round has answered yet, and their answers."""

    def __init__(self, reservations: Reservations, request_round: Callable[[], None]) -> None:
        self._reservations = reservations
        self._request_round = request_round
        self._requests: list[CapacityRequest] = []

    def __bool__(self) -> bool:
        return bool(self._requests)

    async def reserve(self, spec: JobSpec, until: float) -> bool:
        """Reserve capacity for all tasks of the job until the monotonic time `until`. Returns False
        if the next round leaves too little capacity."""
        request = CapacityRequest(spec, until, asyncio.get_running_loop().create_future())
        self._requests.append(request)
        self._request_round()
        return await request.granted

    def answer(self, current: Round) -> None:
        """Answer all requests, reserving capacity that the round has left free."""
        requests, self._requests = self._requests, []
        for request in requests:
            assignments = current.reserve(JobViews.other_cells_view(request.spec))
            tasks = iter(range(request.spec.tasks))
            for assignment in assignments:
                for _ in range(assignment.count):
                    self._reservations.add(
                        Reservation(
                            request.spec, next(tasks), assignment.machine, request.until, True
                        )
                    )
            if not request.granted.done():
                request.granted.set_result(bool(assignments))
