"""Admission of requests under overload: weighted round robin over classes, with a maximum wait."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import IntEnum
from itertools import cycle

from msgspec import Struct

from peathall import constants


class RequestClass(IntEnum):
    """Classes of requests in order of precedence. Health checks and the pings of other controllers
    are not queued."""

    HEARTBEAT = 0  # without a response in time a worker's lease expires, and its tasks are lost
    WRITE = 1  # a submission or a cancellation
    QUERY = 2  # a query of a job's status


MAX_WAIT_S = {
    RequestClass.HEARTBEAT: constants.HEARTBEAT_QUEUE_TIMEOUT_S,
    RequestClass.WRITE: constants.WRITE_QUEUE_TIMEOUT_S,
    RequestClass.QUERY: constants.QUERY_QUEUE_TIMEOUT_S,
}

# Heartbeats get every second slot. The slot of an empty queue goes to the first non-empty queue.
SLOT_CYCLE = (
    RequestClass.HEARTBEAT,
    RequestClass.WRITE,
    RequestClass.HEARTBEAT,
    RequestClass.QUERY,
)


class QueuedRequest(Struct):
    """A request that waits for admission."""

    admission: asyncio.Future[bool]
    deadline: float  # loop time after which its sender no longer waits for a response


class RequestQueue:
    """Admits one request per iteration of the event loop, so that other due callbacks, above all
    the renewal of the leader lease, run between two requests instead of after all of them. A
    request is admitted at once if none is queued and none was admitted in this iteration."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.queues: list[deque[QueuedRequest]] = [deque() for _ in RequestClass]
        self.slot_taken = False  # a request was admitted in this iteration of the event loop
        self.slots = cycle(SLOT_CYCLE)

    async def admit(self, request_class: RequestClass) -> bool:
        """Wait until the request may be handled. False if its maximum wait has passed: its sender
        has timed out, and handling it would only delay others."""
        if not self.slot_taken:
            self.slot_taken = True
            self.loop.call_soon(self._admit_next)
            return True
        admission: asyncio.Future[bool] = self.loop.create_future()
        deadline = self.loop.time() + MAX_WAIT_S[request_class]
        self.queues[request_class].append(QueuedRequest(admission, deadline))
        return await admission

    def _admit_next(self) -> None:
        """Runs once per loop iteration, from the first admission until all queues are empty."""
        self._drop_expired()
        self.slot_taken = any(self.queues)
        if self.slot_taken:
            queue = self.queues[next(self.slots)] or next(filter(None, self.queues))
            queue.popleft().admission.set_result(True)
            self.loop.call_soon(self._admit_next)

    def _drop_expired(self) -> None:
        """Drop requests at the heads of the queues whose deadline has passed or whose handler was
        cancelled."""
        now = self.loop.time()
        for queue in self.queues:
            while queue and (queue[0].deadline < now or queue[0].admission.done()):
                admission = queue.popleft().admission
                if not admission.done():
                    admission.set_result(False)
