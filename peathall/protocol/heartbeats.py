"""Heartbeats of workers, and the commands that the leader sends in response.

===============  ==================================================
on the wire      in this program
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

HEARTBEAT_PATH = "/checkin"  # on a controller: heartbeats of workers
COMMANDS_PATH = "/commands"  # on a worker: commands that do not wait for its next heartbeat


class TaskState(Enum):
    """State of a task on its machine; the values are those of the wire."""

    FETCHING = "pulling"  # its image is being downloaded
    WAITING = "waiting"  # ready to run, until all tasks of its gang are ready
    RUNNING = "running"
    CHECKPOINTING = "flushing"  # saving its progress before it stops
    EXITED = "exited"


class ExitReason(Enum):
    """Why a task has ended; the values are those of the wire."""

    DONE = "done"  # succeeded
    STOPPED = "halted"  # by a stop command
    PEER_LOST = "mates_gone"  # another task of its gang ended
    GANG_INCOMPLETE = "incomplete"  # not all tasks of its gang became ready in time
    ERROR = "error"  # failed by itself
    NO_CAPACITY = "full"  # the start was rejected: too few free resources on the machine
    BUSY = "busy"  # the start was rejected: another attempt of the task is still present
    UNKNOWN = "unknown"  # the start was rejected: the worker does not know the job


EXIT_REASONS = {exit_reason.value: exit_reason for exit_reason in ExitReason}


TASK_STATES = {state.value: state for state in TaskState}


class WireTaskStatus(Struct, frozen=True):
    """An item of a heartbeat's `parcels`, with the field names of the wire; hashable, since it is
    a key of `task_status_cache`."""

    parcel: str  # job/task
    attempt: int = field(name="try")
    standing: str  # TaskState
    cause: str | None = None  # ExitReason, of an exited task
    kept: bool | None = None  # its progress was saved before it ended


class WireHeartbeat(Struct):
    """The body of a heartbeat, with the field names of the wire and their bounds."""

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
    """Status of one task in a heartbeat. Immutable by convention: heartbeats with an equal status
    share one object (see `task_status_cache`), so an unchanged status is recognised by identity."""

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
    addr: str  # host:port at which the worker accepts commands; empty if not known
    type: str
    zone: str
    spot: bool
    epoch: int  # incarnation of the worker: rises when its lease expires
    sequence: int  # number of the heartbeat within its epoch
    fencing_token: int  # the highest that the worker has received
    notice_s: float | None  # s until the cloud reclaims the machine; None without such a notice
    tasks: list[TaskStatus]


def decode_task_name(name: str) -> tuple[str, int]:
    """Split a task name into job id and task number; ValueError if it is not a task name."""
    job, _, number = name.rpartition("/")
    return job, int(number)


def _decode_task_status(item: WireTaskStatus) -> TaskStatus:
    job, task = decode_task_name(item.parcel)
    state = TASK_STATES.get(item.standing)
    if state is None:
        raise ValueError("no such state of a task")
    # An unknown exit reason is taken for an error, since the attempt has ended in any case.
    exit_reason = (
        EXIT_REASONS.get(item.cause or "", ExitReason.ERROR) if state is TaskState.EXITED else None
    )
    return TaskStatus(job, task, item.attempt, state, exit_reason, bool(item.kept))


# Most items of a heartbeat equal those of the previous one, and need not be decoded again.
task_status_cache: DecodeCache[WireTaskStatus, TaskStatus] = DecodeCache(_decode_task_status)


def decode_heartbeat(raw: dict[str, Any]) -> Heartbeat:
    """Decode the body of a heartbeat; MalformedError if it is invalid."""
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
    """Stop an attempt of a task. The task has `grace_s` seconds to save its progress."""

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
    """Omit an ended attempt from future heartbeats."""

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
    # Usually there are no commands, and in CPython 3.11 even an empty comprehension costs a call.
    encoded = [command.encode() for command in commands] if commands else []
    return {"mandate": fencing_token, "writs": encoded}


def encode_commands(fencing_token: int, epoch: int, commands: Sequence[Command]) -> dict[str, Any]:
    """The body of a request that sends commands to a worker in this epoch."""
    encoded = [command.encode() for command in commands]
    return {"mandate": fencing_token, "tenure": epoch, "writs": encoded}


def encode_redirect(leader_name: str) -> dict[str, Any]:
    """The body of a follower's response to a heartbeat: it names the leader to the worker."""
    return {"steward": leader_name}
