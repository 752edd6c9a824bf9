"""What reports prove and what they don't: deaf machines, late copies, sessions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import orjson

from peathall import constants
from peathall.autoscaling.autoscaler import Autoscaler
from peathall.cluster.job import Attempt, AttemptPhase, Job, JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import (
    CloudSettings,
    Params,
    Peer,
    StateSettings,
    Team,
    WorkerSettings,
)
from peathall.http.message import Request
from peathall.leadership.lease import fencing_token, first_attempt
from peathall.peers.service import Peers
from peathall.placement.service import Placement
from peathall.placement.views import MachineView
from peathall.protocol.cloud import MachineType
from peathall.protocol.codec import json_size
from peathall.protocol.heartbeats import (
    ExitReason,
    Heartbeat,
    TaskState,
    TaskStatus,
    decode_heartbeat,
)
from peathall.store.client import KeyValue
from peathall.store.writer import Writer
from peathall.workers.delivery import DeliveryLimits
from peathall.workers.events import IgnoredEvents
from peathall.workers.image_cache import ImageCacheRecords
from peathall.workers.workers import Workers
from tests.unit.test_planner import spec
from tests.unit.test_store import lead

KIND = MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 10.0, 3.0, 30.0, ["a"])
TERM = 5


def report(
    epoch: int, seq: int, seen: int, tasks: list[TaskStatus] | None = None, machine: str = "m-1"
) -> Heartbeat:
    return Heartbeat(machine, "10.1.0.1:9", "g", "a", False, epoch, seq, seen, None, tasks or [])


def running(attempt: Attempt) -> TaskStatus:
    return TaskStatus(attempt.job.spec.id, 0, attempt.number, TaskState.RUNNING, None, False)


def new_workers(now: float) -> Workers:
    """Those of a leader that took over at this time and may act."""
    cluster = ClusterState(TERM, first_attempt(TERM))
    cluster.types = {"g": KIND}
    settings = WorkerSettings(5.0, 24.0, 40.0, 4.0, 40.0)
    return Workers(cluster, settings, now, lambda: True, IgnoredEvents(), DeliveryLimits(9))


def new_fleet(workers: Workers, cloud: Any) -> Autoscaler:
    """Idle machines are held for ever, unless a test says otherwise; nothing is written."""
    params = Params(workers.settings, StateSettings(9, 9, 8, 9), CloudSettings(4, 4), [Team("t")])
    writer: Any = None
    return Autoscaler(
        workers.cluster, params, cloud, writer, workers, lambda: True, lambda: None, 1e6
    )


def new_placement(workers: Workers, writer: Any) -> Placement:
    """Rounds of a leader that may act, for a team without limits."""
    state = StateSettings(100.0, 50.0, 2.0, 4)
    params = Params(workers.settings, state, CloudSettings(4.0, 4.0), [Team("t")])
    demand: Any = SimpleNamespace(note_unplaced=lambda plan: None)
    return Placement(workers.cluster, params, writer, workers, lambda: 0.0, lambda: True, [demand])


def lone_peers() -> Peers:
    async def handle(message: dict[str, object]) -> tuple[int, object]:
        return 200, None

    return Peers([Peer("hall-1", "a", "10.0.0.2:1")], handle, lambda: False)


def play(test: Callable[[Workers], None]) -> None:
    async def run() -> None:
        test(new_workers(0.0))

    asyncio.run(run())


def known(workers: Workers) -> Machine:
    """A machine that has reported twice and shown our token."""
    workers.handle_heartbeat(report(1, 1, 0), 1.0)
    workers.tick(2.0)
    workers.handle_heartbeat(report(1, 2, workers.base), 6.0)
    return workers.cluster.machines["m-1"]


def booked(workers: Workers, number: int) -> Attempt:
    job = workers.cluster.jobs["j-1"] = Job(spec(id="j-1"))
    machine = workers.cluster.machine("m-1", "g", "a", False, MachinePhase.RECOVERED, 0.0)
    attempt = workers.cluster.allocate(job, 0, number, machine, "round/1")
    attempt.enter(AttemptPhase.SENT, 0.0)
    return attempt


def test_a_machine_that_reports_but_gets_nothing_takes_no_new_work() -> None:
    def test(workers: Workers) -> None:
        machine = known(workers)
        assert machine.is_schedulable
        workers.tick(7.0)
        assert workers.handle_heartbeat(report(1, 3, workers.fencing_token - 1), 11.0)[0] == 200
        assert machine.is_schedulable  # it has seen the answer to its last report
        answered = workers.fencing_token
        workers.tick(12.0)
        workers.handle_heartbeat(report(1, 4, answered - 1), 17.0)
        assert not machine.is_schedulable
        assert machine.unacknowledged_since == 11.0
        # Its session rises, since its lease ended; that alone makes it no better.
        workers.handle_heartbeat(report(2, 5, answered - 1), 35.0)
        assert not machine.is_schedulable
        workers.tick(36.0)
        workers.handle_heartbeat(report(2, 6, workers.fencing_token), 40.0)
        assert machine.is_schedulable

    play(test)


def test_when_most_machines_are_deaf_it_is_our_own_trouble() -> None:
    def test(workers: Workers) -> None:
        machine = known(workers)
        workers.tick(7.0)
        workers.health.elsewhere = lambda: {"m-1": (1, 3)}
        assert not workers.health.is_partitioned(7.0)
        workers.handle_heartbeat(report(1, 4, 0), 8.0)
        assert machine.unacknowledged_since == 6.0
        assert not workers.health.is_partitioned(8.0)  # what it sent elsewhere was before that
        workers.health.elsewhere = lambda: {"m-1": (1, 5)}
        assert workers.health.is_partitioned(8.0)

    play(test)


def test_a_late_copy_is_no_answer_and_no_sign_of_life() -> None:
    def test(workers: Workers) -> None:
        machine = known(workers)
        attempt = booked(workers, workers.cluster.new_attempt_number())
        workers.handle_heartbeat(report(1, 3, workers.fencing_token, [running(attempt)]), 10.0)
        for copy in (
            report(1, 2, workers.fencing_token),
            report(1, 3, workers.fencing_token),
            report(0, 9, 0),
        ):
            assert workers.handle_heartbeat(copy, 30.0) == (503, None)
        assert (machine.lease_renewed_at, machine.last_heard) == (10.0, 10.0)
        assert attempt.phase is AttemptPhase.RUNNING
        workers.tick(10.0 + workers.settings.lease_expiry_s + 0.1)
        assert attempt.phase is AttemptPhase.GONE
        workers.machine_gone(machine, 40.0, "deleted")
        assert workers.handle_heartbeat(report(1, 9, workers.fencing_token), 41.0) == (503, None)
        assert not workers.cluster.machines

    play(test)


def test_a_copy_of_an_ended_session_that_comes_first_frees_nothing() -> None:
    """After a take-over there is nothing to compare it with; the real report follows."""

    def test(workers: Workers) -> None:
        attempt = booked(workers, first_attempt(TERM - 1) + 1)  # ran in session 2 all along
        workers.handle_heartbeat(report(1, 9, fencing_token(TERM - 1, 3)), 1.0)
        assert attempt.phase is AttemptPhase.SENT
        workers.handle_heartbeat(report(2, 12, fencing_token(TERM - 1, 8), [running(attempt)]), 2.0)
        assert attempt.phase is AttemptPhase.RUNNING
        # Seen in session 2, it is gone in session 3, whatever token that shows.
        workers.handle_heartbeat(report(3, 20, fencing_token(TERM - 1, 8)), 30.0)
        assert attempt.phase is AttemptPhase.GONE

    play(test)


def test_a_copy_of_a_report_is_no_sign_of_life() -> None:
    async def run() -> None:
        peers = lone_peers()
        peers.note_redirected("m-1", (1, 7), 0.0)
        assert peers.recently_redirected(1.0) == {"m-1": (1, 7)}
        peers.note_redirected("m-1", (1, 7), 20.0)
        peers.note_redirected("m-1", (1, 5), 20.0)
        assert peers.recently_redirected(21.0) == {}
        peers.note_redirected("m-1", (2, 1), 22.0)
        assert peers.recently_redirected(23.0) == {"m-1": (2, 1)}

    asyncio.run(run())


def test_orders_that_may_wait_go_out_directly_only_while_few_do() -> None:
    def test(workers: Workers) -> None:
        machines = []
        for number in range(3 * int(constants.DEFERRABLE_COMMANDS)):
            workers.handle_heartbeat(report(1, 1, 0, machine=f"m-{number}"), 1.0)
            machines.append(workers.cluster.machines[f"m-{number}"])
        for machine in machines:
            workers.delivery.push(machine, deferrable=True)
        assert len(workers.delivery.under_way) == constants.DEFERRABLE_COMMANDS
        for machine in machines:
            workers.delivery.push(machine)
        assert len(workers.delivery.under_way) == len(machines)
        workers.close()

    play(test)


def test_however_many_machines_report_elsewhere_all_are_named() -> None:
    """A ping once named 500 at most: the other live machines looked silent and were deleted."""

    async def run() -> None:
        peers = lone_peers()
        for number in range(970):
            peers.note_redirected(f"m-{number}", (1, 7), peers.loop.time())
        asked = await peers.serve(Request("GET", "/ping", "knocks", b""))
        assert len(orjson.loads(asked.body)["knocks"]) == 970
        plain = await peers.serve(Request("GET", "/ping", "", b""))
        assert "knocks" not in orjson.loads(plain.body)  # of use to a leader only

    asyncio.run(run())


def test_what_a_report_says_again_is_taken_as_said() -> None:
    """Unchanged tasks are passed over; their absence, or a change, is still noticed."""

    def test(workers: Workers) -> None:
        machine = known(workers)
        attempt = booked(workers, workers.cluster.new_attempt_number())
        wire = {"parcel": "j-1/0", "try": attempt.number, "standing": "running"}
        raw = {"hall": "m-1", "endpoint": "10.1.0.1:9", "build": "g", "ward": "a", "tenure": 1}

        def hear(seq: int, parcels: list[dict[str, object]]) -> None:
            said = raw | {"tick": seq, "mandate": workers.fencing_token, "parcels": parcels}
            workers.handle_heartbeat(decode_heartbeat(said), float(seq))

        for seq in (11, 12, 13):
            hear(seq, [dict(wire)])
            assert attempt.phase is AttemptPhase.RUNNING
            assert list(machine.attempts.values()) == [attempt]
        hear(14, [wire | {"standing": "flushing"}])
        assert attempt.phase is AttemptPhase.CHECKPOINTING
        hear(15, [])
        assert attempt.phase is AttemptPhase.GONE

    play(test)


def test_machines_that_hear_nothing_or_are_only_late_copies_are_returned() -> None:
    def test(workers: Workers) -> None:
        fleet = new_fleet(workers, None)

        def returned(now: float) -> list[str]:
            return [m.name for m in fleet._to_delete(now)]

        machine = known(workers)  # its last answer left at 6 s
        for number in range(2, 6):  # others, so that the fault is not ours
            for seq, at in ((1, 1.0), (2, 6.0)):
                workers.handle_heartbeat(
                    report(1, seq, workers.fencing_token, machine=f"m-{number}"), at
                )
        workers.tick(7.0)
        workers.handle_heartbeat(report(1, 9, 0, machine="m-9"), 8.0)
        workers.handle_heartbeat(report(1, 3, 0), 8.0)
        assert machine.unacknowledged_since == 6.0
        for now in range(8, 20):
            workers.tick(now)
            for other in workers.cluster.machines.values():
                if other.name != "m-9":
                    other.last_heard = now
        assert returned(20.0) == []
        assert returned(21.0) == ["m-1"]  # deaf for more than lost_s()
        # One report and no more, under an old mandate: silent, then not there at all.
        assert returned(23.0) == ["m-1", "m-9"]

    play(test)


def test_the_caches_of_many_machines_share_few_records_and_are_recalled() -> None:
    """One record for each machine cost hundreds of changes when a new image came to all; a
    record that kept too few images of each had them fetched again after a take-over."""

    async def run() -> None:
        store = StateSettings(100.0, 50.0, 8.0, 12)
        writer = Writer(None, store, lead(), lambda: True, lambda: None)  # type: ignore[arg-type]
        workers = new_workers(0.0)
        caches = ImageCacheRecords(workers.cluster, writer)
        for number in range(900):
            machine = workers.cluster.machine(f"m-{number}", "g", "a", False, MachinePhase.UP, 0.0)
            for image in range(20):
                machine.images[f"img-{image:02d}"] = 1.0 + image / 7
            caches.changed(machine)
        records = [make() for make in writer.spare.values()]
        assert len(records) == constants.CACHE_RECORDS
        later = ImageCacheRecords(
            workers.cluster, Writer(None, store, lead(), lambda: True, lambda: None)
        )  # type: ignore[arg-type]
        puts = [op for change in records if change is not None for op in change.ops]
        assert all(json_size(op.value) <= 8 * 1024 for op in puts)  # type: ignore[union-attr]
        later.load([KeyValue(op.key, op.value, 7) for op in puts])  # type: ignore[union-attr]
        for number in range(900):
            machine = workers.cluster.machines[f"m-{number}"]
            machine.images.clear()
            later.recall(machine)
            assert "img-19" in machine.images  # the latest of all
            assert len(machine.images) >= 12

    asyncio.run(run())


def test_a_machine_has_no_more_tasks_than_a_report_has_room_for() -> None:
    """Hundreds of tiny tasks on one machine, and as many ends not yet forgotten."""

    async def run() -> None:
        workers = new_workers(0.0)
        workers.handle_heartbeat(report(1, 1, 0), 1.0)
        workers.tick(2.0)
        workers.handle_heartbeat(report(1, 2, workers.base), 6.0)
        machine = workers.cluster.machines["m-1"]
        job = workers.cluster.jobs["j-123456"] = Job(spec(id="j-123456", tasks=9999, cpus=0.001))
        view = MachineView("m-1", "g", "a", False, (8.0, 0.0, 16.0), (8.0, 0.0, 16.0))
        assert view.fits(spec(tasks=9999, cpus=0.001, ram=0.0)) == constants.MACHINE_TASKS
        number = workers.cluster.new_attempt_number()
        for task in range(9000, 9000 + constants.MACHINE_TASKS + 50):
            workers.cluster.allocate(job, task, number, machine, "r").enter(
                AttemptPhase.INTENDED, 6.0
            )
        told = []
        for seq in (3, 4):
            workers.tick(4.0 + seq)
            seen = [
                TaskStatus(x["parcel"][:8], int(x["parcel"][9:]), x["try"], TaskState.RUNNING,
                           None, False)
                for x in told
            ]  # fmt: skip
            answer = workers.handle_heartbeat(
                report(1, seq, workers.fencing_token, seen), 5.0 + seq
            )[1]
            assert answer is not None
            assert json_size(answer) < 60 * 1024
            told += answer["writs"]
        assert len({x["parcel"] for x in told}) == constants.MACHINE_TASKS + 50
        assert workers.reported_task_count(machine) == constants.MACHINE_TASKS + 50

    asyncio.run(run())


def test_a_replica_is_never_done_and_runs_again() -> None:
    """Whatever a report says of its end. On a machine that is to be emptied it runs on until its
    next place is booked (tests/unit/test_placement.py)."""

    def test(workers: Workers) -> None:
        now = workers.loop.time()
        machine = known(workers)
        job = workers.cluster.jobs["j-1"] = Job(spec(tasks=2, daemon=True), now)
        first, second = (
            workers.cluster.allocate(job, task, workers.base + 1, machine, "round/1")
            for task in (0, 1)
        )
        for attempt in (first, second):
            attempt.enter(AttemptPhase.RUNNING, now)
        ended = TaskStatus("j-1", 0, workers.base + 1, TaskState.EXITED, ExitReason.DONE, False)
        told = workers.exit_handler.handle(machine, ended, first, None, now)
        assert (len(job.done), job.phase, told.done) == (0, JobPhase.ACTIVE, False)
        assert list(job.pending) == [0] and list(job.attempts) == [1]
        workers.quarantine(machine, "sick")
        assert machine.phase is MachinePhase.DRAINING
        assert not second.stopping

    play(test)
