"""The leader stands still for some seconds while users submit jobs at the other nodes. Afterwards
users call off a job at the node that stood still."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import TROUBLE, CannotRunError, Site, job, run  # noqa: E402
from sites import MACHINES, OPS, ZONE  # noqa: E402
from wire import HOST, ask  # noqa: E402

FREEZE_S = 5.0
FREEZE_UNTIL_S = 39.0  # since the start; a freeze takes up to 16 s with all that belongs to it
USER_S = 60.0  # for which a user repeats a request (PROTOCOL, POST /work)
SUBMIT_EVERY_S = 0.5


async def just_watched(site: Site) -> None:
    """Waits until the leader has just asked the state service for changes, as it does at least
    every 6 s: the answer to that question then comes while the leader stands still."""
    for _ in range(400):
        _, answer = await ask(
            f"{HOST}:{site.state_port}", "POST", "/test/watched", {"prefix": "live/job/"}
        )
        if answer and answer["ago_s"] is not None and answer["ago_s"] < 0.5:
            return
        await asyncio.sleep(0.02)


async def freeze(site: Site, leader: int, first: int) -> None:
    """Stops the leader's process, and lets it go on after FREEZE_S."""
    others = [index for index in range(site.count) if index != leader]
    if TROUBLE:
        site.signal(site.names[leader], signal.SIGSTOP)
    began = time.monotonic()
    users = []
    number = 0
    while time.monotonic() - began < FREEZE_S:
        new = job(f"j-{first + number:06d}")
        nodes = [others[number % 2], others[(number + 1) % 2]]
        users.append(asyncio.create_task(site.submit(new, [3.0], nodes)))
        number += 1
        await asyncio.sleep(SUBMIT_EVERY_S)
    if TROUBLE:
        site.signal(site.names[leader], signal.SIGCONT)
    await asyncio.sleep(2.0)
    await asyncio.gather(*users)


async def withdraw(site: Site, node: int, job_id: str, for_s: float) -> bool:
    """Calls off a job as a user does: again after Retry-After (1 s). False: no answer in time."""
    began = time.monotonic()
    while True:
        status, answer = await site.user(node, "POST", f"/work/{job_id}/withdraw")
        if status == 200 and answer["standing"] in ("aborted", "done"):
            return True
        if time.monotonic() - began >= for_s:
            return False
        await asyncio.sleep(1.0)


async def case(site: Site) -> str | None:
    began = time.monotonic()
    await site.start_all(**MACHINES)
    await asyncio.sleep(3.0)
    for index in range(site.count):  # one to call off at each node at the end
        await site.submit(job(f"j-90000{index}"), [600.0], [index])
    suspects: list[int] = []
    freezes = 0
    while len(suspects) < site.count and time.monotonic() - began < FREEZE_UNTIL_S:
        try:
            leader = site.index_of(await site.leader(5.0))
        except CannotRunError:
            break
        await just_watched(site)
        await freeze(site, leader, 100 * freezes)
        freezes += 1
        if not await withdraw(site, leader, f"j-{100 * freezes - 100:06d}", 3.0):
            suspects.append(leader)
    nodes = range(site.count)
    answers = await asyncio.gather(
        *(withdraw(site, index, f"j-90000{index}", USER_S) for index in nodes)
    )
    silent = [index for index in nodes if not answers[index]]
    if not silent:
        return None
    health = [(await site.user(index, "GET", "/healthz"))[0] for index in silent]
    names = ", ".join(site.names[index] for index in silent)
    return (
        f"after {freezes} freezes {len(silent)} of {site.count} nodes answered no cancellation for"
        f" {USER_S:.0f} s: {names} (healthz {health})"
    )


if __name__ == "__main__":
    run(case, Site(FOLDER, 3, OPS, ZONE))
