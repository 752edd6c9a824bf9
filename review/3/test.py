"""A machine stops with all that is on it. The state service has lowered its limits before."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import TROUBLE, CannotRunError, Site, job, run  # noqa: E402
from sites import LOWERED, MACHINES, POS_NEXT, ZONE  # noqa: E402
from wire import HOST, ask  # noqa: E402

JOB = job("j-000001", parcels=1200, vcpus=0.1, ram_gb=0.2, reckon_s=30.0)
RUN_S = [50.0, 1.0]  # tasks with odd numbers end soon
WAIT_S = 90.0
AT_MOST_S = 40.0  # for which the job may run before the trouble


async def poll(site: Site, polls: int) -> dict[str, Any] | None:
    status, answer = await site.user(polls % 3, "GET", f"/work/{JOB['id']}", None, 2.0)
    return answer if status == 200 else None


async def until_odd_tasks_are_done(site: Site) -> None:
    deadline = time.monotonic() + AT_MOST_S
    polls = 0
    while (answer := await poll(site, polls)) is None or answer["done"] < 600:
        polls += 1
        if time.monotonic() > deadline:
            raise CannotRunError("the job did not start")
        await asyncio.sleep(0.5)


async def longest_wait(site: Site) -> str | None:
    """The other machine, m-000002, has at most 300 of the tasks: they take 30 of its 64 CPUs and
    60 of its 256 GB. The team has no limit. So no task has to wait for 90 s."""
    since: float | None = None
    polls = 0
    while True:
        answer = await poll(site, polls)
        polls += 1
        now = time.monotonic()
        if answer is not None:
            if answer["standing"] in ("done", "aborted"):
                return None if answer["standing"] == "done" else "a job is aborted by nobody"
            waiting = JOB["parcels"] - answer["done"] - answer["running"]
            since = (since or now) if waiting > 0 else None
            if since is not None and now - since > WAIT_S:
                return (
                    f"{waiting} tasks have waited for {now - since:.0f} s while m-000002 has room"
                    f" for them: {answer}"
                )
        await asyncio.sleep(2.0)


async def case(site: Site) -> str | None:
    await site.start_all(**MACHINES)
    await ask(f"{HOST}:{site.state_port}", "POST", "/test/limits", LOWERED)
    await site.submit(JOB, RUN_S, [0, 1, 2])
    await until_odd_tasks_are_done(site)
    if TROUBLE:
        await ask(f"{HOST}:{site.cloud_port}", "POST", "/test/die", {"hall": "m-000001"})
    return await longest_wait(site)


if __name__ == "__main__":
    run(case, Site(FOLDER, 3, POS_NEXT, ZONE))
