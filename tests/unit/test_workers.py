"""Heartbeats and their answers: acknowledgement, delayed copies, epochs, and commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from peathall import constants
from peathall.autoscaling.autoscaler import Autoscaler
from peathall.cluster.job import Attempt, AttemptPhase, Job, JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import (
    CloudSettings,
    Params,
    StateSettings,
    Team,
    WorkerSettings,
)
from peathall.leadership.lease import fencing_token, first_number_of_term
from peathall.placement.placement import Placement
from peathall.placement.rounds import RoundRecords
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
from peathall.protocol.state_service import Delete, KeyValue
from peathall.store.writer import Writer
from peathall.workers.delivery import DeliveryLimits
from peathall.workers.events import IgnoredEvents
from peathall.workers.image_cache import ImageCacheRecords
from peathall.workers.workers import Workers
from tests.unit.test_planner import spec
from tests.unit.test_store import leader_guard

MACHINE_TYPE = MachineType("g", 8.0, 0.0, 16.0, 50.0, 1.0, 10.0, 3.0, 30.0, ["a"])
TERM = 5


def make_heartbeat(
    epoch: int, seq: int, seen: int, tasks: list[TaskStatus] | None = None, machine: str = "m-1"
) -> Heartbeat:
    return Heartbeat(machine, "10.1.0.1:9", "g", "a", False, epoch, seq, seen, None, tasks or [])


def running_status(attempt: Attempt) -> TaskStatus:
    return TaskStatus(attempt.job.spec.id, 0, attempt.number, TaskState.RUNNING, None, False)


class RoundListener:
    """Deletes the records of finished rounds, as a leader does."""

    def __init__(self) -> None:
        self.records: RoundRecords | None = None  # set once the placement exists

    def round_finished(self, key: str) -> None:
        if self.records is not None:
            self.records.delete(key)

    def capacity_freed(self) -> None:
        pass


def new_cluster() -> tuple[ClusterState, RoundListener]:
    listener = RoundListener()
    return ClusterState(TERM, first_number_of_term(TERM), listener), listener


def new_workers(now: float) -> Workers:
    """The workers of a leader whose failover was at `now` and whose leader lease is valid."""
    cluster, _ = new_cluster()
    cluster.types = {"g": MACHINE_TYPE}
    settings = WorkerSettings(5.0, 24.0, 40.0, 4.0, 40.0)
    return Workers(cluster, settings, now, lambda: True, IgnoredEvents(), DeliveryLimits(9))


class ActiveLeader:
    """Stands in for an active leader; ignores changes of the cluster state."""

    def is_active(self) -> bool:
        return True

    def state_changed(self) -> None:
        pass


def new_autoscaler(
    workers: Workers, cloud: Any, writer: Any = None, idle_hold_s: float = 1e6
) -> Autoscaler:
    """An autoscaler, which by default never deletes idle machines."""
    params = Params(workers.settings, StateSettings(9, 9, 8, 9), CloudSettings(4, 4), [Team("t")])
    return Autoscaler(workers.cluster, params, cloud, writer, workers, ActiveLeader(), idle_hold_s)


def new_placement(workers: Workers, writer: Any) -> Placement:
    """The placement of an active leader, with one team that has no limits."""
    state = StateSettings(100.0, 50.0, 2.0, 4)
    params = Params(workers.settings, state, CloudSettings(4.0, 4.0), [Team("t")])
    demand: Any = SimpleNamespace(note_unplaced=lambda plan: None)
    placement = Placement(
        workers.cluster, params, writer, workers, lambda: 0.0, lambda: True, [demand]
    )
    listener: Any = workers.cluster.listener
    listener.records = placement.rounds
    return placement


def run_test(test: Callable[[Workers], None]) -> None:
    async def run() -> None:
        test(new_workers(0.0))

    asyncio.run(run())


def add_confirmed_machine(workers: Workers) -> Machine:
    """A confirmed machine: its second heartbeat has shown a fencing token of this term."""
    workers.handle_heartbeat(make_heartbeat(1, 1, 0), 1.0)
    workers.tick(2.0)
    workers.handle_heartbeat(make_heartbeat(1, 2, workers.lowest_fencing_token), 6.0)
    return workers.cluster.machines["m-1"]


def add_sent_attempt(workers: Workers, number: int) -> Attempt:
    """An attempt on m-1 whose start command was sent."""
    job = workers.cluster.jobs["j-1"] = Job(spec(id="j-1"))
    machine = workers.cluster.machine("m-1", "g", "a", False, MachinePhase.RECOVERED, 0.0)
    attempt = workers.cluster.allocate(job, 0, number, machine, "round/1")
    attempt.enter(AttemptPhase.SENT, 0.0)
    return attempt


def test_a_machine_that_does_not_acknowledge_answers_takes_no_new_work() -> None:
    def test(workers: Workers) -> None:
        machine = add_confirmed_machine(workers)
        assert machine.is_schedulable
        workers.tick(7.0)
        assert (
            workers.handle_heartbeat(make_heartbeat(1, 3, workers.fencing_token - 1), 11.0)[0]
            == 200
        )
        assert machine.is_schedulable  # it has received the answer to its previous heartbeat
        answered = workers.fencing_token
        workers.tick(12.0)
        workers.handle_heartbeat(make_heartbeat(1, 4, answered - 1), 17.0)
        assert not machine.is_schedulable
        assert machine.unacknowledged_since == 11.0
        # The epoch rises since the worker's lease expired; that alone acknowledges no answer.
        workers.handle_heartbeat(make_heartbeat(2, 5, answered - 1), 35.0)
        assert not machine.is_schedulable
        workers.tick(36.0)
        workers.handle_heartbeat(make_heartbeat(2, 6, workers.fencing_token), 40.0)
        assert machine.is_schedulable

    run_test(test)


def test_a_leader_whose_answers_are_lost_while_others_get_heartbeats_is_partitioned() -> None:
    def test(workers: Workers) -> None:
        machine = add_confirmed_machine(workers)
        workers.tick(7.0)
        workers.health.heartbeats_elsewhere = lambda: {"m-1": (1, 3)}
        assert not workers.health.is_partitioned(7.0)
        workers.handle_heartbeat(make_heartbeat(1, 4, 0), 8.0)
        assert machine.unacknowledged_since == 6.0
        assert not workers.health.is_partitioned(
            8.0
        )  # the heartbeat to the other controller is older
        workers.health.heartbeats_elsewhere = lambda: {"m-1": (1, 5)}
        assert workers.health.is_partitioned(8.0)

    run_test(test)


def test_a_delayed_copy_of_a_heartbeat_renews_no_lease() -> None:
    def test(workers: Workers) -> None:
        machine = add_confirmed_machine(workers)
        attempt = add_sent_attempt(workers, workers.cluster.new_attempt_number())
        workers.handle_heartbeat(
            make_heartbeat(1, 3, workers.fencing_token, [running_status(attempt)]), 10.0
        )
        for copy in (
            make_heartbeat(1, 2, workers.fencing_token),
            make_heartbeat(1, 3, workers.fencing_token),
            make_heartbeat(0, 9, 0),
        ):
            assert workers.handle_heartbeat(copy, 30.0) == (503, None)
        assert (machine.lease_renewed_at, machine.last_heard) == (10.0, 10.0)
        assert attempt.phase is AttemptPhase.RUNNING
        workers.tick(10.0 + workers.settings.lease_expiry_s + 0.1)
        assert attempt.phase is AttemptPhase.GONE
        workers.machine_gone(machine, 40.0, "deleted")
        assert workers.handle_heartbeat(make_heartbeat(1, 9, workers.fencing_token), 41.0) == (
            503,
            None,
        )
        assert not workers.cluster.machines

    run_test(test)


def test_a_delayed_heartbeat_of_an_earlier_epoch_that_arrives_first_releases_no_attempt() -> None:
    """A new leader has no earlier heartbeat to compare it with; the current one arrives later."""

    def test(workers: Workers) -> None:
        attempt = add_sent_attempt(workers, first_number_of_term(TERM - 1) + 1)  # runs in epoch 2
        workers.handle_heartbeat(make_heartbeat(1, 9, fencing_token(TERM - 1, 3)), 1.0)
        assert attempt.phase is AttemptPhase.SENT
        workers.handle_heartbeat(
            make_heartbeat(2, 12, fencing_token(TERM - 1, 8), [running_status(attempt)]), 2.0
        )
        assert attempt.phase is AttemptPhase.RUNNING
        # Reported in epoch 2, the attempt is gone in epoch 3, whatever the fencing token.
        workers.handle_heartbeat(make_heartbeat(3, 20, fencing_token(TERM - 1, 8)), 30.0)
        assert attempt.phase is AttemptPhase.GONE

    run_test(test)


def test_a_stopped_attempt_is_gone_only_once_its_direct_start_cannot_arrive() -> None:
    def test(workers: Workers) -> None:
        machine = add_confirmed_machine(workers)
        job = workers.cluster.jobs["j-1"] = Job(spec(id="j-1"))
        number = workers.cluster.new_attempt_number()
        attempt = workers.cluster.allocate(job, 0, number, machine, "round/1")
        attempt.enter(AttemptPhase.INTENDED, 6.0)
        message = workers.commands_due(machine)
        assert message is not None
        assert [command["writ"] for command in message["writs"]] == ["start"]
        workers.stop(attempt, 0.0, 7.0)
        sent_token = workers.fencing_token
        workers.tick(8.0)
        workers.handle_heartbeat(make_heartbeat(1, 3, sent_token), 11.0)
        assert attempt.phase is AttemptPhase.SENT  # the worker may still carry out the start
        workers.handle_heartbeat(make_heartbeat(1, 4, workers.fencing_token), 16.0)
        assert attempt.phase is AttemptPhase.GONE  # the worker refuses the start from now on
        workers.close()

    run_test(test)


def test_unknown_tasks_are_stopped_with_every_answer() -> None:
    def test(workers: Workers) -> None:
        add_confirmed_machine(workers)
        unknown = TaskStatus(
            "j-9", 3, workers.lowest_fencing_token + 7, TaskState.RUNNING, None, False
        )
        stop = {
            "writ": "stop",
            "parcel": "j-9/3",
            "try": workers.lowest_fencing_token + 7,
            "leave_s": 0.0,
        }
        for sequence in (3, 4):
            heartbeat = make_heartbeat(1, sequence, workers.fencing_token, [unknown])
            response = workers.handle_heartbeat(heartbeat, 5.0 * sequence)
            assert response.status == 200
            assert response.body == {"mandate": workers.fencing_token, "writs": [stop]}
        response = workers.handle_heartbeat(make_heartbeat(1, 5, workers.fencing_token), 25.0)
        assert response.body == {"mandate": workers.fencing_token, "writs": []}

    run_test(test)


def test_an_exit_is_forgotten_once_its_start_cannot_arrive() -> None:
    def test(workers: Workers) -> None:
        add_confirmed_machine(workers)
        number = (
            workers.lowest_fencing_token + 7
        )  # of this term, but no longer in the cluster state
        ended = TaskStatus("j-9", 3, number, TaskState.EXITED, ExitReason.ERROR, False)
        forget = {"writ": "forget", "parcel": "j-9/3", "try": number}
        token = workers.fencing_token
        response = workers.handle_heartbeat(make_heartbeat(1, 3, token, [ended]), 7.0)
        assert response.body == {"mandate": token, "writs": []}
        workers.tick(8.0)
        response = workers.handle_heartbeat(make_heartbeat(1, 4, token, [ended]), 11.0)
        assert response.body == {"mandate": workers.fencing_token, "writs": [forget]}

    run_test(test)


def test_deferrable_commands_are_sent_directly_only_within_their_rate_limit() -> None:
    def test(workers: Workers) -> None:
        machines = []
        for number in range(3 * int(constants.DEFERRABLE_COMMANDS_PER_S)):
            workers.handle_heartbeat(make_heartbeat(1, 1, 0, machine=f"m-{number}"), 1.0)
            machines.append(workers.cluster.machines[f"m-{number}"])
        for machine in machines:
            workers.delivery.push(machine, deferrable=True)
        assert len(workers.delivery.requests_in_flight) == constants.DEFERRABLE_COMMANDS_PER_S
        for machine in machines:
            workers.delivery.push(machine)
        assert len(workers.delivery.requests_in_flight) == len(machines)
        workers.close()

    run_test(test)


def test_an_unchanged_task_status_is_skipped_but_its_change_or_absence_is_applied() -> None:
    def test(workers: Workers) -> None:
        machine = add_confirmed_machine(workers)
        attempt = add_sent_attempt(workers, workers.cluster.new_attempt_number())
        wire = {"parcel": "j-1/0", "try": attempt.number, "standing": "running"}
        raw = {"hall": "m-1", "endpoint": "10.1.0.1:9", "build": "g", "ward": "a", "tenure": 1}

        def receive(seq: int, parcels: list[dict[str, object]]) -> None:
            message = raw | {"tick": seq, "mandate": workers.fencing_token, "parcels": parcels}
            workers.handle_heartbeat(decode_heartbeat(message), float(seq))

        for seq in (11, 12, 13):
            receive(seq, [dict(wire)])
            assert attempt.phase is AttemptPhase.RUNNING
            assert list(machine.attempts.values()) == [attempt]
        receive(14, [wire | {"standing": "flushing"}])
        assert attempt.phase is AttemptPhase.CHECKPOINTING
        receive(15, [])
        assert attempt.phase is AttemptPhase.GONE

    run_test(test)


def test_machines_that_acknowledge_nothing_or_fall_silent_are_deleted() -> None:
    def test(workers: Workers) -> None:
        autoscaler = new_autoscaler(workers, None)

        def to_delete(now: float) -> list[str]:
            return [m.name for m in autoscaler.scale_in.machines_to_delete(now)]

        machine = add_confirmed_machine(workers)  # its latest answer was given at 6 s
        for number in range(2, 6):  # others, so that this leader is not partitioned
            for seq, at in ((1, 1.0), (2, 6.0)):
                workers.handle_heartbeat(
                    make_heartbeat(1, seq, workers.fencing_token, machine=f"m-{number}"), at
                )
        workers.tick(7.0)
        workers.handle_heartbeat(make_heartbeat(1, 9, 0, machine="m-9"), 8.0)
        workers.handle_heartbeat(make_heartbeat(1, 3, 0), 8.0)
        assert machine.unacknowledged_since == 6.0
        for now in range(8, 20):
            workers.tick(now)
            for other in workers.cluster.machines.values():
                if other.name != "m-9":
                    other.last_heard = now
        assert to_delete(20.0) == []
        assert to_delete(21.0) == ["m-1"]  # unacknowledged for more than lost_after_s()
        # m-9 sent only one heartbeat, with an old fencing token, and counts as lost once silent.
        assert to_delete(23.0) == ["m-1", "m-9"]

    run_test(test)


def test_cached_images_of_many_machines_share_few_records_and_are_restored() -> None:
    """Regression: with one record for each machine, a new image that all machines fetched cost
    hundreds of writes. With too few images in a record, machines fetched them again after a
    failover."""

    async def run() -> None:
        store = StateSettings(100.0, 50.0, 8.0, 12)
        writer = Writer(None, store, leader_guard(), lambda: True, lambda: None)  # type: ignore[arg-type]
        workers = new_workers(0.0)
        caches = ImageCacheRecords(workers.cluster, writer)
        for number in range(900):
            machine = workers.cluster.machine(f"m-{number}", "g", "a", False, MachinePhase.UP, 0.0)
            for image in range(20):
                machine.images[f"img-{image:02d}"] = 1.0 + image / 7
            caches.schedule_write(machine)
        records = [make() for make in writer.deferred.factories.values()]
        assert len(records) == constants.IMAGE_CACHE_RECORDS
        restored = ImageCacheRecords(
            workers.cluster, Writer(None, store, leader_guard(), lambda: True, lambda: None)
        )  # type: ignore[arg-type]
        puts = [op for change in records if change is not None for op in change.ops]
        assert all(json_size(op.value) <= 8 * 1024 for op in puts)  # type: ignore[union-attr]
        restored.load([KeyValue(op.key, op.value, 7) for op in puts])  # type: ignore[union-attr]
        for number in range(900):
            machine = workers.cluster.machines[f"m-{number}"]
            machine.images.clear()
            restored.restore(machine)
            assert "img-19" in machine.images  # the most recently used
            assert len(machine.images) >= 12

    asyncio.run(run())


@pytest.mark.parametrize("machines", [1, 60, 130, 1000])
@pytest.mark.parametrize("value_limit", [200, 1740])
def test_a_record_of_cached_images_is_within_the_limit_however_many_machines_it_has(
    machines: int, value_limit: int
) -> None:
    """Regression: a record that was written under a larger limit and names more machines than a
    value may have ended the writer, and with it the term of every leader, at the next write."""

    async def run() -> None:
        factories: dict[str, Any] = {}
        writer: Any = SimpleNamespace(
            versions={}, value_limit=value_limit, defer=factories.__setitem__
        )
        cluster = new_cluster()[0]
        names = [f"m-{number:020d}" for number in range(machines)]
        machine = cluster.machine(names[0], "g", "a", False, MachinePhase.UP, 0.0)
        caches = ImageCacheRecords(cluster, writer)
        caches.schedule_write(machine)
        (key,) = factories
        images = [[f"img-{number:03d}", 3.5] for number in range(6)]
        caches.load([KeyValue(key, {"machines": dict.fromkeys(names, images)}, 7)])
        (op,) = factories[key]().ops
        assert isinstance(op, Delete) or json_size(op.value) <= value_limit
        stored = {} if isinstance(op, Delete) else op.value["machines"]
        assert all(images[-len(kept) :] == kept for kept in stored.values())  # the latest
        if machines * 45 < value_limit - 15:
            assert stored.keys() == set(names)

    asyncio.run(run())


def test_answers_carry_at_most_as_many_commands_as_a_message_may_hold() -> None:
    """With hundreds of small tasks on one machine, the next answer carries the remaining starts."""

    async def run() -> None:
        workers = new_workers(0.0)
        workers.handle_heartbeat(make_heartbeat(1, 1, 0), 1.0)
        workers.tick(2.0)
        workers.handle_heartbeat(make_heartbeat(1, 2, workers.lowest_fencing_token), 6.0)
        machine = workers.cluster.machines["m-1"]
        job = workers.cluster.jobs["j-123456"] = Job(spec(id="j-123456", tasks=9999, cpus=0.001))
        view = MachineView("m-1", "g", "a", False, (8.0, 0.0, 16.0), (8.0, 0.0, 16.0))
        assert (
            view.capacity_for(spec(tasks=9999, cpus=0.001, ram=0.0)) == constants.MACHINE_TASKS_MAX
        )
        number = workers.cluster.new_attempt_number()
        for task in range(9000, 9000 + constants.MACHINE_TASKS_MAX + 50):
            workers.cluster.allocate(job, task, number, machine, "r").enter(
                AttemptPhase.INTENDED, 6.0
            )
        commands = []
        for seq in (3, 4):
            workers.tick(4.0 + seq)
            seen = [
                TaskStatus(x["parcel"][:8], int(x["parcel"][9:]), x["try"], TaskState.RUNNING,
                           None, False)
                for x in commands
            ]  # fmt: skip
            answer = workers.handle_heartbeat(
                make_heartbeat(1, seq, workers.fencing_token, seen), 5.0 + seq
            )[1]
            assert answer is not None
            assert json_size(answer) < 60 * 1024
            commands += answer["writs"]
        assert len({x["parcel"] for x in commands}) == constants.MACHINE_TASKS_MAX + 50
        assert workers.reported_task_count(machine) == constants.MACHINE_TASKS_MAX + 50

    asyncio.run(run())


def test_a_replica_is_never_done_and_its_task_is_pending_again() -> None:
    """This holds even for the exit reason DONE. On a draining machine a replica runs until capacity
    for its replacement is reserved; see tests/unit/test_placement.py."""

    def test(workers: Workers) -> None:
        now = workers.loop.time()
        machine = add_confirmed_machine(workers)
        job = workers.cluster.jobs["j-1"] = Job(spec(tasks=2, daemon=True), now)
        first, second = (
            workers.cluster.allocate(
                job, task, workers.lowest_fencing_token + 1, machine, "round/1"
            )
            for task in (0, 1)
        )
        for attempt in (first, second):
            attempt.enter(AttemptPhase.RUNNING, now)
        ended = TaskStatus(
            "j-1", 0, workers.lowest_fencing_token + 1, TaskState.EXITED, ExitReason.DONE, False
        )
        exited = workers.exit_handler.handle(machine, ended, first, None, now)
        assert (len(job.done), job.phase, exited.done) == (0, JobPhase.ACTIVE, False)
        assert list(job.pending) == [0] and list(job.attempts) == [1]
        workers.quarantine(machine, "unhealthy")
        assert machine.phase is MachinePhase.DRAINING
        assert not second.stopping

    run_test(test)
