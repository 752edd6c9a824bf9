"""Admission of requests: one per pass of the event loop, in turn by class, with a maximum wait."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest

from peathall.http import request_queue
from peathall.http.request_queue import RequestClass, RequestQueue

HEARTBEAT, WRITE, QUERY = RequestClass


def run_with_queue(test: Callable[[RequestQueue], Awaitable[None]]) -> None:
    async def run() -> None:
        await asyncio.wait_for(test(RequestQueue()), 5.0)

    asyncio.run(run())


async def order_of_admission(queue: RequestQueue, arrivals: list[RequestClass]) -> list[int]:
    """Admit requests of these classes, which arrive at once; returns their indexes in the order of
    admission."""
    admitted: list[int] = []

    async def send(number: int, request_class: RequestClass) -> None:
        if await queue.admit(request_class):
            admitted.append(number)

    await asyncio.gather(*(send(number, arrival) for number, arrival in enumerate(arrivals)))
    return admitted


def test_a_lone_request_is_admitted_without_a_wait() -> None:
    async def test(queue: RequestQueue) -> None:
        admission = queue.admit(QUERY)
        with pytest.raises(StopIteration) as stopped:
            admission.send(None)  # type: ignore[attr-defined]
        assert stopped.value.value is True

    run_with_queue(test)


def test_one_request_is_admitted_for_each_pass_of_the_event_loop() -> None:
    async def test(queue: RequestQueue) -> None:
        requests = [asyncio.ensure_future(queue.admit(QUERY)) for _ in range(5)]
        counts = []
        for _ in range(10):
            await asyncio.sleep(0)
            counts.append(sum(request.done() for request in requests))
        assert counts[0] == 1
        assert all(later - earlier <= 1 for earlier, later in itertools.pairwise(counts))
        assert counts[-1] == 5

    run_with_queue(test)


def test_heartbeats_have_every_second_slot_and_no_class_starves() -> None:
    async def test(queue: RequestQueue) -> None:
        arrivals = [QUERY, QUERY, QUERY, WRITE, WRITE, *[HEARTBEAT] * 6]
        # Request 0 is admitted at once; 1 and 2 are queries, 3 and 4 writes, the others heartbeats.
        assert await order_of_admission(queue, arrivals) == [0, 5, 3, 6, 1, 7, 4, 8, 2, 9, 10]

    run_with_queue(test)


def test_a_request_that_waited_too_long_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(request_queue.MAX_WAIT_S, QUERY, -1.0)

    async def test(queue: RequestQueue) -> None:
        requests = (queue.admit(request_class) for request_class in (QUERY, QUERY, HEARTBEAT))
        assert await asyncio.gather(*requests) == [True, False, True]

    run_with_queue(test)


def test_a_cancelled_request_takes_no_slot() -> None:
    async def test(queue: RequestQueue) -> None:
        requests = [asyncio.ensure_future(queue.admit(WRITE)) for _ in range(3)]
        await asyncio.sleep(0)
        requests[1].cancel()
        assert await requests[0]
        assert await requests[2]
        assert requests[1].cancelled()
        assert not any(queue.queues)

    run_with_queue(test)
