"""Days whose troubles are drawn from ranges: kind, length and moment of each.

Half of the lengths lie close to one of the program's own time limits, where a controller that
stands still meets the end of its lease, its watch or its requests.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import cbor2

from peathall import constants
from peathall.config.platform import Settings, parse
from peathall.http.client import HttpClient, NoAnswerError
from tests.sim.days import cut, draw_job
from tests.sim.net import Host, VirtualLoop
from tests.sim.sites import controller_text, controller_text_with_next_limits
from tests.sim.users import submission
from tests.sim.worker import Worker
from tests.sim.world import World

PASS_S = 0.001  # a pass of the event loop on a busy machine
BEGIN_S = 8.0
TROUBLES_UNTIL_S = 110.0
QUIET_S = 100.0  # after the troubles: a job may wait for 90 s
ANSWER_S = 60.0  # for which a user repeats a request (protocol)
LEAD_S = 30.0  # in which the only controller that is up takes over
ARRAY, SERVICE = "j-009001", "j-009002"

# The program's own time limits, and the sums of two that follow each other.
TIME_LIMITS_S = (
    constants.LEADER_LEASE_TTL_S,
    constants.LEADER_LEASE_TTL_S - constants.LEADER_LEASE_MARGIN_S,
    constants.LEADER_LEASE_TTL_S + constants.WATCH_HOLD_S,
    constants.STORE_TIMEOUT_S,
    constants.WATCH_HOLD_S,
    constants.WATCH_HOLD_S + constants.STORE_TIMEOUT_S,
    constants.CLOUD_TIMEOUT_S,
    constants.PEER_FRESH_S,
    constants.STORE_FRESH_S,
    12.0,  # the workers' lease
)


def draw_length(rng: random.Random, shortest_s: float, longest_s: float) -> float:
    """A length in the range; half of them are within a tenth of one of the time limits in it."""
    limits = [limit for limit in TIME_LIMITS_S if shortest_s <= limit <= longest_s]
    if limits and rng.random() < 0.5:
        return rng.choice(limits) * rng.uniform(0.9, 1.1)
    return rng.uniform(shortest_s, longest_s)


@dataclass
class DrawnDay:
    """A day as it was drawn; `troubles` and `failures` are noted while it is played."""

    seed: int
    rng: random.Random
    lowered_limits: bool
    machines: int  # that the cloud has
    array: dict[str, Any] | None
    service: dict[str, Any]
    troubles: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    def note(self, world: World, trouble: str) -> None:
        """Notes a trouble that begins now."""
        self.troubles.append(f"{world.loop.now:.2f} {trouble}")


def draw_day(seed: int) -> DrawnDay:
    """Draws a day; everything random about it comes from this seed."""
    rng = random.Random(seed)
    has_array = rng.random() < 0.5
    return DrawnDay(
        seed,
        rng,
        lowered_limits=rng.random() < (0.8 if has_array else 0.3),
        machines=rng.choice([2, 3, 4, 8]),
        array=draw_array(rng) if has_array else None,
        service=draw_service(rng),
    )


def draw_array(rng: random.Random) -> dict[str, Any]:
    """A long array. Some of its tasks take much longer than those between them, so that what is
    left after a while has scattered numbers."""
    period = rng.randint(2, 3)
    run_s = [rng.uniform(2.0, 8.0) for _ in range(period)]
    run_s[rng.randrange(period)] = rng.uniform(50.0, 110.0)
    return draw_job(rng, 9001) | {
        "id": ARRAY, "shape": "sweep", "desk": "red", "precedence": "standard",
        "parcels": rng.randint(600, 1200), "vcpus": 0.01, "cards": 0.0, "ram_gb": 0.05,
        "builds": ["big"], "ward": None, "together": False, "scatter": False, "standby": False,
        "image_gb": 0.2, "tally_s": 0.0, "reckon_s": 30.0, "run_s": run_s,
    }  # fmt: skip


def draw_service(rng: random.Random) -> dict[str, Any]:
    """A service with a zone rule, whose replicas take seconds to save when they are stopped."""
    rule = rng.choice(["together", "scatter", "none"])
    return draw_job(rng, 9002) | {
        "id": SERVICE, "shape": "daemon", "desk": "red", "precedence": "high",
        "parcels": rng.randint(2, 4), "vcpus": rng.choice([4.0, 5.0, 6.0]), "cards": 0.0,
        "ram_gb": 1.0, "builds": ["big"], "ward": None, "together": rule == "together",
        "scatter": rule == "scatter", "standby": True, "image_gb": 0.1, "reckon_s": 0.0,
        "tally_s": 15.0, "stow_s": 4.0, "run_s": 1.0, "saving_s": rng.uniform(1.0, 4.0),
    }  # fmt: skip


def settings_of(day: DrawnDay) -> list[Settings]:
    """Settings of the day's three controllers."""
    text = controller_text_with_next_limits if day.lowered_limits else controller_text
    return [parse(text(index)) for index in range(3)]


def make_world(day: DrawnDay, loop: VirtualLoop) -> World:
    """The site on which the day is played."""
    loop.pass_s = PASS_S
    world = World(loop, day.seed, settings_of(day))
    world.cloud.capacity = day.machines
    if day.lowered_limits:
        world.state.value_kb, world.state.txn_ops = 2.0, 4
        world.state.rate_limits = (200.0, 30.0)
    return world


# --- troubles --------------------------------------------------------------------------
def freeze(day: DrawnDay, world: World, index: int, what: str) -> float:
    """A controller stands still; users go on submitting to the others. Returns for how long."""
    seconds = draw_length(day.rng, 0.3, 15.0)
    day.note(world, f"{what} {index} stands still for {seconds:.2f} s")
    world.freeze_controller(index, seconds)
    return seconds


def freeze_leader(day: DrawnDay, world: World) -> float:
    leader = world.leader()
    return freeze(day, world, leader, "leader") if leader is not None else 0.0


def freeze_any(day: DrawnDay, world: World) -> float:
    return freeze(day, world, day.rng.randrange(world.size), "controller")


def crash_leader(day: DrawnDay, world: World) -> float:
    leader, back_s = world.leader(), draw_length(day.rng, 0.1, 6.0)
    if leader is not None:
        day.note(world, f"leader {leader} crashes, back after {back_s:.2f} s")
        world.crash_controller(leader, back_s)
    return back_s


def outage(day: DrawnDay, world: World) -> float:
    seconds = draw_length(day.rng, 0.5, 9.0)
    day.note(world, f"state service down for {seconds:.2f} s")
    world.state.outage(seconds)
    return seconds


def cut_leader_from_state(day: DrawnDay, world: World) -> float:
    leader, seconds = world.leader(), draw_length(day.rng, 1.0, 15.0)
    if leader is not None:
        day.note(world, f"leader {leader} cut off from the state service for {seconds:.2f} s")
        ip = world.network.controller_ip(leader)
        cut(world, [(ip, world.network.service_ip(1))], seconds)
    return seconds


def cut_peers(day: DrawnDay, world: World) -> float:
    seconds = draw_length(day.rng, 1.0, 20.0)
    day.note(world, f"controllers cut off from each other for {seconds:.2f} s")
    ips = [world.network.controller_ip(index) for index in range(world.size)]
    cut(world, [(a, b) for a in ips for b in ips if a < b], seconds)
    return seconds


def machine_stops(day: DrawnDay, world: World) -> float:
    """A machine stops, preferably one with tasks of the array."""
    worker = draw_worker(
        day, world, lambda worker: any(task.job_id == ARRAY for task in worker.tasks.values())
    )
    if worker is not None:
        day.note(world, f"machine {worker.name} stops with {len(worker.tasks)} tasks")
        worker.die()
    return 0.0


def spot_notice(day: DrawnDay, world: World) -> float:
    """The cloud reclaims a spot machine, preferably one with a replica of the service."""
    worker = draw_worker(
        day, world, lambda worker: any(task.job_id == SERVICE for task in worker.tasks.values())
    )
    seconds = day.rng.uniform(3.0, 15.0)
    if worker is not None and worker.spot:
        day.note(world, f"machine {worker.name} is reclaimed in {seconds:.2f} s")
        world.cloud.spot_notice(worker, seconds)
    return seconds


def draw_worker(day: DrawnDay, world: World, preferred: Callable[[Worker], bool]) -> Worker | None:
    """One of the running machines, one of the preferred ones if there are any."""
    running = [worker for worker in world.workers.values() if worker.state == "running"]
    return day.rng.choice([w for w in running if preferred(w)] or running or [None])


TROUBLES = (
    freeze_leader, freeze_leader, freeze_any, crash_leader, outage, cut_leader_from_state,
    cut_peers, machine_stops, spot_notice, spot_notice,
)  # fmt: skip


# --- the day ---------------------------------------------------------------------------
async def play(day: DrawnDay, world: World) -> None:
    """Plays the day, and checks at its end that every controller answers and can lead."""
    await world.begin()
    await asyncio.sleep(BEGIN_S)
    for number, job in enumerate(job for job in (day.array, day.service) if job):
        world.submit(job, f"10.9.2.{number + 1}", wait_s=day.rng.uniform(0.0, 25.0))
    users = asyncio.create_task(submit_small_jobs(day, world))
    quiet_from = BEGIN_S
    while world.loop.now < TROUBLES_UNTIL_S:
        await asyncio.sleep(day.rng.uniform(0.0, 12.0))
        lasts_s = day.rng.choice(TROUBLES)(day, world)
        quiet_from = max(quiet_from, world.loop.now + lasts_s)
        world.grace_until = quiet_from
    await users
    until = quiet_from + QUIET_S
    while world.loop.now < until:
        world.check_waits()
        world.check_cancelled()
        await asyncio.sleep(1.0)
    day.failures += world.broken
    for index in range(world.size):
        await check_answers(day, world, index)
    for index in range(world.size):
        await check_leads(day, world, index)


async def submit_small_jobs(day: DrawnDay, world: World) -> None:
    """Users submit jobs of one or a few tasks all the time, to every controller."""
    number = 0
    while world.loop.now < TROUBLES_UNTIL_S:
        number += 1
        job = draw_small_job(day.rng, number)
        if world.can_run(job):
            cancel_after = day.rng.uniform(0.0, 15.0) if day.rng.random() < 0.2 else None
            world.submit(job, f"10.9.{3 + number // 250}.{number % 250 + 1}", cancel_after)
        await asyncio.sleep(day.rng.expovariate(1.0))


def draw_small_job(rng: random.Random, number: int) -> dict[str, Any]:
    """A job of one or a few tasks. All jobs need machines of one type, which the cloud has few of;
    some of them fill much of one for long."""
    is_long = rng.random() < 0.15
    return draw_job(rng, number) | {
        "cards": 0.0, "image_gb": 0.2, "builds": ["big"], "ward": rng.choice([None, "a", "b"]),
        "vcpus": rng.choice([1.0, 2.0, 4.0, 8.0]) if is_long else 1.0,
        "run_s": rng.uniform(40.0, 150.0) if is_long else rng.uniform(2.0, 12.0),
    }  # fmt: skip


async def check_answers(day: DrawnDay, world: World, index: int) -> None:
    """The controller confirms a cancellation, and answers a heartbeat or redirects it."""
    job = draw_job(day.rng, 9100 + index) | {"builds": None, "ward": None, "cards": 0.0}
    world.jobs[job["id"]] = job
    until = world.loop.now + ANSWER_S
    path, body = "/work", submission(job)
    while world.loop.now < until:
        status, _ = await world.ask("POST", path, body, index)
        if status == 200 and path != "/work":
            break
        if status in (200, 201):
            path, body = f"/work/{job['id']}/withdraw", {}
        else:
            await asyncio.sleep(1.0)
    else:
        day.failures.append(f"controller {index} does not answer {path}")
    heartbeat = {"hall": "m-999999", "tenure": 1, "tick": 1 + index, "mandate": 0, "parcels": [],
                 "endpoint": "10.1.250.250:9000", "build": "small", "ward": "a"}  # fmt: skip
    until = world.loop.now + ANSWER_S
    client = HttpClient(f"{world.network.controller_ip(index)}:8080", max_idle=0)
    while world.loop.now < until:
        try:
            status, raw = await client.request("POST", "/checkin", cbor2.dumps(heartbeat), 4.0)
        except NoAnswerError:
            status, raw = 0, b""
        if status == 200 or (status == 421 and "steward" in cbor2.loads(raw)):
            return
        heartbeat["tick"] += 3
        await asyncio.sleep(1.0)
    day.failures.append(f"controller {index} does not answer heartbeats")


async def check_leads(day: DrawnDay, world: World, index: int) -> None:
    """The controller leads once the others are away. Its process is not restarted for that."""
    for other in range(world.size):
        if other != index:
            world.freeze_controller(other, LEAD_S)
    until = world.loop.now + LEAD_S
    while world.loop.now < until:
        await asyncio.sleep(0.5)
        leader = getattr(world.controllers[index][1], "leader", None)
        if leader is not None and leader.is_active():
            break
    else:
        day.failures.append(f"controller {index} does not lead")
    await asyncio.sleep(max(0.0, until - world.loop.now) + 5.0)


def play_drawn_day(seed: int, loop: VirtualLoop) -> DrawnDay:
    """Plays the day of this seed; its failures name the rules that were broken."""
    day = draw_day(seed)
    world = make_world(day, loop)
    context = world.context(Host("10.9.0.1"))
    loop.run_until_complete(loop.create_task(play(day, world), context=context))
    return day
