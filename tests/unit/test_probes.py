"""Machines with replicas that miss a report are asked whether they are there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from peathall.autoscaling.autoscaler import Autoscaler
from peathall.cluster.job import Job
from peathall.cluster.machine import Machine
from peathall.http.client import NoAnswerError
from peathall.workers.workers import Workers
from tests.unit.test_planner import spec
from tests.unit.test_workers import new_fleet, new_workers, report

LAST = 6.0  # s; when the silent machine was last heard


class Line:
    """Stands in for HttpClient: answers, or hangs until it is given up."""

    answers = False
    asked: list[str]

    def __init__(self, addr: str, keep: int, may_send: Callable[[], bool]) -> None:
        self.addr = addr

    async def request(
        self, method: str, path: str, raw: bytes, timeout: float
    ) -> tuple[int, bytes]:
        assert (method, path) == ("GET", "/inspect")
        Line.asked.append(self.addr)
        await asyncio.sleep(0)
        if not Line.answers:
            raise NoAnswerError("no answer", sent=True)
        return 200, b""


@pytest.fixture(autouse=True)
def line(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("peathall.workers.probes.HttpClient", Line)
    Line.answers, Line.asked = False, []


def play(test: Callable[[Workers, Autoscaler, Machine], Coroutine[Any, Any, None]]) -> None:
    """Ten machines; the first one has a replica and is silent from 6 s on."""

    async def run() -> None:
        workers = new_workers(0.0)
        for number in range(1, 11):
            for seq, at in ((1, 1.0), (2, LAST)):
                workers.handle_heartbeat(report(1, seq, workers.base, machine=f"m-{number}"), at)
            workers.cluster.machines[f"m-{number}"].addr = f"10.1.0.{number}:9000"
        silent = workers.cluster.machines["m-1"]
        job = workers.cluster.jobs["j-1"] = Job(spec(daemon=True))
        workers.cluster.allocate(job, 0, workers.base + 1, silent, "round/1")
        workers.tick(LAST)
        workers.health.active_since = 0.0  # the leader has attended all the time
        await test(workers, new_fleet(workers, None), silent)

    asyncio.run(run())


async def pass_time(workers: Workers, until: float, others_heard: int = 9) -> None:
    """Second by second; all others but the silent one report, or only so many of them."""
    for now in range(int(workers.health.last_tick) + 1, int(until) + 1):
        for number in range(2, 2 + others_heard):
            workers.cluster.machines[f"m-{number}"].last_heard = float(now)
        workers.tick(float(now))
        for _ in range(9):
            await asyncio.sleep(0)


def deleted(fleet: Autoscaler, now: float) -> list[str]:
    return [machine.name for machine in fleet._to_delete(now)]


def test_a_machine_that_answers_no_probe_is_deleted_soon() -> None:
    """A replica was missed for 14 s before its silent machine was deleted."""

    async def test(workers: Workers, fleet: Autoscaler, silent: Machine) -> None:
        await pass_time(workers, LAST + 6.0)
        assert Line.asked == []  # its report may still come
        await pass_time(workers, LAST + 8.0)
        assert Line.asked == [silent.addr, silent.addr]
        assert deleted(fleet, LAST + 8.0) == ["m-1"]
        assert workers.health.lost_s() > 8.0

    play(test)


def test_a_machine_that_answers_is_waited_for() -> None:
    async def test(workers: Workers, fleet: Autoscaler, silent: Machine) -> None:
        Line.answers = True
        await pass_time(workers, LAST + 12.0)
        assert Line.asked and deleted(fleet, LAST + 12.0) == []
        later = LAST + workers.health.lost_s() + 1.0
        await pass_time(workers, later)
        assert deleted(fleet, later) == ["m-1"]  # alive, but it reaches no controller

    play(test)


def test_a_report_ends_the_suspicion() -> None:
    async def test(workers: Workers, fleet: Autoscaler, silent: Machine) -> None:
        await pass_time(workers, LAST + 8.0)
        silent.last_heard = LAST + 8.5
        assert deleted(fleet, LAST + 9.0) == []
        workers.tick(LAST + 9.0)
        assert silent.failed_probes == 0

    play(test)


def test_silence_of_many_is_not_their_fault() -> None:
    """Nor is one that reports to another controller: the trouble lies between it and us."""

    async def test(workers: Workers, fleet: Autoscaler, silent: Machine) -> None:
        await pass_time(workers, LAST + 9.0, others_heard=5)
        assert Line.asked == []
        silent.failed_probes = 2
        assert deleted(fleet, LAST + 9.0) == []
        await pass_time(workers, LAST + 9.0)
        workers.health.elsewhere = lambda: {"m-1": (1, 99)}
        assert deleted(fleet, LAST + 9.0) == []

    play(test)


def test_only_machines_with_replicas_are_asked() -> None:
    """Other work loses more by a deletion too many than it wins by one sooner."""

    async def test(workers: Workers, fleet: Autoscaler, silent: Machine) -> None:
        workers.cluster.release(next(iter(silent.attempts.values())), LAST)
        await pass_time(workers, LAST + 9.0)
        assert Line.asked == []
        assert deleted(fleet, LAST + 9.0) == []

    play(test)
