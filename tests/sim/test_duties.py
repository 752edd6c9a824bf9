"""Duties on the virtual clock: one holder acts at a time, whatever crashes, freezes or is
partitioned."""

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
from peathall.operator_config.settings import OperatorSettings
from peathall.store.transaction import Transaction
from peathall.store.writer import Writer
from tests.sim import production
from tests.sim.days import (
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
from tests.sim.days import play_day as whole_day
from tests.sim.duty_checker import SimulatedDutyChecker
from tests.sim.net import VirtualLoop
from tests.sim.sites import controller_settings, controller_text, controller_text_with_next_limits
from tests.sim.world import World

DUTIES_ON = OperatorSettings(duties=DutySettings())


@pytest.fixture(autouse=True)
def silence_logs() -> Iterator[None]:
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    yield


def world_with_duties(loop: VirtualLoop, seed: int, size: int = 3) -> World:
    """A site whose controllers all have duties on."""
    world = World(loop, seed, [controller_settings(i, size) for i in range(size)])
    world.controller_hosts.operators = dict.fromkeys(range(size), DUTIES_ON)
    return world


def holder(world: World, duty: Duty) -> int | None:
    """Index of the controller that the state service names as the holder; None if there is none."""
    record = world.state.data.get(duty.holder_key)
    return None if record is None else int(record[0]["member"].removeprefix("hall-"))


def claim(world: World, index: int, duty: Duty) -> Any:
    """The controller's DutyClaim for the duty."""
    return world.controllers[index][1].duties.claims[duty]


def submit(world: World, number: int, **change: Any) -> asyncio.Task[None]:
    """Submits a job that can run as soon as there are machines."""
    simple_job = draw_job(random.Random(number), number) | {
        "shape": "sweep", "desk": "red", "parcels": 4, "cards": 0.0, "builds": None, "ward": None,
        "together": False, "scatter": False, "run_s": 4.0,
    }  # fmt: skip
    return world.submit(simple_job | change, f"10.9.{number // 250}.{number % 250 + 1}")


async def wait_until(world: World, condition: Callable[[], bool], limit_s: float = 60.0) -> float:
    """Waits until the condition holds, which must be within the limit; returns the time that it
    took."""
    began = world.loop.now
    while not condition():
        assert world.loop.now - began < limit_s, f"the condition did not hold within {limit_s:g} s"
        await asyncio.sleep(0.05)
    return world.loop.now - began


async def wait_until_duties_held(world: World) -> None:
    """Starts the site and waits until all duties have a holder."""
    await world.begin()
    await wait_until(world, lambda: all(holder(world, duty) is not None for duty in Duty))


def run_scenario(
    seed: int, scenario: Callable[[World, SimulatedDutyChecker], Awaitable[None]], size: int = 3
) -> None:
    """Runs the scenario, waits until no action is unfinished, and checks the rules."""
    with virtual_loop(seed) as loop:
        world = world_with_duties(loop, seed, size)
        checker = SimulatedDutyChecker(world)

        async def run() -> None:
            await scenario(world, checker)
            await wait_until(world, lambda: not checker.unfinished())

        loop.run_until_complete(run())
        assert checker.faults == []
        assert world.broken == []


def call_at_step(world: World, index: int, step: str, act: Callable[[str], None]) -> list[str]:
    """Calls `act` with the action's name when the first action at the controller reaches the step;
    returns a list that contains the name from then on."""
    names: list[str] = []

    async def checkpoint(reached: str, name: str) -> None:
        if reached == step and not names:
            names.append(name)
            act(name)
            await asyncio.sleep(0)

    world.controllers[index][1].duties.checkpoint = checkpoint
    return names


def test_holders_other_than_the_leader_act() -> None:
    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        state = world.state
        await wait_until_duties_held(world)
        leader = world.leader()
        holders = {holder(world, duty) for duty in Duty}
        # The duties are distributed over the controllers that do not lead.
        assert leader not in holders and len(holders) == 2
        done = [submit(world, number) for number in range(1, 6)]
        await asyncio.gather(*done)
        await wait_until(world, lambda: not world.workers)  # idle machines were deleted
        assert checker.provisions and checker.pending_deletions
        # Holders also archive jobs, and delete records that are no longer needed.
        await wait_until(
            world, lambda: not any(k.startswith(("live/", "round/")) for k in state.data)
        )
        assert sum(key.startswith("past/") for key in state.data) == 5
        assert min(checker.store_writes["cleanup"], checker.store_writes["reclaiming"]) >= 5

    run_scenario(501, scenario)


@pytest.mark.parametrize("step", ["committed", "carried out"])
@pytest.mark.parametrize("duty", Duty, ids=lambda duty: duty.value)
@pytest.mark.parametrize("pause_s", [0.3, 3.0, 12.0])
def test_a_holder_is_suspended_between_the_steps(duty: Duty, step: str, pause_s: float) -> None:
    """Within its lease it continues. After its lease the successor finishes its actions, and what
    it does when it resumes has no effect."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, duty)
        assert index is not None
        names = call_at_step(
            world, index, step, lambda name: world.freeze_controller(index, pause_s)
        )
        done = [submit(world, number) for number in range(1, 4)]
        await wait_until(world, lambda: bool(names), 120.0)
        await asyncio.sleep(pause_s + 2.0)
        if pause_s > 6.0:
            assert checker.token(duty.value) > 1
        await asyncio.gather(*done)

    run_scenario(510, scenario)


@pytest.mark.parametrize("back_s", [0.2, 4.0])
@pytest.mark.parametrize("with_leader", [False, True])
@pytest.mark.parametrize("step", ["committed", "carried out"])
def test_a_holder_crashes_between_the_steps(step: str, with_leader: bool, back_s: float) -> None:
    """Alone or together with the leader; restarted within a fraction of a second, or later."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None

        def crash(name: str) -> None:
            leader = world.leader()
            world.loop.call_soon(world.crash_controller, index, back_s)
            if with_leader and leader is not None:
                world.loop.call_soon(world.crash_controller, leader, back_s)

        names = call_at_step(world, index, step, crash)
        done = [submit(world, number) for number in range(1, 4)]
        await wait_until(world, lambda: bool(names))
        await asyncio.gather(*done)
        provisioned = [name for name in world.cloud.provisioned if name == names[0]]
        assert provisioned == names  # carried out under its own name

    run_scenario(520, scenario)


def test_the_state_service_refuses_a_suspended_holder_that_resumes() -> None:
    """It is suspended before it commits the intent, and its lease has expired when it resumes."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        ownership = claim(world, index, Duty.SCALE_OUT).ownership
        world.freeze_controller(index, 15.0)
        done = [submit(world, number) for number in range(1, 4)]
        await asyncio.sleep(10.0)
        assert holder(world, Duty.SCALE_OUT) != index
        # The holder takes its lease for valid, so that only the state service can refuse it.
        ownership.lease.until = 1e9
        await asyncio.gather(*done)
        await asyncio.sleep(10.0)

    run_scenario(530, scenario)


@pytest.mark.parametrize("jump_s", [-30.0, 30.0])
def test_a_holder_miscounts_its_lease(jump_s: float) -> None:
    """As after a jump of its monotonic clock: too short, it releases the duty early; too long, the
    state service refuses its transactions."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        claim(world, index, Duty.SCALE_OUT).ownership.lease.until += jump_s
        done = [submit(world, 1)]
        await asyncio.sleep(2.0)
        world.freeze_controller(index, 8.0)
        done += [submit(world, number) for number in range(2, 5)]
        await asyncio.gather(*done)

    run_scenario(540, scenario)


@pytest.mark.parametrize("everywhere", [False, True])
def test_the_state_service_is_unavailable_to_the_holder_or_to_all(everywhere: bool) -> None:
    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        before = checker.token("renting")
        if everywhere:
            world.state.outage(12.0)
        else:
            world.state.refused_until[f"10.0.0.{index + 1}"] = world.loop.now + 12.0
        await asyncio.sleep(3.0)
        assert claim(world, index, Duty.SCALE_OUT).phase is DutyPhase.RENEWAL_UNANSWERED
        done = [submit(world, number) for number in range(1, 4)]
        await asyncio.gather(*done)
        # An outage renews every lease, so the holder keeps the duty; refused alone, it loses it.
        assert (checker.token("renting") == before) is everywhere

    run_scenario(550, scenario)


@pytest.mark.parametrize("carried_out", [True, False])
def test_the_response_to_a_commit_is_lost(carried_out: bool) -> None:
    """Whether it is applied at once or seconds later, its outcome is known before the next step."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        world.state.lost_share, world.state.late_share = (0.3, 0.0) if carried_out else (0.0, 0.3)
        done = [submit(world, number) for number in range(1, 5)]
        await asyncio.sleep(40.0)
        world.state.lost_share = world.state.late_share = 0.0
        await asyncio.gather(*done)

    run_scenario(560, scenario)


def test_a_refused_request_may_be_repeated() -> None:
    """A request is refused if the leader has rewritten its record as a fence since the version for
    the request was read. If the refusal were remembered under the request's name, the deletion
    would be refused for the rest of the term."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, Duty.SCALE_IN)
        assert index is not None
        host, controller = world.controllers[index]
        lead, version, _ = world.state.data["lead"]
        token = checker.token("returning")

        async def send(leader_version: int) -> ActionResult:
            request = ActionRequest(
                Duty.SCALE_IN,
                token,
                lead["term"],
                leader_version,
                deletion=Deletion("d-1", ["m-9"]),
            )
            perform = controller.duties.perform(request)
            result: ActionResult = await world.loop.create_task(
                perform, context=world.context(host)
            )
            return result

        assert (await send(version - 1)).outcome is Outcome.REFUSED
        assert (await send(version)).outcome is Outcome.DONE
        assert (await send(version - 1)).outcome is Outcome.DONE  # the same result again
        assert checker.actions == 1

    run_scenario(567, scenario)


def test_all_controllers_claim_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the pauses before a claim, one claim of each duty succeeds and all others end."""
    for name in ("DUTY_LEADER_PAUSE_S", "DUTY_HELD_PAUSE_S", "CAMPAIGN_JITTER_S"):
        monkeypatch.setattr(f"peathall.constants.{name}", 0.0)

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        await asyncio.sleep(1.0)
        for duty in Duty:
            phases = [claim(world, index, duty).phase for index in range(5)]
            assert phases.count(DutyPhase.HOLDING) == 1
            assert phases.count(DutyPhase.FOLLOWING) == 4
        assert {checker.token(duty.value) for duty in Duty} == {1}
        await submit(world, 1)

    run_scenario(565, scenario, 5)


@pytest.mark.parametrize("duty", [Duty.SCALE_OUT, Duty.SCALE_IN], ids=lambda duty: duty.value)
def test_a_delayed_request_reaches_the_cloud_after_the_successors_request(duty: Duty) -> None:
    """The network delays the holder's request to the cloud until long after the successor has
    repeated it: both have the same name, so the late one has no effect."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, duty)
        assert index is not None
        ip = f"10.0.0.{index + 1}"

        def delay_request(name: str) -> None:
            cut(world, [(ip, "10.2.0.2")], 20.0)
            world.loop.call_later(0.5, world.freeze_controller, index, 10.0)

        names = call_at_step(world, index, "committed", delay_request)
        done = [submit(world, number) for number in range(1, 4)]
        await wait_until(world, lambda: bool(names), 120.0)
        await asyncio.sleep(25.0)
        assert holder(world, duty) != index
        await asyncio.gather(*done)

    run_scenario(566, scenario)


@pytest.mark.parametrize("at_s", [9.0, 14.0, 20.0])
def test_the_limits_fall_between_the_steps(at_s: float) -> None:
    """To the smallest limits that a site may have, which the settings announce."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        world.settings[:] = [parse(controller_text_with_next_limits(i)) for i in range(3)]
        world.state.slow_share = 0.2
        await wait_until_duties_held(world)
        done = [submit(world, number) for number in range(1, 9)]
        await asyncio.sleep(at_s - world.loop.now)
        world.state.value_kb, world.state.txn_ops = 2.0, 4
        world.state.rate_limits = (200.0, 30.0)
        await asyncio.gather(*done)
        await asyncio.sleep(20.0)
        assert world.state.refused == 0

    run_scenario(568, scenario)


def test_a_controller_that_stops_releases_its_duties_at_once() -> None:
    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        index = holder(world, Duty.SCALE_OUT)
        assert index is not None
        host, controller = world.controllers[index]
        context = world.context(host)
        await world.loop.create_task(controller.release_duties(), context=context)
        world.crash_controller(index, 60.0)
        took = await wait_until(world, lambda: holder(world, Duty.SCALE_OUT) not in (None, index))
        assert took < 2.0  # the lease would expire after 5 s
        submit(world, 1)
        await asyncio.sleep(20.0)

    run_scenario(570, scenario)


def test_without_a_holder_work_waits_and_the_status_names_the_reason() -> None:
    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        world.controller_hosts.operators = {
            i: OperatorSettings(duties=DutySettings(hold=[Duty.SCALE_IN])) for i in range(3)
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
        # Every controller reports the same.
        for index in range(3):
            host, controller = world.controllers[index]
            request = controller.duties.status()
            other = await world.loop.create_task(request, context=world.context(host))
            assert (other.leader, other.duties) == (status.leader, status.duties)
        # An operator allows one controller to hold the duty.
        world.controller_hosts.operators[0] = DUTIES_ON
        world.crash_controller(0, 0.5)
        await done

    run_scenario(580, scenario)


def test_a_controller_that_has_duties_off_does_not_lead_while_duties_are_on() -> None:
    """The record `duties/on` prevents it, even when all other controllers crash."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        del world.controller_hosts.operators[0]
        await world.begin()
        await asyncio.sleep(3.0)
        world.crash_controller(0, 6.0)  # in case it became leader before duties were on
        await wait_until(world, lambda: all(holder(world, duty) is not None for duty in Duty))
        for _ in range(4):
            for index in (1, 2):
                world.crash_controller(index, 3.0)
            await asyncio.sleep(2.0)
            assert world.leader() != 0
            await asyncio.sleep(4.0)
        await submit(world, 1)

    with virtual_loop(590) as loop:
        # Controller 0 may lead at first and act without duties, which are on only after it has
        # crashed: only the site's rules are checked.
        world = world_with_duties(loop, 590)
        checker = SimulatedDutyChecker(world)
        loop.run_until_complete(scenario(world, checker))
        assert world.broken == []


def test_duties_are_switched_on_and_off_by_a_rolling_restart() -> None:
    """With crashes in between and under load; the modes follow each other as operators are told."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        world.controller_hosts.operators = {}
        await world.begin()
        await asyncio.sleep(8.0)
        jobs = [submit(world, number) for number in range(1, 4)]
        for operator in (
            DUTIES_ON,
            OperatorSettings(duties=DutySettings(mode=Mode.RETIRING)),
            None,
        ):
            for index in range(3):
                if operator is None:
                    world.controller_hosts.operators.pop(index)
                else:
                    world.controller_hosts.operators[index] = operator
                world.crash_controller(index, 1.0)
                await asyncio.sleep(3.0)
                world.crash_controller((index + 1) % 3, 0.3)  # an unplanned crash
                jobs.append(submit(world, 10 * len(jobs)))
                await asyncio.sleep(5.0)
            if operator is DUTIES_ON:
                await wait_until(
                    world, lambda: all(holder(world, duty) is not None for duty in Duty)
                )
            else:
                await wait_until(world, lambda: "duties/on" not in world.state.data)
                await asyncio.sleep(7.0)
                assert all(holder(world, duty) is None for duty in Duty)
        await asyncio.gather(*jobs)
        assert world.leader() is not None

    with virtual_loop(600) as loop:
        world = world_with_duties(loop, 600)
        checker = SimulatedDutyChecker(world)
        loop.run_until_complete(scenario(world, checker))
        assert world.broken == []
        intents = [fault for fault in checker.faults if "without an intent" not in fault]
        assert intents == []
        assert not checker.unfinished()


def test_four_thousand_machines_are_deleted_at_once() -> None:
    """One holder carries out 40 deletions; each intent is committed first, no machine is left."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        await wait_until_duties_held(world)
        world.cloud.capacity = 5000
        leader = world.leader()
        assert leader is not None
        host, controller = world.controllers[leader]
        kind = {"label": "small", "vcpus": 4, "cards": 0, "ram_gb": 32, "startup_s": 1e6}
        names = [world.cloud.provision(kind, "a", False).name for _ in range(4000)]
        actions = controller.leader.autoscaler.actions

        async def delete_all() -> None:
            for first in range(0, 4000, 100):
                while True:  # repeats a request that failed, as the autoscaler does
                    try:
                        await actions.delete(names[first : first + 100])
                        break
                    except CloudError:
                        await asyncio.sleep(1.0)

        began = world.loop.now
        await world.loop.create_task(delete_all(), context=world.context(host))
        assert set(names) <= checker.pending_deletions
        assert not set(names) & world.workers.keys()
        assert world.loop.now - began < 120.0

    run_scenario(610, scenario)


@pytest.mark.parametrize("announced", [True, False])
def test_an_intent_is_divided_until_it_is_within_the_limit_of_a_value(announced: bool) -> None:
    """Regression: an intent with the names of 100 machines was refused under a limit of 1 KiB, and
    its leader repeated it for ever; no machine was deleted any more."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        if announced:
            texts = [controller_text_with_next_limits(i) for i in range(3)]
            world.settings[:] = [
                parse(text.replace("value_kb = 2.0", "value_kb = 1.0")) for text in texts
            ]
        await wait_until_duties_held(world)
        world.state.value_kb = 1.0
        world.cloud.capacity = 200
        leader = world.leader()
        assert leader is not None
        host, controller = world.controllers[leader]
        kind = {"label": "small", "vcpus": 4, "cards": 0, "ram_gb": 32, "startup_s": 1e6}
        names = [world.cloud.provision(kind, "a", False).name for _ in range(100)]
        delete = controller.leader.autoscaler.actions.delete(names)
        await world.loop.create_task(delete, context=world.context(host))
        assert set(names) <= checker.pending_deletions
        assert not set(names) & world.workers.keys()
        if not announced:  # the first, which is too large, is refused
            assert [broken.split()[1] for broken in world.broken] == ["limits:"]
            world.broken.clear()

    run_scenario(611, scenario)


def test_a_thousand_random_suspensions_and_crashes() -> None:
    """Holders and leaders are suspended at random, some until after their leases; some crash."""

    async def scenario(world: World, checker: SimulatedDutyChecker) -> None:
        rng = random.Random(620)
        # With a short hold time machines are deleted and provisioned all the time.
        short_hold = OperatorSettings(idle_hold_s=1.0, duties=DutySettings())
        world.controller_hosts.operators = dict.fromkeys(range(5), short_hold)
        await wait_until_duties_held(world)
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
        world.grace_until = world.loop.now
        await asyncio.gather(*jobs)
        assert checker.token("renting") + checker.token("returning") > 20
        assert checker.actions > 20

    run_scenario(620, scenario, 5)


def test_the_checker_detects_unconditional_commits_of_a_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The holder's transactions do not depend on its record, and it takes its lease for valid."""
    original = Writer._transaction

    def unconditional(writer: Writer, batch: Any) -> Transaction:
        transaction = original(writer, batch)
        if writer.guard.key.startswith("duties/holder/"):
            transaction.conditions.pop(writer.guard.key)
        return transaction

    monkeypatch.setattr(Writer, "_transaction", unconditional)
    with virtual_loop(530) as loop:
        world = world_with_duties(loop, 530)
        checker = SimulatedDutyChecker(world)

        async def scenario() -> None:
            await wait_until_duties_held(world)
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
            late_request = ActionRequest(
                Duty.SCALE_OUT, held.ownership.holder.token, lead[0]["term"], lead[1],
                provision=ProvisionRequest("r-late-1", "small", "a", False, 1),
            )  # fmt: skip
            host = world.controllers[index][0]
            perform = executor.perform(late_request)
            world.loop.create_task(perform, context=world.context(host))
            await asyncio.sleep(6.0)

        loop.run_until_complete(scenario())
        assert any("does not hold" in fault for fault in checker.faults)


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
        world = world_with_duties(loop, seed)
        checker = SimulatedDutyChecker(world)
        loop.run_until_complete(whole_day(world, kinds))
        assert world.broken == []
        assert checker.faults == []
        assert world.starts > 20


def test_an_older_version_and_holders_never_act_at_the_same_time() -> None:
    """Operators are told to upgrade all controllers before duties are on. A controller of an older
    version, which does not know duties, may still become leader and act on the cloud itself. From
    then on no holder's action is accepted, since it depends on the leader that requested it."""
    with virtual_loop(630) as loop:
        world = world_with_duties(loop, 630)
        checker = SimulatedDutyChecker(world)
        commit = production.deployed_commit()
        world.controller_hosts.other_versions[0] = lambda wall, rng: production.make_controller(
            commit, controller_text(0), wall, rng
        )

        async def scenario() -> None:
            await wait_for_leader(world)
            for number in range(1, 5):
                before = checker.actions
                for index in (1, 2):
                    world.crash_controller(index, 6.0)
                await wait_until(world, lambda: world.leader() == 0)
                actions_before = checker.actions
                assert before <= actions_before
                submit(world, number)
                await asyncio.sleep(10.0)
                assert checker.actions == actions_before  # while the older version leads
                world.crash_controller(0, 8.0)
                await wait_until(world, lambda: world.leader() in (1, 2))
                submit(world, 10 + number)
                await asyncio.sleep(10.0)
            assert checker.actions > 0

        loop.run_until_complete(scenario())
        assert world.broken == []
        expected = ("without an intent", "does not depend")
        assert [f for f in checker.faults if not any(word in f for word in expected)] == []


async def wait_for_leader(world: World) -> None:
    """Starts the site and waits until a controller leads."""
    await world.begin()
    await wait_until(world, lambda: world.leader() is not None)
