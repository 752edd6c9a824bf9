"""Whole days on which controllers of the version in production are replaced one by one, and then
the state service lowers its limits: the rules hold, whoever leads meanwhile."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from peathall.config.platform import parse
from tests.sim import production
from tests.sim.sites import controller_text_with_next_limits
from tests.sim.test_combined_failures import FaultInjector, daemon, longer, watch
from tests.sim.test_days import users, virtual
from tests.sim.world import World

# A version that knows standing services, and may be running as well.
WITH_SERVICES = "b7c234ac8fdb31f56fc7fd4fad506015e1743acf"


def mixed_world(
    loop: Any,
    seed: int,
    change: tuple[str, str] | None = None,
    size: int = 3,
    commit: str | None = None,
) -> World:
    """All controllers are of the version in production, or of that of a commit."""
    texts = [controller_text_with_next_limits(i, size) for i in range(size)]
    world = World(loop, seed, [parse(text) for text in texts])
    world.state.rate_limits = (200.0, 60.0)
    before = commit or production.deployed_commit()
    for i in range(size):
        world.controller_hosts.other_versions[i] = lambda wall, rng, i=i: (
            production.make_controller(before, texts[i], wall, rng, change)
        )
    return world


async def upgrade(world: World, index: int, back_s: float) -> None:
    """Killed, it comes back with the new version; before its turn it comes back old."""
    while not world.controllers[index][0].alive:
        await asyncio.sleep(0.1)
    world.controller_hosts.other_versions.pop(index, None)
    world.grace_until = max(world.grace_until, world.loop.now + back_s + 35.0)
    world.crash_controller(index, back_s)


def lower_limits(world: World) -> None:
    world.state.value_kb, world.state.txn_ops, world.state.rate_limits = 2.0, 4, (200.0, 30.0)


def submit_services(world: World, first: int) -> list[asyncio.Task[None]]:
    """Six standing services, called off after 100 s."""
    return [
        world.submit(daemon(world.rng, number), f"10.9.3.{number - 799}", 100.0)
        for number in range(first, first + 6)
    ]


def check_services(world: World, first: int) -> None:
    """All replicas are served, and their users know it."""
    for number in range(first, first + 6):
        job = world.jobs[f"j-{number:06d}"]
        up = world.registry.tasks_of(job["id"])
        assert len(up) == job["parcels"], (job["id"], up)
        assert world.last_response[job["id"]] == "running"


async def rollout(
    world: World, order: list[int], leading: str, services_before: bool = False
) -> None:
    """Each controller is replaced in turn, with a trouble in between; then the limits fall."""
    world.users.asks_while_cancelling = True
    await world.begin()
    services = submit_services(world, 810) if services_before else []
    rng = world.rng
    injector = FaultInjector(world)
    arriving = asyncio.create_task(users(world, 70.0, longer))
    watching = asyncio.create_task(watch(world))
    await asyncio.sleep(12.0)
    if leading != "in order":  # whoever leads is replaced first, or last
        order = sorted(order, key=lambda i: (i == injector.leader) == (leading == "last"))
    for index in order:
        injector.cancel_now(2)
        await upgrade(world, index, rng.choice([0.2, 3.0]))
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        trouble = rng.choice(["crash", "crash", "refuse", "writes", "cut", "outage", "none"])
        if trouble == "crash":  # leadership passes on, perhaps back to the other version
            injector.crash(injector.leader, rng.choice([0.1, 3.0]))
        elif trouble == "refuse":
            injector.refuse_leader(6.0)
        elif trouble == "writes":
            injector.writes(6.0, late=0.3, lost=0.3)
        elif trouble == "cut":
            injector.cut_workers(0.4, 8.0)
        elif trouble == "outage":
            injector.outage(5.0)
        await asyncio.sleep(rng.uniform(4.0, 9.0))
    while not all(host.alive for host, _ in world.controllers.values()):
        await asyncio.sleep(0.1)
    # From here on all are new.
    services += submit_services(world, 800)
    await asyncio.sleep(rng.uniform(0.0, 6.0))
    lower_limits(world)
    await asyncio.sleep(rng.uniform(0.0, 6.0))
    injector.crash(injector.leader, 0.3)
    for worker in injector.some_workers(0.3):
        worker.die()
    await asyncio.sleep(55.0)
    check_services(world, 800)
    waiting = [*await arriving, *services]
    deadline = max(world.loop.now, world.grace_until) + 300.0
    while world.loop.now < deadline and not all(task.done() for task in waiting):
        await asyncio.sleep(1.0)
    watching.cancel()
    assert all(task.done() for task in waiting)
    for task in waiting:
        await task


@pytest.mark.parametrize(
    ("seed", "order", "leading"),
    [
        (71, [0, 1, 2], "in order"),
        (72, [2, 1, 0], "in order"),
        (73, [0, 1, 2], "first"),
        (74, [1, 0, 2], "last"),
        (75, [1, 2, 0], "in order"),
        (76, [0, 2, 1], "first"),
        (77, [2, 0, 1], "last"),
        (78, [1, 0, 2], "in order"),
    ],
)
def test_the_rules_hold_during_a_rolling_upgrade(seed: int, order: list[int], leading: str) -> None:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual(seed) as loop:
        world = mixed_world(loop, seed)
        loop.run_until_complete(rollout(world, order, leading))
        assert world.broken == []
        assert world.cancelled


@pytest.mark.parametrize(
    ("seed", "order", "leading"),
    [
        (91, [0, 1, 2, 3, 4], "in order"),
        (92, [4, 2, 0, 1, 3], "first"),
        (93, [1, 3, 0, 4, 2], "last"),
    ],
)
def test_the_rules_hold_during_a_rolling_upgrade_of_five_controllers(
    seed: int, order: list[int], leading: str
) -> None:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual(seed) as loop:
        world = mixed_world(loop, seed, size=5)
        loop.run_until_complete(rollout(world, order, leading))
        assert world.broken == []


@pytest.mark.parametrize(
    ("seed", "order", "leading"),
    [
        (81, [0, 1, 2], "in order"),
        (82, [2, 0, 1], "first"),
        (83, [1, 2, 0], "last"),
        (84, [4, 1, 3, 0, 2], "in order"),
    ],
)
def test_the_rules_hold_beside_a_version_with_services(
    seed: int, order: list[int], leading: str
) -> None:
    """There standing services are in use from the beginning, and either version keeps them up."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual(seed) as loop:
        world = mixed_world(loop, seed, size=len(order), commit=WITH_SERVICES)
        loop.run_until_complete(rollout(world, order, leading, services_before=True))
        assert world.broken == []


@pytest.mark.parametrize("commit", ["", "0" * 40])
def test_an_unavailable_production_version_fails_with_a_clear_line(
    commit: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(production, "deploy", lambda: {"production": commit})
    with pytest.raises(pytest.fail.Exception, match="version in production"):
        production.unpack(production.deployed_commit())


@pytest.mark.parametrize(
    "change",
    [
        ('PAST = "past/"', 'PAST = "gone/"'),  # archived jobs that the other version does not find
        ('JOBS = "live/jobs/"', 'JOBS = "live/works/"'),  # accepted jobs, likewise
    ],
)
def test_a_record_unknown_to_the_other_version_is_noticed(change: tuple[str, str]) -> None:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    found = []
    for seed, leading in ((71, "in order"), (73, "first"), (77, "last")):
        with virtual(seed) as loop:
            world = mixed_world(loop, seed, change)
            try:
                loop.run_until_complete(rollout(world, [0, 1, 2], leading))
            except AssertionError as exc:
                found.append(str(exc))
            found += world.broken
        if found:
            break
    assert found
