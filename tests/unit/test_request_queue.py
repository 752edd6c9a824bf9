"""Admission of requests: one for each pass of the event loop, by class, with a maximum wait."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest

from peathall.http import request_queue
from peathall.http.request_queue import RequestClass, RequestQueue

HEARTBEAT, WRITE, QUERY = RequestClass


def play(test: Callable[[RequestQueue], Awaitable[None]]) -> None:
    async def run() -> None:
        await asyncio.wait_for(test(RequestQueue()), 5.0)

    asyncio.run(run())


async def order_of_admission(queue: RequestQueue, arriving: list[RequestClass]) -> list[int]:
    """The numbers of the requests, which arrive at once, in the order of their admission."""
    admitted: list[int] = []

    async def ask(number: int, request_class: RequestClass) -> None:
        if await queue.admit(request_class):
            admitted.append(number)

    await asyncio.gather(*(ask(number, kind) for number, kind in enumerate(arriving)))
    return admitted


def test_a_lone_request_is_admitted_without_a_wait() -> None:
    async def test(queue: RequestQueue) -> None:
        admission = queue.admit(QUERY)
        with pytest.raises(StopIteration) as ended:
            admission.send(None)  # type: ignore[attr-defined]
        assert ended.value.value is True

    play(test)


def test_one_request_is_admitted_for_each_pass_of_the_event_loop() -> None:
    async def test(queue: RequestQueue) -> None:
        asked = [asyncio.ensure_future(queue.admit(QUERY)) for _ in range(5)]
        counts = []
        for _ in range(10):
            await asyncio.sleep(0)
            counts.append(sum(request.done() for request in asked))
        assert counts[0] == 1
        assert all(later - earlier <= 1 for earlier, later in itertools.pairwise(counts))
        assert counts[-1] == 5

    play(test)


def test_heartbeats_have_every_second_slot_and_no_class_starves() -> None:
    async def test(queue: RequestQueue) -> None:
        arriving = [QUERY, QUERY, QUERY, WRITE, WRITE, *[HEARTBEAT] * 6]
        # The first finds the queue empty; 1 and 2 are queries, 3 and 4 writes, the rest heartbeats.
        assert await order_of_admission(queue, arriving) == [0, 5, 3, 6, 1, 7, 4, 8, 2, 9, 10]

    play(test)


def test_a_request_that_waited_too_long_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(request_queue.MAX_WAIT_S, QUERY, -1.0)

    async def test(queue: RequestQueue) -> None:
        asked = (queue.admit(kind) for kind in (QUERY, QUERY, HEARTBEAT))
        assert await asyncio.gather(*asked) == [True, False, True]

    play(test)


def test_a_cancelled_request_takes_no_slot() -> None:
    async def test(queue: RequestQueue) -> None:
        asked = [asyncio.ensure_future(queue.admit(WRITE)) for _ in range(3)]
        await asyncio.sleep(0)
        asked[1].cancel()
        assert await asked[0]
        assert await asked[2]
        assert asked[1].cancelled()
        assert not any(queue.queues)

    play(test)
