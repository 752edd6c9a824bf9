"""Liveness probes of machines with replicas that missed a heartbeat."""

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
from tests.unit.test_workers import make_heartbeat, new_autoscaler, new_workers

LAST_HEARTBEAT_S = 6.0  # time of the latest heartbeat of the silent machine


class FakeHttpClient:
    """Stands in for HttpClient: it answers all requests or none, and notes the addresses."""

    answers = False
    asked: list[str]

    def __init__(self, addr: str, max_idle: int, may_send: Callable[[], bool]) -> None:
        self.addr = addr

    async def request(
        self, method: str, path: str, raw: bytes, timeout: float
    ) -> tuple[int, bytes]:
        assert (method, path) == ("GET", "/inspect")
        FakeHttpClient.asked.append(self.addr)
        await asyncio.sleep(0)
        if not FakeHttpClient.answers:
            raise NoAnswerError("no answer", sent=True)
        return 200, b""


@pytest.fixture(autouse=True)
def fake_http_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("peathall.workers.probes.HttpClient", FakeHttpClient)
    FakeHttpClient.answers, FakeHttpClient.asked = False, []


def run_test(test: Callable[[Workers, Autoscaler, Machine], Coroutine[Any, Any, None]]) -> None:
    """Run the test with ten machines, of which m-1 runs a replica and is silent after 6 s."""

    async def run() -> None:
        workers = new_workers(0.0)
        for number in range(1, 11):
            for seq, at in ((1, 1.0), (2, LAST_HEARTBEAT_S)):
                workers.handle_heartbeat(
                    make_heartbeat(1, seq, workers.lowest_fencing_token, machine=f"m-{number}"), at
                )
            workers.cluster.machines[f"m-{number}"].addr = f"10.1.0.{number}:9000"
        silent = workers.cluster.machines["m-1"]
        job = workers.cluster.jobs["j-1"] = Job(spec(daemon=True))
        workers.cluster.allocate(job, 0, workers.lowest_fencing_token + 1, silent, "round/1")
        workers.tick(LAST_HEARTBEAT_S)
        workers.health.active_since = 0.0  # the leader has handled heartbeats without a gap
        await test(workers, new_autoscaler(workers, None), silent)

    asyncio.run(run())


async def pass_time(workers: Workers, until: float, others_heard: int = 9) -> None:
    """Tick each second; `others_heard` of the other machines send heartbeats."""
    for now in range(int(workers.health.last_tick) + 1, int(until) + 1):
        for number in range(2, 2 + others_heard):
            workers.cluster.machines[f"m-{number}"].last_heard = float(now)
        workers.tick(float(now))
        for _ in range(9):
            await asyncio.sleep(0)


def names_to_delete(autoscaler: Autoscaler, now: float) -> list[str]:
    return [machine.name for machine in autoscaler.scale_in.machines_to_delete(now)]


def test_a_machine_that_answers_no_probe_is_deleted_sooner_than_its_silence_alone_allows() -> None:
    """Regression: a replica was lost for 14 s before its silent machine was deleted."""

    async def test(workers: Workers, autoscaler: Autoscaler, silent: Machine) -> None:
        await pass_time(workers, LAST_HEARTBEAT_S + 6.0)
        assert FakeHttpClient.asked == []  # the next heartbeat is not overdue yet
        await pass_time(workers, LAST_HEARTBEAT_S + 8.0)
        assert FakeHttpClient.asked == [silent.addr, silent.addr]
        assert names_to_delete(autoscaler, LAST_HEARTBEAT_S + 8.0) == ["m-1"]
        assert workers.health.lost_after_s() > 8.0

    run_test(test)


def test_a_machine_that_answers_probes_is_deleted_only_after_long_silence() -> None:
    async def test(workers: Workers, autoscaler: Autoscaler, silent: Machine) -> None:
        FakeHttpClient.answers = True
        await pass_time(workers, LAST_HEARTBEAT_S + 12.0)
        assert FakeHttpClient.asked and names_to_delete(autoscaler, LAST_HEARTBEAT_S + 12.0) == []
        later = LAST_HEARTBEAT_S + workers.health.lost_after_s() + 1.0
        await pass_time(workers, later)
        # The machine exists, but its heartbeats reach no controller.
        assert names_to_delete(autoscaler, later) == ["m-1"]

    run_test(test)


def test_a_heartbeat_resets_the_failed_probes() -> None:
    async def test(workers: Workers, autoscaler: Autoscaler, silent: Machine) -> None:
        await pass_time(workers, LAST_HEARTBEAT_S + 8.0)
        silent.last_heard = LAST_HEARTBEAT_S + 8.5
        assert names_to_delete(autoscaler, LAST_HEARTBEAT_S + 9.0) == []
        workers.tick(LAST_HEARTBEAT_S + 9.0)
        assert silent.failed_probes == 0

    run_test(test)


def test_no_machine_is_probed_or_deleted_while_many_are_silent() -> None:
    """Nor is a machine deleted that sends heartbeats to another controller: in both cases this
    controller may be partitioned."""

    async def test(workers: Workers, autoscaler: Autoscaler, silent: Machine) -> None:
        await pass_time(workers, LAST_HEARTBEAT_S + 9.0, others_heard=5)
        assert FakeHttpClient.asked == []
        silent.failed_probes = 2
        assert names_to_delete(autoscaler, LAST_HEARTBEAT_S + 9.0) == []
        await pass_time(workers, LAST_HEARTBEAT_S + 9.0)
        workers.health.heartbeats_elsewhere = lambda: {"m-1": (1, 99)}
        assert names_to_delete(autoscaler, LAST_HEARTBEAT_S + 9.0) == []

    run_test(test)


def test_only_machines_with_replicas_are_probed() -> None:
    """For other work, a needless deletion costs more than an earlier one gains."""

    async def test(workers: Workers, autoscaler: Autoscaler, silent: Machine) -> None:
        workers.cluster.release(next(iter(silent.attempts.values())), LAST_HEARTBEAT_S)
        await pass_time(workers, LAST_HEARTBEAT_S + 9.0)
        assert FakeHttpClient.asked == []
        assert names_to_delete(autoscaler, LAST_HEARTBEAT_S + 9.0) == []

    run_test(test)
