"""The state service lowers its limits at each named step of the service's work, and in an outage:
the day ends as it does without that, and nothing is lost, refused for ever or blocked."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import pytest

from peathall.config.platform import parse
from tests.sim.sites import controller_settings, controller_text, controller_text_with_next_limits
from tests.sim.test_combined_failures import FaultInjector, daemon, longer, watch
from tests.sim.test_days import draw_job, virtual
from tests.sim.world import World

# The undisturbed day is played once and shared.
pytestmark = pytest.mark.xdist_group("limits_fall")

SEED = 400
ARMED_S = 14.0  # s; from then on the first commit of the step brings the fall
CRASH_S = 20.0  # s; the leader ends, so that a take-over follows
BURSTS_S = (8.0, 14.2, 22.0, 28.0, 33.0)  # s; submissions that come together share a record
BURST = 10  # jobs
SCARCE_RPS = 10.0  # changes a second; the day needs more in its bursts


class Step(Enum):
    """The steps at which the limits fall."""

    ACCEPT = "accept"
    ROUND = "round"
    END = "end"
    ARCHIVE = "archive"
    TAKE_OVER = "take-over"
    OUTAGE = "outage"


class Fall(Enum):
    """Which limits fall."""

    VALUE = "value"
    TRANSACTION = "transaction"
    RATE = "rate"
    ALL = "all"


WRITES: dict[Step, Callable[[str], bool]] = {
    Step.ACCEPT: lambda key: key.startswith("live/job"),
    Step.ROUND: lambda key: key.startswith("round/"),
    Step.END: lambda key: key.startswith("live/ends/"),
    Step.ARCHIVE: lambda key: key.startswith("past/"),
    Step.TAKE_OVER: lambda key: key == "term",
}


@dataclass
class Outcome:
    """What a day came to."""

    broken: list[str]
    standings: dict[str, str]  # of the jobs that no user called off, as last told
    fell_at: float | None
    refused: int  # requests above a rate
    asked: int


def arrivals(world: World, lasting: set[str]) -> list[asyncio.Task[None]]:
    """The same jobs at the same times on each day, whatever else is drawn on it. `lasting` gets
    those that no user calls off."""
    rng = random.Random(SEED)
    tasks = []
    for number in range(1, BURST * len(BURSTS_S) + 1):
        job = longer(draw_job(rng, number), rng)
        job["kit"] += "-" + "x" * 180  # a few such jobs fill a value
        at = BURSTS_S[(number - 1) // BURST]
        cancel = rng.uniform(0, 15) if rng.random() < 0.2 else None
        if cancel is None:
            lasting.add(job["id"])
        if world.can_run(job):
            tasks.append(world.submit(job, f"10.9.0.{number}", cancel, at))
    for number in range(800, 803):  # standing services, until they are called off
        job = daemon(rng, number)
        tasks.append(world.submit(job, f"10.9.3.{number - 799}", 60.0, 5.0))
    return tasks


def lower(world: World, fall: Fall, write_rps: float) -> None:
    """From this moment on, without notice."""
    state = world.state
    if fall in (Fall.VALUE, Fall.ALL):
        state.value_kb = 2.0
    if fall in (Fall.TRANSACTION, Fall.ALL):
        state.txn_ops = 4
    if fall in (Fall.RATE, Fall.ALL):
        state.rate_limits = (200.0, write_rps)


def play(
    step: Step,
    fall: Fall | None,
    lost: bool = False,
    told: bool = True,
    write_rps: float = 30.0,
) -> Outcome:
    """A day with a take-over; the limits fall with the first commit of the step, whose answer is
    lost if `lost`. Without `told` the service does not know what is coming."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual(SEED) as loop:
        plain = [controller_settings(i) for i in range(3)]
        texts = [controller_text_with_next_limits(i, write_rps=write_rps) for i in range(3)]
        known = [parse(text) for text in texts]
        world = World(loop, SEED, known if told else plain)
        world.state.rate_limits = (200.0, 60.0)
        world.state.slow_share = 0.3  # so that much is written together
        lasting: set[str] = set()
        fell: list[float] = []

        def on_commit(raw: dict[str, Any]) -> bool:
            writes = WRITES.get(step)
            if fell or loop.now < ARMED_S or fall is None or writes is None:
                return False
            keys = [op["write"] for op in raw["apply"] if "write" in op]
            if not any(
                (writes(key) and key not in world.state.data)
                or (key == "term" and step is Step.TAKE_OVER)
                for key in keys
            ):
                return False
            fell.append(loop.now)
            if not lost:
                lower(world, fall, write_rps)
                return False
            # It is carried out, and then they fall.
            loop.call_later(0.01, lower, world, fall, write_rps)
            return True

        world.state.on_commit = on_commit

        async def day() -> None:
            await world.begin()
            injector = FaultInjector(world)
            waiting = arrivals(world, lasting)
            watching = asyncio.create_task(watch(world))
            await asyncio.sleep(CRASH_S)
            injector.crash(injector.leader, 3.0)
            if step is Step.OUTAGE and fall is not None:
                await asyncio.sleep(4.0)
                injector.outage(6.0)
                await asyncio.sleep(3.0)
                fell.append(loop.now)
                lower(world, fall, write_rps)
            deadline = max(loop.now, world.grace_until) + 300.0
            while loop.now < deadline and not all(task.done() for task in waiting):
                await asyncio.sleep(1.0)
            watching.cancel()
            assert all(task.done() for task in waiting)

        loop.run_until_complete(day())
        standings = {j: world.last_response[j] for j in sorted(world.accepted & lasting)}
        state = world.state
        at = fell[0] if fell else None
        return Outcome(world.broken, standings, at, state.refused, state.requests)


@pytest.fixture(scope="module")
def unbroken() -> Outcome:
    """The same day with the limits as they were."""
    return play(Step.ACCEPT, None)


@pytest.mark.parametrize("fall", Fall, ids=lambda fall: fall.value)
@pytest.mark.parametrize("step", Step, ids=lambda step: step.value)
def test_the_limits_fall_at_a_step(step: Step, fall: Fall, unbroken: Outcome) -> None:
    outcome = play(step, fall)
    assert outcome.fell_at is not None
    assert outcome.broken == unbroken.broken == []  # a 400 of the state service is one, too
    assert outcome.standings == unbroken.standings
    assert set(outcome.standings.values()) == {"done"}
    assert outcome.refused < 0.01 * outcome.asked  # no storm of 429


@pytest.mark.parametrize("step", WRITES, ids=lambda step: step.value)
def test_the_response_is_lost_and_then_the_limits_fall(step: Step, unbroken: Outcome) -> None:
    """What was carried out is found by reading: repeated, it would meet the lower limits."""
    outcome = play(step, Fall.ALL, lost=True)
    assert outcome.fell_at is not None
    assert outcome.broken == []
    assert outcome.standings == unbroken.standings


@pytest.mark.parametrize("fall", [Fall.VALUE, Fall.TRANSACTION])
def test_controllers_unaware_of_the_smaller_limits_are_noticed(fall: Fall) -> None:
    """The days above fail if a value or a transaction is as large as it used to be."""
    outcomes = [play(step, fall, told=False) for step in (Step.ACCEPT, Step.ARCHIVE)]
    assert any("limits" in broken for outcome in outcomes for broken in outcome.broken)


def test_a_write_rate_below_the_size_of_a_transaction() -> None:
    """A site whose rate allows three changes a second and whose transactions may have twelve:
    none of more than three is ever sent, and all work ends."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    with virtual(SEED) as loop:
        texts = [
            controller_text(i).replace("write_rps = 60.0", "write_rps = 3.0") for i in range(3)
        ]
        world = World(loop, SEED, [parse(text) for text in texts])
        world.state.slow_share = 0.3  # so that much is written together
        largest: list[int] = []

        def on_commit(raw: dict[str, Any]) -> bool:
            largest.append(len(raw["apply"]))
            return False

        world.state.on_commit = on_commit

        async def day() -> None:
            await world.begin()
            waiting = [
                world.submit(longer(draw_job(world.rng, n), world.rng), f"10.9.0.{n}", None, 8.0)
                for n in range(1, 2 * BURST)
            ]
            await asyncio.sleep(200.0)
            assert all(task.done() for task in waiting)

        loop.run_until_complete(day())
        assert world.broken == []
        assert max(largest) == 3
        assert world.state.refused == 0


def test_the_lower_write_rate_is_kept(unbroken: Outcome) -> None:
    """At a rate that bites nothing is refused. Ignored, requests are refused again and again, or
    the day does not end: transactions of more changes than a second is worth never go through."""
    kept = play(Step.ROUND, Fall.RATE, write_rps=SCARCE_RPS)
    assert kept.broken == []
    assert kept.standings == unbroken.standings
    assert kept.refused == 0
    try:
        ignored = play(Step.ROUND, Fall.RATE, told=False, write_rps=SCARCE_RPS)
    except AssertionError:
        return
    assert ignored.refused > 0.01 * ignored.asked
