"""A leader's term from recovery to its end, and the phases of a controller in leader election."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from peathall import constants
from peathall.config.modes import Mode
from peathall.config.platform import parse
from peathall.duties.disabled import NoDuties
from peathall.duties.duties import Duties
from peathall.duties.gate import DutyGate
from peathall.duties.model import Duty
from peathall.duties.settings import DutySettings
from peathall.duties.term import TermDuties
from peathall.jobs.responses import RETRY_LATER
from peathall.leader.context import ControllerContext
from peathall.leader.phase import LeaderPhase
from peathall.leader.term import Leader
from peathall.leadership.election import Election, ElectionPhase
from peathall.leadership.lease import HeldLease
from peathall.leadership.term import LeaderTerm
from peathall.operator_config.settings import OperatorSettings
from peathall.placement.rounds import ROUND_PREFIX
from peathall.protocol.state_service import KeyValue, WatchEvent
from peathall.store.errors import StoreError
from peathall.store.transaction import GuardKey
from tests.unit.running import run
from tests.unit.test_protocol_format import SETTINGS, operator_with_cells
from tests.unit.test_stored_format import LEASE_ID, RecordingStore, wait_until

TERM = 7


class SilentCloud:
    """Stands in for the cloud provider, and never answers."""

    def __getattr__(self, name: str) -> Callable[..., Any]:
        async def call(*args: Any) -> None:
            await asyncio.Event().wait()

        return call


class UnreliableStore(RecordingStore):
    """Fails the first `failures` scans."""

    def __init__(self, failures: int) -> None:
        super().__init__()
        self.failures = failures
        self.scanned: list[str] = []

    async def scan(self, prefix: str, *args: Any) -> Any:
        self.scanned.append(prefix)
        if self.failures > 0:
            self.failures -= 1
            raise StoreError("no answer")
        return await super().scan(prefix, *args)


class FakeLeadership:
    """A leader lease, valid until the test sets `valid` to False or the leader steps down."""

    def __init__(self) -> None:
        self.valid = True

    def is_leader(self) -> bool:
        return self.valid

    def step_down(self) -> None:
        self.valid = False


def make_leader(
    store: Any, operator: OperatorSettings | None = None, duties: Duties | None = None
) -> tuple[Leader, FakeLeadership]:
    cloud: Any = SilentCloud()
    leadership = FakeLeadership()
    context = ControllerContext(
        settings=parse(SETTINGS),
        operator=operator or OperatorSettings(),
        store=store,
        cloud=cloud,
        leadership=leadership,
        heartbeats_elsewhere=dict,
        wall=lambda: 5.0,
        rng=random.Random(1),
        duties=duties,
    )
    now = asyncio.get_running_loop().time()
    term = LeaderTerm(
        TERM,
        GuardKey("lead", {}, 3, LEASE_ID),
        LEASE_ID,
        HeldLease(constants.LEADER_LEASE_TTL_S, now),
        duties is not None,
    )
    return Leader(term, context), leadership


def make_duties(store: Any) -> Duties:
    async def send(*args: Any) -> Any:
        raise AssertionError

    return Duties(
        parse(SETTINGS), DutySettings(), store, send,
        lambda: True, lambda: 5.0, random.Random(1),
    )  # fmt: skip


@asynccontextmanager
async def serving(leader: Leader) -> AsyncIterator[None]:
    task = asyncio.create_task(leader.run())
    try:
        while leader.phase is not LeaderPhase.SERVING:
            assert not task.done(), task
            await asyncio.sleep(0.01)
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("with_cells", [False, True])
@pytest.mark.parametrize("with_duties", [False, True])
def test_leader_recovers_serves_and_ends_all_its_tasks(with_cells: bool, with_duties: bool) -> None:
    async def test() -> None:
        store = UnreliableStore(failures=0)
        duties = make_duties(store) if with_duties else None
        leader, _ = make_leader(store, operator_with_cells() if with_cells else None, duties)
        assert leader.phase is LeaderPhase.RECOVERING
        assert not leader.is_active()
        assert (leader.cells is not None) is with_cells
        assert isinstance(leader.duties, TermDuties if with_duties else NoDuties)
        assert (leader.duties.cloud is not None) is with_duties
        async with serving(leader):
            assert leader.is_active()
            assert ("handoff/" in store.scanned) is with_cells
            assert (Duty.SCALE_IN.action_prefix in store.scanned) is with_duties
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert leader.phase is LeaderPhase.OVER
        assert not leader.is_active()
        assert await leader.query("j-1") == RETRY_LATER
        assert asyncio.all_tasks() == {asyncio.current_task()}

    run(test)


def test_recovery_restarts_after_a_failed_read(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        store = UnreliableStore(failures=1)
        leader, _ = make_leader(store)
        with caplog.at_level(logging.INFO, "peathall.leader"):
            async with serving(leader):
                assert store.scanned[:3] == ["types", "types", "live/"]
                assert leader.is_active()

    run(test)
    assert [record.getMessage() for record in caplog.records] == [
        "leader: term 7 not recovered, reading the records again: no answer",
        "leader: serving term 7: 0 jobs, 0 machines recovered",
    ]


def test_other_tasks_run_while_a_leader_loads_many_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: the load did not yield. If it took longer than the lease, no term ever served,
    since the lease was not renewed meanwhile (review/4)."""
    record_count = 50
    monkeypatch.setattr(constants, "RECOVERY_SLICE_S", -1.0)  # each record takes longer

    class StoreWithRounds(RecordingStore):
        async def scan(self, prefix: str, *args: Any) -> Any:
            if prefix != ROUND_PREFIX:
                return await super().scan(prefix, *args)
            records = [KeyValue(f"{prefix}1-{n}", {"a": []}, 1) for n in range(record_count)]
            return records, 1

    async def test() -> None:
        leader, _ = make_leader(StoreWithRounds())
        turns = 0
        task = asyncio.create_task(leader.run())
        while leader.phase is not LeaderPhase.SERVING:
            await asyncio.sleep(0)
            turns += 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert turns > record_count

    run(test)


def test_leader_without_a_valid_lease_serves_no_requests() -> None:
    async def test() -> None:
        leader, leadership = make_leader(RecordingStore())
        heartbeat: Any = None
        async with serving(leader):
            leadership.valid = False
            assert leader.phase is LeaderPhase.SERVING
            assert not leader.is_active()
            assert await leader.query("j-1") == RETRY_LATER
            assert await leader.cancel("j-1") == RETRY_LATER
            assert await leader.handle_heartbeat(heartbeat) == (503, None)

    run(test)


# --- election ------------------------------------------------------------
@asynccontextmanager
async def campaigning(store: Any, lead: Callable[[LeaderTerm], Any]) -> AsyncIterator[Election]:
    gate = DutyGate(store, Mode.OFF)
    election = Election("hall-1", store, lead, random.Random(1), gate)
    task = asyncio.create_task(election.run())
    try:
        yield election
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_leader_that_resigns_revokes_its_lease_and_backs_off(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def lead(term: LeaderTerm) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        store = RecordingStore()
        async with campaigning(store, lead) as election:
            await wait_until(election.is_leader)
            await election.resign("a reason")
            assert not election.is_leader()
            assert store.revoked_leases == [LEASE_ID]
            await wait_until(lambda: election.phase is ElectionPhase.BACKOFF)
            assert election.leader_term is None
        assert asyncio.all_tasks() == {asyncio.current_task()}

    with caplog.at_level(logging.INFO, "peathall.leadership"):
        run(test)
    assert [record.getMessage() for record in caplog.records] == [
        "leadership: FOLLOWER -> CANDIDATE",
        "leadership: CANDIDATE -> LEADER",
        "leadership: leading in term 1",
        "leadership: resigning term 1: a reason",
        "leadership: LEADER -> FOLLOWER",
        "leadership: no longer leading in term 1",
        "leadership: FOLLOWER -> BACKOFF",
    ]


def test_controller_whose_term_fails_revokes_its_lease_and_backs_off() -> None:
    async def lead(term: LeaderTerm) -> None:
        raise RuntimeError("a fault")

    async def test() -> None:
        store = RecordingStore()
        async with campaigning(store, lead) as election:
            await wait_until(lambda: election.phase is ElectionPhase.BACKOFF)
            assert store.revoked_leases == [LEASE_ID]
            assert not election.is_leader()

    run(test)


def test_a_follower_watches_a_leader_key_that_is_older_than_the_changes_that_are_kept() -> None:
    """Regression: it read the key and watched from its version in a loop. That took all of its
    requests, so that it answered no poll while other controllers refused it (review/5)."""
    key_version, present = 3, 20_000
    leader_record = {"member": "hall-2", "term": 4, "lease": 9}

    class StoreWithManyChanges(RecordingStore):
        def __init__(self) -> None:
            super().__init__()
            self.requests: list[str] = []
            self.changed = asyncio.Event()

        async def get(self, key: str, *args: Any, **named: Any) -> KeyValue | None:
            self.requests.append("get")
            return None if self.changed.is_set() else KeyValue(key, leader_record, key_version)

        async def scan(self, prefix: str, *args: Any) -> Any:
            self.requests.append("scan")
            return [KeyValue("lead", leader_record, key_version)], present

        async def watch(self, prefix: str, after: int) -> Any:
            self.requests.append(f"watch {after}")
            if after < present - 10_000:
                await asyncio.sleep(0)
                return None
            await self.changed.wait()
            return present + 1, [WatchEvent("lead", present + 1, deleted=True)]

    async def lead(term: LeaderTerm) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        store = StoreWithManyChanges()
        async with campaigning(store, lead) as election:
            await asyncio.sleep(0.1)
            assert store.requests == ["get", "watch 3", "scan", "watch 20000"]
            assert election.leader == "hall-2"
            store.changed.set()
            await wait_until(lambda: store.requests.count("get") == 2)

    run(test)
