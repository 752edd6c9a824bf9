"""Two troubles at once: each failures is brought about, and the rules checked on what the stand-ins
themselves saw."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from peathall.http.client import HttpClient, NoAnswerError
from tests.sim.net import Host
from tests.sim.sites import controller_settings
from tests.sim.test_days import cut, cut_one_way, draw_job, users, virtual
from tests.sim.worker import Worker
from tests.sim.world import World

CombinedFailure = Callable[["FaultInjector"], Awaitable[None]]


class FaultInjector:
    """A world and the troubles that it knows, by the users' names for them."""

    def __init__(self, world: World) -> None:
        self.world, self.loop, self.rng = world, world.loop, world.rng

    # --- who ------------------------------------------------------------------
    @property
    def leader(self) -> int:
        return self.world.leader() or 0

    def ip(self, index: int) -> str:
        return f"10.0.0.{index + 1}"

    def some_workers(self, share: float) -> list[Worker]:
        up = [w for w in self.world.workers.values() if w.state == "running"]
        busy = [w for w in up if w.tasks]
        return (busy or up)[: max(1, round(share * len(up)))]

    # --- troubles -------------------------------------------------------------
    def trouble(self, seconds: float) -> None:
        world = self.world
        world.grace_until = max(world.grace_until, self.loop.now + seconds + 30.0)

    def refuse_leader(self, seconds: float) -> None:
        self.trouble(seconds)
        self.world.state.refused_until[self.ip(self.leader)] = self.loop.now + seconds

    def outage(self, seconds: float) -> None:
        self.trouble(seconds)
        self.world.state.outage(seconds)

    def crash(self, index: int, back_s: float) -> None:
        self.trouble(back_s + 5)
        self.world.crash_controller(index, back_s)

    def writes(self, seconds: float, late: float = 0.0, lost: float = 0.0) -> None:
        self.trouble(seconds)
        state = self.world.state
        state.late_share, state.lost_share = late, lost

        def over() -> None:
            state.late_share = state.lost_share = 0.0

        self.loop.call_later(seconds, over)

    def cut_workers(self, share: float, seconds: float) -> list[Worker]:
        self.trouble(seconds)
        chosen = self.some_workers(share)
        cut(
            self.world,
            [(w.host.ip, self.ip(i)) for w in chosen for i in range(self.world.size)],
            seconds,
        )
        return chosen

    def cut_inbound(self, share: float, seconds: float) -> None:
        self.trouble(seconds)
        ways = [
            (self.ip(i), w.host.ip)
            for w in self.some_workers(share)
            for i in range(self.world.size)
        ]
        cut_one_way(self.world, ways, seconds)

    def cut_peers(self, seconds: float) -> None:
        """Who can't ask the leader reads the store itself."""
        self.trouble(seconds)
        pairs = [(0, 1), (1, 2), (0, 2)]
        cut(self.world, [(self.ip(a), self.ip(b)) for a, b in pairs], seconds)

    def isolate_leader(self, seconds: float) -> None:
        """From the store and the other controllers, not from its workers and users."""
        self.trouble(seconds)
        ip = self.ip(self.leader)
        others = {"10.2.0.1", *(self.ip(i) for i in range(self.world.size))} - {ip}
        cut(self.world, [(ip, other) for other in sorted(others)], seconds)

    def hang(self, workers: list[Worker], seconds: float) -> None:
        self.trouble(seconds)
        for worker in workers:
            worker.host.frozen_until = self.loop.now + seconds

    def cancel_now(self, count: int, hang_s: float = 0.0) -> None:
        """Jobs that run are called off, and perhaps their machines hang."""
        world = self.world
        running = [
            j for j in sorted(world.accepted - world.cancelled.keys())
            if world.last_response.get(j) not in ("done", "aborted")
        ]  # fmt: skip
        busy = [
            j
            for j in running
            if any(ts for n, ts in world.registry.on_machines.items() if n.startswith(j))
        ]
        for job_id in (busy + running)[:count]:
            world.users.cancel_requested[job_id] = True
        if hang_s:
            on = {t.worker for j in busy[:count] for n, ts in world.registry.on_machines.items()
                  if n.startswith(j) for t in ts}  # fmt: skip
            self.hang(sorted(on, key=lambda w: w.name)[:8], hang_s)

    async def wait(self, low: float, high: float | None = None) -> None:
        await asyncio.sleep(low if high is None else self.rng.uniform(low, high))


# --- the combined failures -------------------------------------------------------------
async def gap(injector: FaultInjector) -> None:
    """The state service refuses the leader alone, another controller confirms cancellations, and
    then it is down for all, longer than a cancellation may take."""
    for _ in range(2):
        await injector.wait(0.0, 3.0)  # the lease of the lead is of any age
        old = injector.leader
        injector.refuse_leader(14.0)
        await injector.wait(0.0, 1.0)
        injector.cancel_now(4)
        await injector.wait(1.0, 5.0)
        injector.cancel_now(4)
        await injector.wait(0.0, 1.0)
        injector.outage(injector.world.cancel_s + 8)
        await injector.wait(injector.world.cancel_s + 20)
        assert injector.world.leader() is not None, f"nobody leads after {old}"


async def cancelled_as_the_leader_is_refused(injector: FaultInjector) -> None:
    injector.refuse_leader(10.0)
    injector.cancel_now(6)
    await injector.wait(1.0)
    injector.outage(injector.world.cancel_s + 5)
    await injector.wait(injector.world.cancel_s + 25)
    # In the same term: refused and back within the lease of the lead, time and again.
    for _ in range(8):
        injector.refuse_leader(injector.rng.uniform(0.3, 2.5))
        injector.cancel_now(1)
        await injector.wait(1.0, 4.0)


async def answers_of_the_store_are_lost(injector: FaultInjector) -> None:
    injector.writes(injector.world.cancel_s + 12, lost=1.0)
    await injector.wait(1.0)
    injector.cancel_now(4)
    await injector.wait(8.0)
    injector.cancel_now(4, hang_s=6.0)
    await injector.wait(injector.world.cancel_s + 10)


async def writes_are_late(injector: FaultInjector) -> None:
    injector.writes(30.0, late=0.4, lost=0.2)
    for _ in range(3):
        await injector.wait(2.0, 6.0)
        injector.cancel_now(2)
        await injector.wait(1.0, 3.0)
        injector.crash(injector.leader, 0.3)
    await injector.wait(15.0)


async def all_are_away_for_longer_than_a_lease(injector: FaultInjector) -> None:
    injector.cancel_now(4, hang_s=injector.world.lease_s - 2)
    await injector.wait(1.5, 2.5)  # told by now, and not archived: their machines hang
    for index in range(3):
        injector.crash(index, injector.world.lease_s + injector.rng.uniform(1.0, 4.0))
    injector.cancel_now(4)
    await injector.wait(30.0)


async def hand_over_and_back(injector: FaultInjector) -> None:
    for back in (0.02, 0.1, 0.4, 0.9, 3.0, 0.05):
        injector.cancel_now(1)
        injector.crash(injector.leader, back)
        await injector.wait(0.2, 4.0)
    for index in range(3):
        injector.crash(index, 3.0)
    await injector.wait(0.3)
    injector.crash(injector.leader, 0.1)
    await injector.wait(20.0)


async def ten_leaders_in_two_minutes(injector: FaultInjector) -> None:
    injector.writes(60.0, late=0.1, lost=0.1)
    for turn in range(10):
        injector.cancel_now(1)
        if turn % 3 == 2:
            injector.refuse_leader(9.0)
        else:
            injector.crash(injector.leader, injector.rng.choice([0.1, 3.0]))
        if turn == 4:
            injector.outage(20.0)
        await injector.wait(6.0, 12.0)


async def a_zone_is_cut_off(injector: FaultInjector) -> None:
    """With the machines of a zone a controller that perhaps leads."""
    world = injector.world
    inside = [w.host.ip for w in world.workers.values() if w.zone == "b"] + [injector.ip(1)]
    outside = ["10.2.0.1", "10.2.0.2", injector.ip(0), injector.ip(2)]
    outside += [w.host.ip for w in world.workers.values() if w.zone == "a"]
    injector.trouble(world.lease_s + 8)
    cut(world, [(a, b) for a in inside for b in outside], world.lease_s + 8)
    await injector.wait(1.0, 4.0)
    injector.cancel_now(5)
    await injector.wait(world.lease_s + 12)
    for worker in [w for w in world.workers.values() if w.zone == "b"][:2]:
        worker.die()
    injector.crash(injector.leader, 3.0)
    await injector.wait(15.0)


async def machines_out_of_reach_as_the_leader_ends(injector: FaultInjector) -> None:
    for kind in ("cut", "cut_inbound", "mute", "hang"):
        lease = injector.world.lease_s
        seconds = injector.rng.choice([lease - 4, lease + 4])
        if kind == "cut":
            injector.cut_workers(0.5, seconds)
        elif kind == "cut_inbound":
            injector.cut_inbound(0.5, seconds)
        elif kind == "hang":
            injector.hang(injector.some_workers(0.5), seconds)
        else:
            injector.trouble(seconds)
            for worker in injector.some_workers(0.5):
                worker.outbound_blocked_until = injector.loop.now + seconds
        await injector.wait(0.2, 2.0)
        injector.crash(injector.leader, 3.0)
        await injector.wait(0.5, 4.0)
        injector.cancel_now(3)
        await injector.wait(lease + 8)


async def new_machines_at_once_as_writes_lag(injector: FaultInjector) -> None:
    world = injector.world
    boot = world.cloud.start_worker
    injector.writes(25.0, late=0.3, lost=0.1)
    for worker in list(world.workers.values())[::2]:
        worker.die()
    for _ in range(3):
        for worker in [w for w in world.workers.values() if w.state == "starting"]:
            world.loop.call_later(injector.rng.uniform(0.1, 2.0), boot, worker)
        await injector.wait(1.0, 2.0)
        injector.cancel_now(1)
        injector.crash(injector.leader, 0.2)
        injector.cut_workers(0.4, 5.0)  # the new leader hears of their tasks late
        await injector.wait(6.0, 8.0)
    await injector.wait(15.0)


async def an_old_report_meets_a_new_leader(injector: FaultInjector) -> None:
    world = injector.world
    world.copies.kept_share = 0.3
    await injector.wait(10.0)
    for _ in range(3):
        before = injector.leader
        old = dict(world.copies.kept_heartbeats)
        world.copies.kept_heartbeats.clear()
        injector.cut_workers(0.5, world.lease_s - 4)  # nothing newer comes from them
        injector.crash(before, injector.rng.choice([0.2, 8.0]))
        while world.leader() in (None, before) and not world.state.down:
            await injector.wait(0.05)
            if world.leader() is not None:
                break
        for raw in old.values():
            for index in range(3):  # to every controller, just as the new one begins
                context = world.context(Host("10.8.0.2"))
                world.loop.create_task(deliver(index, raw), context=context)
        await injector.wait(1.0, 3.0)
        injector.cancel_now(2)
        await injector.wait(14.0)
    world.copies.kept_share = 0.0


async def deliver(index: int, raw: bytes) -> None:
    try:
        client = HttpClient(f"10.0.0.{index + 1}:8080", max_idle=0)
        await client.request("POST", "/checkin", raw, 4.0)
    except NoAnswerError:
        pass


async def old_reports_after_newer_ones(injector: FaultInjector) -> None:
    world = injector.world
    world.copies.share = 0.4
    injector.cut_workers(0.4, world.lease_s + 4)
    await injector.wait(10.0)
    injector.crash(injector.leader, 0.5)
    await injector.wait(2.0)
    injector.cancel_now(4, hang_s=6.0)
    await injector.wait(30.0)
    world.copies.share = 0.0


async def a_leader_with_only_its_workers_and_users(injector: FaultInjector) -> None:
    world = injector.world
    for mode in ("hold", "refuse"):
        injector.isolate_leader(25.0)
        if mode == "refuse":
            await injector.wait(1.0)
            injector.outage(world.cancel_s + 4)
        await injector.wait(0.0, 6.0)
        injector.cancel_now(5)
        await injector.wait(40.0)


async def asked_everywhere(injector: FaultInjector) -> None:
    world = injector.world
    world.users.asks_all_controllers = True
    world.users.cancel_at_end_share = 0.5
    injector.writes(15.0, lost=0.4)
    await injector.wait(18.0)
    injector.crash(injector.leader, 0.4)
    await injector.wait(4.0)
    injector.refuse_leader(8.0)
    injector.cancel_now(3)
    await injector.wait(15.0)
    injector.cut_peers(10.0)
    injector.writes(10.0, lost=0.6)
    injector.cancel_now(3)
    await injector.wait(20.0)


async def the_end_of_the_last_task(injector: FaultInjector) -> None:
    injector.world.users.asks_all_controllers = True
    injector.world.users.cancel_at_end_share = 1.0
    injector.world.state.slow_share = 0.5
    await injector.wait(20.0)
    # Then each controller answers for itself, as the store has it.
    injector.cut_peers(25.0)
    await injector.wait(25.0)
    injector.world.state.slow_share = 0.0


async def hung_and_cancelled_at_the_limit(injector: FaultInjector) -> None:
    lease = injector.world.lease_s
    for hang in (lease - 3, lease + 6):
        injector.cancel_now(6, hang_s=hang)
        injector.cut_workers(0.3, lease - 2)
        await injector.wait(0.5, 1.5)
        injector.crash(injector.leader, 3.0)
        injector.world.cloud.down_until = injector.loop.now + lease + 5
        await injector.wait(lease + 14)


async def slow_store_and_too_much_work(injector: FaultInjector) -> None:
    world = injector.world
    world.state.slow_share = 0.4
    injector.trouble(40.0)
    for number in range(900, 960):
        job = draw_job(world.rng, number) | {"parcels": 1, "shape": "sweep", "scatter": False}
        if world.can_run(job):
            cancel = 3.0 if number % 4 == 0 else None
            world.submit(job, f"10.9.3.{number - 900}", cancel)
        await injector.wait(0.25)
    injector.crash(injector.leader, 0.3)
    await injector.wait(10.0)
    injector.cancel_now(6)
    injector.refuse_leader(6.0)
    await injector.wait(10.0)
    world.state.slow_share = 0.0


async def drawn_at_random(injector: FaultInjector) -> None:
    """Two or three troubles of any kinds within a second or two, time and again."""
    rng, world, lease = injector.rng, injector.world, injector.world.lease_s

    def mute_some() -> None:
        injector.trouble(lease)
        for worker in injector.some_workers(0.3):
            worker.outbound_blocked_until = injector.loop.now + rng.uniform(3.0, lease + 6)

    def freeze() -> None:
        injector.trouble(lease)
        world.freeze_controller(
            rng.choice([injector.leader, rng.randrange(3)]), rng.uniform(1.0, 16.0)
        )

    def cloud() -> None:
        world.cloud.down_until = injector.loop.now + rng.uniform(5.0, 25.0)

    def copies() -> None:
        world.copies.share = world.state.copies_share = rng.choice([0.0, 0.3])

    troubles: list[Callable[[], object]] = [
        lambda: injector.refuse_leader(rng.uniform(0.5, 14.0)),
        lambda: injector.outage(rng.choice([2.0, 8.0, world.cancel_s + 4])),
        lambda: injector.crash(injector.leader, rng.choice([0.05, 0.4, 3.0])),
        lambda: [injector.crash(i, rng.uniform(0.1, 4.0)) for i in range(3)],
        lambda: injector.writes(rng.uniform(3.0, 20.0), late=0.3, lost=0.3),
        lambda: injector.cut_workers(0.4, rng.uniform(4.0, lease + 6)),
        lambda: injector.cut_inbound(0.3, rng.uniform(4.0, lease + 6)),
        lambda: injector.hang(injector.some_workers(0.3), rng.uniform(2.0, lease + 6)),
        lambda: rng.choice(list(world.workers.values())).die() if world.workers else None,
        mute_some, freeze, cloud, copies,
        lambda: injector.isolate_leader(rng.uniform(2.0, 20.0)),
    ]  # fmt: skip
    world.users.cancel_at_end_share = 0.3
    for _ in range(5):
        for trouble in rng.sample(troubles, rng.choice([2, 3])):
            trouble()
            await injector.wait(0.0, 1.5)
            if rng.random() < 0.5:
                injector.cancel_now(rng.choice([1, 3]), hang_s=rng.choice([0.0, 0.0, 7.0]))
        world.users.asks_all_controllers = rng.random() < 0.5
        await injector.wait(4.0, 25.0)
    world.copies.share = world.state.copies_share = 0.0


def daemon(rng: random.Random, number: int) -> dict[str, Any]:
    return draw_job(rng, number) | {
        "id": f"j-{number:06d}", "docket": "web", "desk": "blue", "shape": "daemon",
        "precedence": "critical", "parcels": rng.choice([1, 2, 3]), "vcpus": 0.5, "cards": 0.0,
        "ram_gb": 1.0, "builds": None, "ward": None, "together": False,
        "scatter": rng.random() < 0.5, "standby": True, "image_gb": 1.0,
        "reckon_s": 0.0, "tally_s": 0.0, "run_s": 0.0,
    }  # fmt: skip


async def services_amid_troubles(injector: FaultInjector) -> None:
    """Standing services in troubles drawn at random: each replica is served again afterwards."""
    world = injector.world
    for number in range(800, 806):
        job = daemon(injector.rng, number)
        world.submit(job, f"10.9.3.{number - 799}", 30.0 if number % 3 == 0 else 400.0)
    await drawn_at_random(injector)
    for _ in range(120):
        await injector.wait(1.0)
        served = {n: world.registry.tasks_of(f"j-{n:06d}") for n in range(800, 806)}
        wanted = {n: 0 if n % 3 == 0 else world.jobs[f"j-{n:06d}"]["parcels"] for n in served}
        if {n: len(tasks) for n, tasks in served.items()} == wanted:
            break
    assert {n: len(tasks) for n, tasks in served.items()} == wanted
    for number in range(800, 806):
        world.users.cancel_requested[f"j-{number:06d}"] = True
    while any(world.last_response[f"j-{number:06d}"] != "aborted" for number in range(800, 806)):
        await injector.wait(1.0)


COMBINED_FAILURES: list[CombinedFailure] = [
    gap,
    cancelled_as_the_leader_is_refused,
    answers_of_the_store_are_lost,
    writes_are_late,
    all_are_away_for_longer_than_a_lease,
    hand_over_and_back,
    ten_leaders_in_two_minutes,
    a_zone_is_cut_off,
    machines_out_of_reach_as_the_leader_ends,
    new_machines_at_once_as_writes_lag,
    an_old_report_meets_a_new_leader,
    old_reports_after_newer_ones,
    a_leader_with_only_its_workers_and_users,
    asked_everywhere,
    the_end_of_the_last_task,
    hung_and_cancelled_at_the_limit,
    slow_store_and_too_much_work,
    drawn_at_random,
    services_amid_troubles,
]


def longer(job: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    """Some jobs run for longer than a lease and a cancellation together."""
    if rng.random() < 0.4:
        job |= {"run_s": rng.uniform(20.0, 90.0)}
    return job


async def play(world: World, failures: CombinedFailure) -> None:
    world.users.asks_while_cancelling = True
    await world.begin()
    injector = FaultInjector(world)
    arriving = asyncio.create_task(users(world, 60.0, longer))
    watching = asyncio.create_task(watch(world))
    await asyncio.sleep(14.0)
    await failures(injector)
    waiting = await arriving
    deadline = max(world.loop.now, world.grace_until) + 400.0
    while world.loop.now < deadline and not all(task.done() for task in waiting):
        await asyncio.sleep(1.0)
    watching.cancel()
    late = [j for j in world.accepted if world.last_response.get(j) not in ("done", "aborted")]
    assert all(task.done() for task in waiting), late
    for task in waiting:
        await task
    world.check_served()


async def watch(world: World) -> None:
    while True:
        world.check_cancelled()
        world.check_waits()
        await asyncio.sleep(1.0)


@pytest.mark.parametrize(
    ("failures", "seed"),
    [
        *[(failures, 61) for failures in COMBINED_FAILURES],
        *[(drawn_at_random, seed) for seed in range(200, 212)],
        *[(services_amid_troubles, seed) for seed in (220, 221, 222)],
        # Seeds on which something was found broken, as these days were then: a spread array beside
        # tasks in an unknown zone (115), room in a zone where the job may not go (110). The first
        # is brought about by 132 now; the second by a unit test of the rentals.
        (hung_and_cancelled_at_the_limit, 115),
        (hung_and_cancelled_at_the_limit, 110),
        (hung_and_cancelled_at_the_limit, 132),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_combined_failures_keep_the_rules(failures: CombinedFailure, seed: int) -> None:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual(seed) as loop:
        world = World(loop, seed, [controller_settings(i) for i in range(3)])
        loop.run_until_complete(play(world, failures))
        assert world.broken == []
        assert world.cancelled
