"""Arrays must not wait for long while machines that fit them are idle."""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from tests.sim.days import draw_job, virtual_loop
from tests.sim.sites import controller_settings
from tests.sim.world import World

MACHINES = 2  # of type big, and the cloud has no more
DAY_S = 200.0


@pytest.mark.parametrize("seed", [500, 502])
def test_an_array_does_not_wait_for_machines_that_are_kept_for_a_next_gang(seed: int) -> None:
    """Once a gang has ended, its machines are idle and a smaller array of its class fits. World.
    check_waits allows 90 s; the capacity for a next gang is kept for longer."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    gang = draw_job(random.Random(1), 1) | {
        "shape": "ensemble", "desk": "red", "parcels": MACHINES, "vcpus": 16.0, "cards": 0.0,
        "ram_gb": 4.0, "builds": ["big"], "ward": None, "together": False, "scatter": False,
        "standby": False, "image_gb": 1.0, "reckon_s": 30.0, "run_s": 30.0,
    }  # fmt: skip
    array = gang | {"id": "j-000002", "shape": "sweep", "parcels": 8, "vcpus": 1.0}
    with virtual_loop(seed) as loop:
        world = World(loop, seed, [controller_settings(i) for i in range(3)])
        world.cloud.capacity = MACHINES

        async def day() -> None:
            await world.begin()
            world.submit(gang, "10.9.0.1")
            world.submit(array, "10.9.0.2", wait_s=25.0)
            while loop.now < DAY_S:
                world.check_waits()
                await asyncio.sleep(1.0)

        loop.run_until_complete(day())
    assert world.broken == []
