"""Late copies of start commands that were executed and answered before.

The worker and a controller come back within a second, and copies of everything that workers have
executed so far arrive all the time, before and after. No copy may start anything.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import pytest

from peathall.operator_config.settings import OperatorSettings
from peathall.workers.delivery import CommandDelivery
from peathall.workers.exits import ExitedAttempt, ExitedAttempts
from tests.sim.days import draw_job, virtual_loop
from tests.sim.late_copies import LateCopies
from tests.sim.net import Host
from tests.sim.sites import controller_settings
from tests.sim.test_combined_failures import draw_daemon
from tests.sim.users import submission
from tests.sim.worker import Worker
from tests.sim.world import World

SERVICE, ARRAY = "j-000001", "j-000002"  # run on until something ends them
SHORT, MISTAKEN = "j-000003", "j-000004"  # the tasks of one end at once, those of the other fail
BACK_S = 0.9  # at most: worker and controller are back within a second
DAY_S = 90.0  # ends several leases after the last change
IDLE_HOLD_S = 300.0  # machines stay up without tasks
SEEDS = (700, 701)

Fate = Callable[[World, Worker], Awaitable[None]]


async def stay(world: World, worker: Worker) -> None:
    """The tasks go on running where they are."""


async def move(world: World, worker: Worker) -> None:
    """The replica moves to another machine, and the array's task as well, after a failure."""
    controller = world.controllers[world.leader() or 0][1]
    machine = controller.leader.cluster.machines[worker.name]
    controller.leader.workers.quarantine(machine, "it is unhealthy")
    for task in list(worker.tasks.values()):
        if task.job_id == ARRAY:
            worker.finish(task, "error")


async def cancel(world: World, worker: Worker) -> None:
    """Both jobs are cancelled, and their users are told so."""
    for job_id in (SERVICE, ARRAY):
        while (await world.ask("POST", f"/work/{job_id}/withdraw", {}))[0] != 200:
            await asyncio.sleep(0.1)
        world.cancelled[job_id] = world.loop.now


async def end(world: World, worker: Worker) -> None:
    """The array's task completes. The replica fails, and starts again, perhaps elsewhere."""
    for task in list(worker.tasks.values()):
        if task.job_id == ARRAY:
            worker.complete(task)
        else:
            worker.finish(task, "error")


def begin_session(worker: Worker) -> None:
    """The worker's lease expires: it kills all its tasks and forgets them."""
    worker.lease_started_at = worker.loop.now - 2 * worker.network.timing.lease_s


async def submit(world: World, job: dict[str, Any]) -> None:
    world.jobs[job["id"]] = job
    while (await world.ask("POST", "/work", submission(job)))[0] not in (200, 201):
        await asyncio.sleep(0.5)


def array_job(job_id: str, **changes: Any) -> dict[str, Any]:
    return draw_job(random.Random(1), 2) | {
        "id": job_id, "shape": "sweep", "desk": "red", "parcels": 1, "vcpus": 0.5, "cards": 0.0,
        "ram_gb": 1.0, "builds": None, "ward": None, "together": False, "scatter": False,
        "standby": True, "image_gb": 0.0, "tally_s": 0.0, "run_s": 500.0, "mistaken": False,
    } | changes  # fmt: skip


async def play(
    world: World, copies: LateCopies, by_response: bool, new_session: bool, fate: Fate
) -> None:
    rng = random.Random(world.rng.random())
    await world.begin()
    late = asyncio.get_running_loop().create_task(copies.deliver_for(DAY_S))
    await asyncio.sleep(5.0)
    service = draw_daemon(rng, 1) | {"id": SERVICE, "parcels": 1, "scatter": False}
    short = array_job(SHORT, parcels=4, run_s=0.05)
    for job in (service, array_job(ARRAY), short, array_job(MISTAKEN, mistaken=True)):
        await submit(world, job)
    for _ in range(600):
        if all(copies.starts_of(job_id, by_response) for job_id in (SERVICE, ARRAY)):
            break
        await asyncio.sleep(0.1)
    assert all(copies.starts_of(job_id, by_response) for job_id in (SERVICE, ARRAY))
    await asyncio.sleep(rng.uniform(0.0, 4.0))
    for worker in {message.worker for message in copies.executed}:
        await fate(world, worker)
    await asyncio.sleep(rng.choice([0.0, 0.3, 1.0, 5.0]) * rng.random())
    leader = world.leader()
    world.crash_controller(0 if leader is None else leader, BACK_S * rng.random())
    for worker in {message.worker for message in copies.executed}:
        if new_session:
            begin_session(worker)
        else:
            worker.host.frozen_until = world.loop.now + BACK_S * rng.random()
    await late


def run_case(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
    by_response: bool,
    new_session: bool,
    fate: Fate,
) -> tuple[World, LateCopies]:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    copies = LateCopies(monkeypatch)
    if by_response:
        monkeypatch.setattr(CommandDelivery, "push", lambda *_: None)
    with virtual_loop(seed) as loop:
        world = World(loop, seed, [controller_settings(i) for i in range(3)])
        operator = OperatorSettings(idle_hold_s=IDLE_HOLD_S)
        world.controller_hosts.operators = dict.fromkeys(range(3), operator)
        context = world.context(Host("10.9.0.1"))
        scenario = play(world, copies, by_response, new_session, fate)
        loop.run_until_complete(loop.create_task(scenario, context=context))
    return world, copies


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("fate", [stay, move, cancel, end])
@pytest.mark.parametrize("new_session", [False, True], ids=["same-session", "new-session"])
@pytest.mark.parametrize("by_response", [False, True], ids=["commands", "response"])
def test_a_late_copy_of_an_executed_start_starts_nothing(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
    by_response: bool,
    new_session: bool,
    fate: Fate,
) -> None:
    """Guards against a task on two machines, and a cancelled task that runs again."""
    world, copies = run_case(seed, monkeypatch, by_response, new_session, fate)
    assert copies.copies > 500
    assert copies.started_by_copy == []
    assert world.broken == []


@pytest.mark.parametrize("by_response", [False, True], ids=["commands", "response"])
def test_the_copies_find_a_leader_that_lets_attempts_be_forgotten_too_early(
    monkeypatch: pytest.MonkeyPatch, by_response: bool
) -> None:
    """With a planted fault: an attempt may be forgotten before its worker has seen a higher token
    than that of its start command."""

    def forgettable(
        exits: ExitedAttempts, machine: str, fencing_token: int
    ) -> Iterable[ExitedAttempt]:
        return [exited for exited in exits.of(machine).values() if exits._end_is_stored(exited)]

    monkeypatch.setattr(ExitedAttempts, "forgettable", forgettable)
    _, copies = run_case(SEEDS[0], monkeypatch, by_response, new_session=False, fate=stay)
    assert copies.started_by_copy
