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
    QUERY = 2  # a question for the status of a job


MAX_WAIT_S = {
    RequestClass.HEARTBEAT: constants.HEARTBEAT_QUEUE_S,
    RequestClass.WRITE: constants.WRITE_QUEUE_S,
    RequestClass.QUERY: constants.QUERY_QUEUE_S,
}

# Heartbeats get every second slot; an empty class leaves its slot to the first that is not empty.
SLOT_CYCLE = (
    RequestClass.HEARTBEAT,
    RequestClass.WRITE,
    RequestClass.HEARTBEAT,
    RequestClass.QUERY,
)


class QueuedRequest(Struct):
    """A request that waits for its admission."""

    admission: asyncio.Future[bool]
    deadline: float  # loop time from which its sender does not wait any more


class RequestQueue:
    """Admits one request for each pass of the event loop while any are queued, so that whatever
    else is due, above all the renewal of the leader lease, runs between two of them and not behind
    all of them. A request that arrives while none is queued is admitted without a wait."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.queues: list[deque[QueuedRequest]] = [deque() for _ in RequestClass]
        self.slot_taken = False  # a request was admitted in this pass of the event loop
        self.slots = cycle(SLOT_CYCLE)

    async def admit(self, request_class: RequestClass) -> bool:
        """Wait until the request may be handled. False if its maximum wait has passed: its sender
        has given up, and handling it would only delay others."""
        if not self.slot_taken:
            self.slot_taken = True
            self.loop.call_soon(self._admit_next)
            return True
        admission: asyncio.Future[bool] = self.loop.create_future()
        deadline = self.loop.time() + MAX_WAIT_S[request_class]
        self.queues[request_class].append(QueuedRequest(admission, deadline))
        return await admission

    def _admit_next(self) -> None:
        """Once per pass of the event loop, from the first admission until all queues are empty."""
        self._drop_expired()
        self.slot_taken = any(self.queues)
        if self.slot_taken:
            queue = self.queues[next(self.slots)] or next(filter(None, self.queues))
            queue.popleft().admission.set_result(True)
            self.loop.call_soon(self._admit_next)

    def _drop_expired(self) -> None:
        """Drop from the heads of the queues what has waited too long, or whose handler was
        cancelled."""
        now = self.loop.time()
        for queue in self.queues:
            while queue and (queue[0].deadline < now or queue[0].admission.done()):
                admission = queue.popleft().admission
                if not admission.done():
                    admission.set_result(False)
