"""Jobs must not wait for long beside a machine that failed them and is well again."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Any

import pytest

from tests.sim.days import draw_job, virtual_loop
from tests.sim.sites import controller_settings
from tests.sim.world import World

ZONE = "b"  # has one machine, and the cloud has no more
FAILS_AT_S = 40.0  # the machine is up by then
FAILING_S = 9.0
DAY_S = 190.0


def job_in_zone(number: int, **changes: Any) -> dict[str, Any]:
    """A job of one short task that must run in the zone."""
    return draw_job(random.Random(1), number) | {
        "shape": "sweep", "desk": "red", "precedence": "standard", "parcels": 1, "vcpus": 1.0,
        "cards": 0.0, "ram_gb": 2.0, "builds": ["big"], "ward": ZONE, "together": False,
        "scatter": False, "standby": False, "image_gb": 0.5, "reckon_s": 5.0, "run_s": 5.0,
        "mistaken": False,
    } | changes  # fmt: skip


def service(number: int) -> dict[str, Any]:
    """A service with one replica in the zone, which never ends by itself."""
    return job_in_zone(number, shape="daemon", precedence="critical")


async def play(world: World, jobs: list[dict[str, Any]]) -> None:
    """A day on which the zone's only machine fails what is started on it for some seconds."""
    world.cloud.capacity = 1
    await world.begin()
    world.submit(service(1), "10.9.0.1")
    for number, job in enumerate(jobs):
        world.submit(job, f"10.9.1.{number + 1}", wait_s=FAILS_AT_S)
    await asyncio.sleep(FAILS_AT_S)
    (worker,) = world.workers.values()
    assert worker.tasks, "the service does not run"
    worker.unhealthy = True
    await asyncio.sleep(FAILING_S)
    worker.unhealthy = False
    while world.loop.now < DAY_S:
        world.check_waits()
        await asyncio.sleep(1.0)


@pytest.mark.parametrize("seed", [600, 601])
def test_jobs_get_a_machine_again_that_was_drained_but_could_not_be_emptied(seed: int) -> None:
    """The machine fails three jobs, which drains it. The replica there has no other place, so the
    machine is never empty and never replaced."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual_loop(seed) as loop:
        world = World(loop, seed, [controller_settings(i) for i in range(3)])
        loop.run_until_complete(play(world, [job_in_zone(number) for number in (2, 3, 4)]))
    assert world.broken == []
    assert {"j-000002/0", "j-000003/0", "j-000004/0"} <= world.results


@pytest.mark.parametrize("seed", [600, 601])
def test_a_job_gets_the_only_machine_again_on_which_it_failed_once(seed: int) -> None:
    """The case of review/6: no other job completes a task on the machine, so nothing but time can
    end the avoidance."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual_loop(seed) as loop:
        world = World(loop, seed, [controller_settings(i) for i in range(3)])
        loop.run_until_complete(play(world, [job_in_zone(2)]))
    assert world.broken == []
    assert "j-000002/0" in world.results
