"""Heartbeats of workers, and the commands that the leader answers them with.

===============  ==================================================
protocol         here
===============  ==================================================
hall             machine
endpoint         addr
build            type
ward             zone
standby          spot
tenure           epoch
tick             sequence
mandate          fencing token
recall_s         notice_s
parcels          tasks
parcel           task name, `job/number`
try              attempt
standing         state, see `TaskState`
cause            exit reason, see `ExitReason`
kept             checkpointed
writs, writ      commands, kind of command
leave_s          grace_s
steward          leader, see `encode_redirect`
===============  ==================================================
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from peathall.protocol.codec import MalformedError
from peathall.protocol.decode_cache import DecodeCache
from peathall.protocol.fields import Text

HEARTBEAT_PATH = "/checkin"  # of a controller: a worker's heartbeat
COMMANDS_PATH = "/commands"  # of a worker: commands that do not wait for its next heartbeat


class TaskState(Enum):
    """State of a task on its machine; the values are the protocol's words."""

    FETCHING = "pulling"  # its image is being downloaded
    WAITING = "waiting"  # a task of a gang, ready, until all others are ready too
    RUNNING = "running"
    CHECKPOINTING = "flushing"  # saves its progress before it stops
    EXITED = "exited"


class ExitReason(Enum):
    """Why a task has ended; the values are the protocol's words."""

    DONE = "done"  # it succeeded
    STOPPED = "halted"  # by a stop command
    PEER_LOST = "mates_gone"  # another task of its gang ended
    GANG_INCOMPLETE = "incomplete"  # its gang did not become complete in time
    ERROR = "error"  # it failed by itself
    NO_CAPACITY = "full"  # the start was rejected: the machine has too little free
    BUSY = "busy"  # the start was rejected: another attempt of the task is still there
    UNKNOWN = "unknown"  # the start was rejected: the worker does not know the job


EXIT_REASONS = {exit_reason.value: exit_reason for exit_reason in ExitReason}


TASK_STATES = {state.value: state for state in TaskState}


class WireTaskStatus(Struct, frozen=True):
    """An item of a heartbeat's `parcels`, with the protocol's field names; hashable, since it is
    the key of `task_status_cache`."""

    parcel: str  # job/task
    attempt: int = field(name="try")
    standing: str  # TaskState
    cause: str | None = None  # ExitReason, of an exited task
    kept: bool | None = None  # whether its progress was saved before it ended


class WireHeartbeat(Struct):
    """The body of a heartbeat, with the protocol's field names and bounds."""

    hall: Text
    tenure: Annotated[int, Meta(ge=0)]
    tick: Annotated[int, Meta(ge=0)]
    endpoint: str = ""
    build: str = ""
    ward: str = ""
    standby: bool = False
    mandate: int = 0
    recall_s: float | None = None
    parcels: list[WireTaskStatus] = []


class TaskStatus:
    """What a heartbeat says of one task. Immutable by convention: all heartbeats that say the same
    share one object (see `task_status_cache`), so that identity tells that nothing has changed."""

    __slots__ = ("attempt", "checkpointed", "exit_reason", "job", "key", "state", "task")

    def __init__(
        self,
        job: str,
        task: int,
        attempt: int,
        state: TaskState,
        exit_reason: ExitReason | None,
        checkpointed: bool,
    ) -> None:
        self.job = job
        self.task = task
        self.key = (job, task)
        self.attempt = attempt
        self.state = state
        self.exit_reason = exit_reason
        self.checkpointed = checkpointed


class Heartbeat(Struct):
    """A worker's report with the status of all its tasks."""

    machine: str
    addr: str  # host:port at which the worker takes commands; empty if it is not known
    type: str
    zone: str
    spot: bool
    epoch: int  # incarnation of the worker: rises when its lease expires
    sequence: int  # number of the heartbeat within its epoch
    fencing_token: int  # the highest that the worker has seen
    notice_s: float | None  # s until the cloud takes the machine back, if that was announced
    tasks: list[TaskStatus]


def decode_task_name(name: str) -> tuple[str, int]:
    """Job id and task number of a task's name; ValueError if it is not one."""
    job, _, number = name.rpartition("/")
    return job, int(number)


def _decode_task_status(item: WireTaskStatus) -> TaskStatus:
    job, task = decode_task_name(item.parcel)
    state = TASK_STATES.get(item.standing)
    if state is None:
        raise ValueError("no such state of a task")
    # An exit reason that is not known here counts as an error: the attempt is over in any case.
    exit_reason = (
        EXIT_REASONS.get(item.cause or "", ExitReason.ERROR) if state is TaskState.EXITED else None
    )
    return TaskStatus(job, task, item.attempt, state, exit_reason, bool(item.kept))


# Most items of a heartbeat are equal to those of the heartbeat before: they are not decoded again.
task_status_cache: DecodeCache[WireTaskStatus, TaskStatus] = DecodeCache(_decode_task_status)


def decode_heartbeat(raw: dict[str, Any]) -> Heartbeat:
    """The heartbeat in a request's body; MalformedError if it is invalid."""
    try:
        wire = msgspec.convert(raw, WireHeartbeat)
        tasks = [task_status_cache(item) for item in wire.parcels]
    except (msgspec.ValidationError, ValueError) as exc:
        raise MalformedError(str(exc)) from None
    return Heartbeat(
        machine=wire.hall,
        addr=wire.endpoint,
        type=wire.build,
        zone=wire.ward,
        spot=wire.standby,
        epoch=wire.tenure,
        sequence=wire.tick,
        fencing_token=wire.mandate,
        notice_s=wire.recall_s,
        tasks=tasks,
    )


class StartCommand(Struct, frozen=True, gc=False):
    """Start an attempt of a task."""

    job: str
    task: int
    attempt: int

    def encode(self) -> dict[str, Any]:
        """The command as the protocol writes it."""
        return {
            "writ": "start",
            "parcel": f"{self.job}/{self.task}",
            "try": self.attempt,
        }


class StopCommand(Struct, frozen=True, gc=False):
    """Stop an attempt of a task, which may take `grace_s` seconds to save its progress."""

    job: str
    task: int
    attempt: int
    grace_s: float

    def encode(self) -> dict[str, Any]:
        """The command as the protocol writes it."""
        return {
            "writ": "stop",
            "parcel": f"{self.job}/{self.task}",
            "try": self.attempt,
            "leave_s": self.grace_s,
        }


class ForgetCommand(Struct, frozen=True, gc=False):
    """Leave an ended attempt out of the heartbeats from now on."""

    job: str
    task: int
    attempt: int

    def encode(self) -> dict[str, Any]:
        """The command as the protocol writes it."""
        return {
            "writ": "forget",
            "parcel": f"{self.job}/{self.task}",
            "try": self.attempt,
        }


Command = StartCommand | StopCommand | ForgetCommand


def encode_heartbeat_response(fencing_token: int, commands: Sequence[Command]) -> dict[str, Any]:
    """The body of the response to a heartbeat."""
    # Mostly there is nothing to do, and in CPython 3.11 a comprehension costs a call.
    encoded = [command.encode() for command in commands] if commands else []
    return {"mandate": fencing_token, "writs": encoded}


def encode_commands(fencing_token: int, epoch: int, commands: Sequence[Command]) -> dict[str, Any]:
    """The body of a request that brings commands to a worker of this epoch."""
    encoded = [command.encode() for command in commands]
    return {"mandate": fencing_token, "tenure": epoch, "writs": encoded}


def encode_redirect(leader_name: str) -> dict[str, Any]:
    """The body of the response of a controller that does not lead: which one does."""
    return {"steward": leader_name}
