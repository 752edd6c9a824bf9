"""Duties on the virtual clock: one holder acts at a time, whatever is suspended or cut off."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

from peathall.autoscaling.actions import CloudError, ProvisionRequest
from peathall.config.modes import Mode
from peathall.config.platform import parse
from peathall.duties.model import ActionRequest, ActionResult, Deletion, Duty, DutyPhase, Outcome
from peathall.duties.settings import DutySettings
from peathall.operator_config.settings import Operator
from peathall.store.transaction import Transaction
from peathall.store.writer import Writer
from tests.sim import production
from tests.sim.duty_history import DutyHistory
from tests.sim.net import VirtualLoop
from tests.sim.sites import controller_settings, controller_text, controller_text_with_next_limits
from tests.sim.test_days import (
    CRASHES,
    CUTS,
    FLAPS,
    FREEZES,
    MACHINE_FAULTS,
    MESSAGE_COPIES,
    ONE_WAY_CUTS,
    STORE_FAULTS,
    cut,
    draw_job,
    virtual_loop,
)
from tests.sim.test_days import play_day as whole_day
from tests.sim.world import World

ON = Operator(duties=DutySettings())


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    yield


def new_world(loop: VirtualLoop, seed: int, size: int = 3) -> World:
    """All controllers have duties on."""
    world = World(loop, seed, [controller_settings(i, size) for i in range(size)])
    world.controller_hosts.operators = dict.fromkeys(range(size), ON)
    return world


def holder(world: World, duty: Duty) -> int | None:
    """The controller that the state service names as the holder."""
    record = world.state.data.get(duty.holder_key)
    return None if record is None else int(record[0]["member"].removeprefix("hall-"))


def claim(world: World, index: int, duty: Duty) -> Any:
    return world.controllers[index][1].duties.claims[duty]


def submit(world: World, number: int, **change: Any) -> asyncio.Task[None]:
    """A job that nothing but machines keeps from running."""
    plain = draw_job(random.Random(number), number) | {
        "shape": "sweep", "desk": "red", "parcels": 4, "cards": 0.0, "builds": None, "ward": None,
        "together": False, "scatter": False, "run_s": 4.0,
    }  # fmt: skip
    return world.submit(plain | change, f"10.9.{number // 250}.{number % 250 + 1}")


async def until(world: World, reached: Callable[[], bool], limit_s: float = 60.0) -> float:
    """Seconds until it is reached."""
    began = world.loop.now
    while not reached():
        assert world.loop.now - began < limit_s, "not reached in time"
        await asyncio.sleep(0.05)
    return world.loop.now - began


async def settled(world: World) -> None:
    """All duties are held."""
    await world.begin()
    await until(world, lambda: all(holder(world, duty) is not None for duty in Duty))


def play(seed: int, day: Callable[[World, DutyHistory], Awaitable[None]], size: int = 3) -> None:
    """The day, and after it the faults that the model has found."""
    with virtual_loop(seed) as loop:
        world = new_world(loop, seed, size)
        history = DutyHistory(world)

        async def all_of_it() -> None:
            await day(world, history)
            await until(world, lambda: not history.unfinished())

        loop.run_until_complete(all_of_it())
        assert history.faults == []
        assert world.broken == []


def stop_at(world: World, index: int, step: str, act: Callable[[str], None]) -> list[str]:
    """At the controller, `act` is called once, when an action has reached the step."""
    seen: list[str] = []

    async def checkpoint(reached: str, name: str) -> None:
        if reached == step and not seen:
            seen.append(name)
            act(name)
            await asyncio.sleep(0)

    world.controllers[index][1].duties.checkpoint = checkpoint
    return seen


def test_work_is_done_by_holders_beside_the_leader() -> None:
    async def day(world: World, history: DutyHistory) -> None:
        state = world.state
        await settled(world)
        leader = world.leader()
        holders = {holder(world, duty) for duty in Duty}
        # Spread over the controllers that do not lead.
        assert leader not in holders and len(holders) == 2
        done = [submit(world, number) for number in range(1, 6)]
        await asyncio.gather(*done)
        await until(world, lambda: not world.workers)  # idle machines were deleted
        assert history.provisions and history.pending_deletions
        # Jobs are archived, and what nothing needs is dropped, by holders as well.
        await until(world, lambda: not any(k.startswith(("live/", "round/")) for k in state.data))
        assert sum(key.startswith("past/") for key in state.data) == 5
        assert min(history.written["cleanup"], history.written["reclaiming"]) >= 5

    play(501, day)


@pytest.mark.parametrize("step", ["committed", "carried out"])
@pytest.mark.parametrize("duty", Duty, ids=lambda duty: duty.value)
@pytest.mark.parametrize("pause_s", [0.3, 3.0, 12.0])
def test_a_holder_is_suspended_between_the_steps(duty: Duty, step: str, pause_s: float) -> None:
    """Within its lease it goes on; past it the successor has finished what it began, and what it
    does when it resumes changes nothing."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, duty)
        assert index is not None
        names = stop_at(world, index, step, lambda name: world.freeze_controller(index, pause_s))
        done = [submit(world, number) for number in range(1, 4)]
        await until(world, lambda: bool(names), 120.0)
        await asyncio.sleep(pause_s + 2.0)
        if pause_s > 6.0:
            assert history.token(duty.value) > 1
        await asyncio.gather(*done)

    play(510, day)


@pytest.mark.parametrize("back_s", [0.2, 4.0])
@pytest.mark.parametrize("with_leader", [False, True])
@pytest.mark.parametrize("step", ["committed", "carried out"])
def test_a_holder_crashes_between_the_steps(step: str, with_leader: bool, back_s: float) -> None:
    """Alone or together with the leader; back within a fraction of a second, or later."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None

        def crash(name: str) -> None:
            leader = world.leader()
            world.loop.call_soon(world.crash_controller, index, back_s)
            if with_leader and leader is not None:
                world.loop.call_soon(world.crash_controller, leader, back_s)

        names = stop_at(world, index, step, crash)
        done = [submit(world, number) for number in range(1, 4)]
        await until(world, lambda: bool(names))
        await asyncio.gather(*done)
        provisioned = [name for name in world.cloud.provisioned if name == names[0]]
        assert provisioned == names  # carried out, under its one name

    play(520, day)


def test_a_suspended_holder_that_resumes_is_refused_by_the_store() -> None:
    """It is suspended before the intent: what it commits when it resumes has an expired lease."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        ownership = claim(world, index, Duty.SCALE_OUT).ownership
        world.freeze_controller(index, 15.0)
        done = [submit(world, number) for number in range(1, 4)]
        await asyncio.sleep(10.0)
        assert holder(world, Duty.SCALE_OUT) != index
        # Its own clock is of no help to it: suppose that it counts its lease wrongly.
        ownership.lease.until = 1e9
        await asyncio.gather(*done)
        await asyncio.sleep(10.0)

    play(530, day)


@pytest.mark.parametrize("jump_s", [-30.0, 30.0])
def test_the_lease_is_counted_wrongly_at_one_holder(jump_s: float) -> None:
    """As after a jump of its steady clock: too short, it gives up early; too long, the store
    refuses what it commits."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        claim(world, index, Duty.SCALE_OUT).ownership.lease.until += jump_s
        done = [submit(world, 1)]
        await asyncio.sleep(2.0)
        world.freeze_controller(index, 8.0)
        done += [submit(world, number) for number in range(2, 5)]
        await asyncio.gather(*done)

    play(540, day)


@pytest.mark.parametrize("everywhere", [False, True])
def test_the_store_refuses_the_holder_or_all(everywhere: bool) -> None:
    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        before = history.token("renting")
        if everywhere:
            world.state.outage(12.0)
        else:
            world.state.refused_until[f"10.0.0.{index + 1}"] = world.loop.now + 12.0
        await asyncio.sleep(3.0)
        assert claim(world, index, Duty.SCALE_OUT).phase is DutyPhase.RENEWAL_UNANSWERED
        done = [submit(world, number) for number in range(1, 4)]
        await asyncio.gather(*done)
        # After an outage every lease has its full time again; refused alone, it lost its own.
        assert (history.token("renting") == before) is everywhere

    play(550, day)


@pytest.mark.parametrize("carried_out", [True, False])
def test_the_answer_to_a_commit_is_lost(carried_out: bool) -> None:
    """Applied at once or seconds later: its outcome is known before anything follows."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        world.state.lost_share, world.state.late_share = (0.3, 0.0) if carried_out else (0.0, 0.3)
        done = [submit(world, number) for number in range(1, 5)]
        await asyncio.sleep(40.0)
        world.state.lost_share = world.state.late_share = 0.0
        await asyncio.gather(*done)

    play(560, day)


def test_a_refused_request_may_be_repeated() -> None:
    """The leader's record is written anew as a fence, after it was read for the request: refused
    under its name once, a deletion was refused for the rest of the term."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, Duty.SCALE_IN)
        assert index is not None
        host, controller = world.controllers[index]
        lead, version, _ = world.state.data["lead"]
        token = history.token("returning")

        async def ask(leader_version: int) -> ActionResult:
            request = ActionRequest(
                Duty.SCALE_IN,
                token,
                lead["term"],
                leader_version,
                deletion=Deletion("d-1", ["m-9"]),
            )
            work = controller.duties.perform(request)
            answer: ActionResult = await world.loop.create_task(work, context=world.context(host))
            return answer

        assert (await ask(version - 1)).outcome is Outcome.REFUSED
        assert (await ask(version)).outcome is Outcome.DONE
        assert (await ask(version - 1)).outcome is Outcome.DONE  # the answer again
        assert history.actions == 1

    play(567, day)


def test_all_claim_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nobody leaves a free duty to others: one claim of each is accepted, the others end."""
    for name in ("DUTY_LEADER_PAUSE_S", "DUTY_HELD_PAUSE_S", "CAMPAIGN_JITTER_S"):
        monkeypatch.setattr(f"peathall.constants.{name}", 0.0)

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        await asyncio.sleep(1.0)
        for duty in Duty:
            phases = [claim(world, index, duty).phase for index in range(5)]
            assert phases.count(DutyPhase.HOLDING) == 1
            assert phases.count(DutyPhase.FOLLOWING) == 4
        assert {history.token(duty.value) for duty in Duty} == {1}
        await submit(world, 1)

    play(565, day, 5)


@pytest.mark.parametrize("duty", [Duty.SCALE_OUT, Duty.SCALE_IN], ids=lambda duty: duty.value)
def test_a_request_arrives_after_the_successor_began(duty: Duty) -> None:
    """It left the holder, is held back on its way, and is carried out when the successor has long
    done the same: names make it harmless."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, duty)
        assert index is not None
        ip = f"10.0.0.{index + 1}"

        def hold_back(name: str) -> None:
            cut(world, [(ip, "10.2.0.2")], 20.0)
            world.loop.call_later(0.5, world.freeze_controller, index, 10.0)

        names = stop_at(world, index, "committed", hold_back)
        done = [submit(world, number) for number in range(1, 4)]
        await until(world, lambda: bool(names), 120.0)
        await asyncio.sleep(25.0)
        assert holder(world, duty) != index
        await asyncio.gather(*done)

    play(566, day)


@pytest.mark.parametrize("at_s", [9.0, 14.0, 20.0])
def test_the_limits_fall_between_the_steps(at_s: float) -> None:
    """To the smallest sizes that a site may have, as the settings say they will some day."""

    async def day(world: World, history: DutyHistory) -> None:
        world.settings[:] = [parse(controller_text_with_next_limits(i)) for i in range(3)]
        world.state.slow_share = 0.2
        await settled(world)
        done = [submit(world, number) for number in range(1, 9)]
        await asyncio.sleep(at_s - world.loop.now)
        world.state.value_kb, world.state.txn_ops = 2.0, 4
        world.state.rate_limits = (200.0, 30.0)
        await asyncio.gather(*done)
        await asyncio.sleep(20.0)
        assert world.state.refused == 0

    play(568, day)


def test_an_orderly_end_hands_over_at_once() -> None:
    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        host, controller = world.controllers[index]
        context = world.context(host)
        await world.loop.create_task(controller.release_duties(), context=context)
        world.crash_controller(index, 60.0)
        took = await until(world, lambda: holder(world, Duty.SCALE_OUT) not in (None, index))
        assert took < 2.0  # the lease alone would have taken five
        submit(world, 1)
        await asyncio.sleep(20.0)

    play(570, day)


def test_without_a_holder_work_waits_and_the_status_names_the_reason() -> None:
    async def day(world: World, history: DutyHistory) -> None:
        world.controller_hosts.operators = {
            i: Operator(duties=DutySettings(hold=[Duty.SCALE_IN])) for i in range(3)
        }
        await world.begin()
        done = submit(world, 1)
        await asyncio.sleep(15.0)
        leader = world.leader()
        assert leader is not None and not world.cloud.provisioned
        status = await world.controllers[leader][1].duties.status()
        renting, returning, *_ = status.duties
        assert (renting.holder, renting.waiting) == (None, "nobody holds the duty")
        assert returning.holder is not None
        # Any other controller says the same.
        for index in range(3):
            host, controller = world.controllers[index]
            work = controller.duties.status()
            other = await world.loop.create_task(work, context=world.context(host))
            assert (other.leader, other.duties) == (status.leader, status.duties)
        # An operator lets one controller hold it.
        world.controller_hosts.operators[0] = ON
        world.crash_controller(0, 0.5)
        await done

    play(580, day)


def test_a_controller_that_has_duties_off_does_not_lead_beside_holders() -> None:
    """The record that duties are on keeps it from leading, through crashes of all others."""

    async def day(world: World, history: DutyHistory) -> None:
        del world.controller_hosts.operators[0]
        await world.begin()
        await asyncio.sleep(3.0)
        world.crash_controller(0, 6.0)  # if it led from before the switch
        await until(world, lambda: all(holder(world, duty) is not None for duty in Duty))
        for _ in range(4):
            for index in (1, 2):
                world.crash_controller(index, 3.0)
            await asyncio.sleep(2.0)
            assert world.leader() != 0
            await asyncio.sleep(4.0)
        await submit(world, 1)

    with virtual_loop(590) as loop:
        # It leads first: only once it has ended, duties are on.
        world = new_world(loop, 590)
        history = DutyHistory(world)
        loop.run_until_complete(day(world, history))
        assert world.broken == []


def test_duties_are_switched_on_and_off_one_controller_after_the_other() -> None:
    """With crashes in between, and work all the time; in the order that operators are given."""

    async def day(world: World, history: DutyHistory) -> None:
        world.controller_hosts.operators = {}
        await world.begin()
        await asyncio.sleep(8.0)
        jobs = [submit(world, number) for number in range(1, 4)]
        for operator in (ON, Operator(duties=DutySettings(mode=Mode.RETIRING)), None):
            for index in range(3):
                if operator is None:
                    world.controller_hosts.operators.pop(index)
                else:
                    world.controller_hosts.operators[index] = operator
                world.crash_controller(index, 1.0)
                await asyncio.sleep(3.0)
                world.crash_controller((index + 1) % 3, 0.3)  # one that crashes on its own
                jobs.append(submit(world, 10 * len(jobs)))
                await asyncio.sleep(5.0)
            if operator is ON:
                await until(world, lambda: all(holder(world, duty) is not None for duty in Duty))
            else:
                await until(world, lambda: "duties/on" not in world.state.data)
                await asyncio.sleep(7.0)
                assert all(holder(world, duty) is None for duty in Duty)
        await asyncio.gather(*jobs)
        assert world.leader() is not None

    with virtual_loop(600) as loop:
        world = new_world(loop, 600)
        history = DutyHistory(world)
        loop.run_until_complete(day(world, history))
        assert world.broken == []
        intents = [fault for fault in history.faults if "without an intent" not in fault]
        assert intents == []
        assert not history.unfinished()


def test_four_thousand_machines_are_deleted_at_once() -> None:
    """Forty deletions for one holder; each is committed before, none twice, none forgotten."""

    async def day(world: World, history: DutyHistory) -> None:
        await settled(world)
        world.cloud.capacity = 5000
        leader = world.leader()
        assert leader is not None
        host, controller = world.controllers[leader]
        kind = {"label": "small", "vcpus": 4, "cards": 0, "ram_gb": 32, "startup_s": 1e6}
        names = [world.cloud.provision(kind, "a", False).name for _ in range(4000)]
        actions = controller.leader.autoscaler.actions

        async def delete_all() -> None:
            for first in range(0, 4000, 100):
                while True:  # as the autoscaler does
                    try:
                        await actions.delete(names[first : first + 100])
                        break
                    except CloudError:
                        await asyncio.sleep(1.0)

        began = world.loop.now
        await world.loop.create_task(delete_all(), context=world.context(host))
        assert set(names) <= history.pending_deletions
        assert not set(names) & world.workers.keys()
        assert world.loop.now - began < 120.0

    play(610, day)


def test_a_thousand_suspensions_in_a_row() -> None:
    """Holders and leaders are suspended at random, some past their leases; some crash."""

    async def day(world: World, history: DutyHistory) -> None:
        rng = random.Random(620)
        busy = Operator(idle_hold_s=1.0, duties=DutySettings())  # machines come and go
        world.controller_hosts.operators = dict.fromkeys(range(5), busy)
        await settled(world)
        jobs = []
        for number in range(1000):
            duty = rng.choice(list(Duty))
            index = rng.choice([holder(world, duty), world.leader(), rng.randrange(5)])
            if index is not None:
                if rng.random() < 0.05:
                    world.crash_controller(index, rng.choice([0.2, 3.0]))
                else:
                    world.freeze_controller(index, rng.choice([0.1, 0.5, 2.0, 7.0]))
            if number % 15 == 0:
                jobs.append(submit(world, 1000 + number, parcels=2))
            await asyncio.sleep(rng.uniform(0.0, 0.6))
        world.troubled_until = world.loop.now
        await asyncio.gather(*jobs)
        assert history.token("renting") + history.token("returning") > 20
        assert history.actions > 20

    play(620, day, 5)


def test_a_holder_without_its_condition_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The model finds a holder whose commits are unconditional."""
    plain = Writer._transaction

    def unconditional(writer: Writer, batch: Any) -> Transaction:
        made = plain(writer, batch)
        if writer.guard.key.startswith("duties/holder/"):
            made.conditions.pop(writer.guard.key)
        return made

    monkeypatch.setattr(Writer, "_transaction", unconditional)
    with virtual_loop(530) as loop:
        world = new_world(loop, 530)
        history = DutyHistory(world)

        async def day() -> None:
            await settled(world)
            index = holder(world, Duty.SCALE_OUT)
            assert index is not None
            held = claim(world, index, Duty.SCALE_OUT)
            executor = world.controllers[index][1].duties.executors[Duty.SCALE_OUT]
            world.freeze_controller(index, 9.0)
            submit(world, 1)
            await asyncio.sleep(8.5)
            held.ownership.lease.until = 1e9
            leader = world.leader()
            assert leader is not None
            lead = world.state.data["lead"]
            late = ActionRequest(
                Duty.SCALE_OUT, held.ownership.holder.token, lead[0]["term"], lead[1],
                provision=ProvisionRequest("r-late-1", "small", "a", False, 1),
            )  # fmt: skip
            host = world.controllers[index][0]
            work = executor.perform(late)
            world.loop.create_task(work, context=world.context(host))
            await asyncio.sleep(6.0)

        loop.run_until_complete(day())
        assert any("does not hold" in fault for fault in history.faults)


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        (6, CRASHES + STORE_FAULTS + CUTS + MACHINE_FAULTS),
        (14, FLAPS),
        (
            16,
            CRASHES + STORE_FAULTS + CUTS + MACHINE_FAULTS + ONE_WAY_CUTS + MESSAGE_COPIES + FLAPS,
        ),
        (18, [*FREEZES, "copies", "outage", "cut_worker"]),
    ],
)
def test_a_day_keeps_the_rules_with_duties_on(seed: int, kinds: list[str]) -> None:
    with virtual_loop(seed) as loop:
        world = new_world(loop, seed)
        history = DutyHistory(world)
        loop.run_until_complete(whole_day(world, kinds))
        assert world.broken == []
        assert history.faults == []
        assert world.starts > 20


def test_what_holds_if_an_older_version_is_left_in() -> None:
    """Operators are told to upgrade all first. One that does not know of duties may lead and act
    by itself; from then on no holder's action is accepted, so there are never two that act."""
    with virtual_loop(630) as loop:
        world = new_world(loop, 630)
        history = DutyHistory(world)
        commit = production.recorded()
        world.controller_hosts.other_versions[0] = lambda wall, rng: production.node(
            commit, controller_text(0), wall, rng
        )

        async def day() -> None:
            await settled_or_old(world)
            for number in range(1, 5):
                before = history.actions
                for index in (1, 2):
                    world.crash_controller(index, 6.0)
                await until(world, lambda: world.leader() == 0)
                led = history.actions
                assert before <= led
                submit(world, number)
                await asyncio.sleep(10.0)
                assert history.actions == led  # while the older one leads
                world.crash_controller(0, 8.0)
                await until(world, lambda: world.leader() in (1, 2))
                submit(world, 10 + number)
                await asyncio.sleep(10.0)
            assert history.actions > 0

        loop.run_until_complete(day())
        assert world.broken == []
        expected = ("without an intent", "does not depend")
        assert [f for f in history.faults if not any(word in f for word in expected)] == []


async def settled_or_old(world: World) -> None:
    """Some controller leads."""
    await world.begin()
    await until(world, lambda: world.leader() is not None)
