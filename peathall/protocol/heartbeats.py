"""Heartbeats of workers and the commands that answer them.

protocol -> here: hall machine, endpoint addr, build type, ward zone, standby spot, tenure epoch,
tick sequence, mandate fencing token, recall_s notice_s, parcel job and task, try attempt,
cause exit reason, kept checkpointed, writ command, leave_s grace.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from peathall.protocol.codec import MalformedError
from peathall.protocol.decode_cache import DecodeCache
from peathall.protocol.fields import Text


class TaskState(Enum):
    """Of a task in a worker's report."""

    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    EXITED = "exited"


class ExitReason(Enum):
    """Why a task has ended."""

    DONE = "done"
    STOPPED = "halted"
    PEER_LOST = "mates_gone"
    GANG_INCOMPLETE = "incomplete"
    ERROR = "error"
    NO_CAPACITY = "full"
    BUSY = "busy"
    UNKNOWN = "unknown"


EXIT_REASONS = {exit_reason.value: exit_reason for exit_reason in ExitReason}


TASK_STATES = {state.value: state for state in TaskState}


class WireTaskStatus(Struct, frozen=True):
    """A task in a report as the protocol writes it."""

    parcel: str
    attempt: int = field(name="try")
    standing: str
    cause: str | None = None
    kept: bool | None = None


class WireHeartbeat(Struct):
    """A report as the protocol writes it."""

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
    """What a report says of one task; shared by all reports that say the same, never changed."""

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
    """A worker's report."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    epoch: int
    sequence: int
    fencing_token: int
    notice_s: float | None
    tasks: list[TaskStatus]


def decode_task_name(name: str) -> tuple[str, int]:
    """Job and number of a task's name."""
    job, _, number = name.rpartition("/")
    return job, int(number)


def encode_task_name(job: str, task: int) -> str:
    """A task's name."""
    return f"{job}/{task}"


def _decode_task_status(item: WireTaskStatus) -> TaskStatus:
    job, task = decode_task_name(item.parcel)
    # An unknown word for an end is taken as an error: the attempt is over.
    state = TASK_STATES.get(item.standing)
    if state is None:
        raise ValueError("no such state of a task")
    exit_reason = (
        EXIT_REASONS.get(item.cause or "", ExitReason.ERROR) if state is TaskState.EXITED else None
    )
    return TaskStatus(job, task, item.attempt, state, exit_reason, bool(item.kept))


# Most of a report says what the one before said: that is not taken apart again.
task_status_cache: DecodeCache[WireTaskStatus, TaskStatus] = DecodeCache(_decode_task_status)


def decode_heartbeat(raw: dict[str, Any]) -> Heartbeat:
    """The report of a check-in; MalformedError if it is none."""
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


def start_command(job: str, task: int, attempt: int) -> dict[str, Any]:
    """An order to start a task."""
    return {"writ": "start", "parcel": encode_task_name(job, task), "try": attempt}


def stop_command(job: str, task: int, attempt: int, grace_s: float) -> dict[str, Any]:
    """An order to stop a task within so many seconds."""
    return {
        "writ": "stop",
        "parcel": encode_task_name(job, task),
        "try": attempt,
        "leave_s": grace_s,
    }


def forget_command(job: str, task: int, attempt: int) -> dict[str, Any]:
    """An order to leave an ended task out of the reports."""
    return {"writ": "forget", "parcel": encode_task_name(job, task), "try": attempt}


def encode_heartbeat_response(fencing_token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of the answer to a report."""
    return {"mandate": fencing_token, "writs": commands}


def encode_commands(
    fencing_token: int, epoch: int, commands: list[dict[str, Any]]
) -> dict[str, Any]:
    """The body of direct orders."""
    return {"mandate": fencing_token, "tenure": epoch, "writs": commands}
