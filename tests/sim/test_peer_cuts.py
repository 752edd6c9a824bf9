"""What followers answer while controllers can't reach each other."""

from __future__ import annotations

import asyncio
import logging
import random

from tests.sim.days import draw_job, virtual_loop
from tests.sim.net import Host
from tests.sim.sites import controller_settings
from tests.sim.users import submission
from tests.sim.world import World

CUT_S = 30.0
LAG_S = 3.0  # by which the status of a job may lag (protocol)


def test_no_follower_calls_a_running_job_queued_while_controllers_are_cut_off_from_each_other() -> (
    None
):
    """The case of review/7. A job that no machine can take at present stays queued."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    running = draw_job(random.Random(1), 1) | {
        "shape": "sweep", "desk": "red", "parcels": 4, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "builds": ["small"], "ward": None, "together": False, "scatter": False, "standby": True,
        "image_gb": 0.5, "tally_s": 0.0, "run_s": 600.0, "mistaken": False,
    }  # fmt: skip
    waiting = running | {"id": "j-000002", "builds": ["big"], "precedence": "idle"}
    with virtual_loop(1200) as loop:
        world = World(loop, 1200, [controller_settings(index) for index in range(3)])
        world.cloud.capacity = 1  # taken by the first job's machine

        async def statuses(job_id: str) -> set[str]:
            answers = [await world.ask("GET", f"/work/{job_id}", None, at) for at in range(3)]
            assert [status for status, _ in answers] == [200, 200, 200]
            return {answer["standing"] for _, answer in answers}

        async def day() -> None:
            await world.begin()
            await asyncio.sleep(5.0)
            for job in (running, waiting):
                world.jobs[job["id"]] = job
                while (await world.ask("POST", "/work", submission(job)))[0] not in (200, 201):
                    await asyncio.sleep(1.0)
                await asyncio.sleep(30.0)
            assert await statuses(running["id"]) == {"running"}
            ips = [world.network.controller_ip(index) for index in range(3)]
            world.loop.blocked |= {(a, b) for a in ips for b in ips if a != b}
            until = loop.now + CUT_S
            await asyncio.sleep(LAG_S)
            while loop.now < until:
                assert await statuses(running["id"]) == {"running"}
                assert await statuses(waiting["id"]) == {"queued"}
                await asyncio.sleep(2.0)

        context = world.context(Host("10.9.0.1"))
        loop.run_until_complete(loop.create_task(day(), context=context))
    assert world.broken == []
