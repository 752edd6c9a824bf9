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
from peathall.protocol.decode_cache import RecentlyRead
from peathall.protocol.fields import Text


class TaskState(Enum):
    """Of a task in a worker's report."""

    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "exited"


class Why(Enum):
    """Why a task has ended."""

    DONE = "done"
    STOPPED = "halted"
    PEERS = "mates_gone"
    ALONE = "incomplete"
    ERROR = "error"
    NO_ROOM = "full"
    BUSY = "busy"
    UNKNOWN = "unknown"


WHY = {why.value: why for why in Why}


STATE = {state.value: state for state in TaskState}


class WireTask(Struct, frozen=True):
    """A task in a report as the protocol writes it."""

    parcel: str
    attempt: int = field(name="try")
    standing: str
    cause: str | None = None
    kept: bool | None = None


class WireReport(Struct):
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
    parcels: list[WireTask] = []


class TaskReport:
    """What a report says of one task; shared by all reports that say the same, never changed."""

    __slots__ = ("attempt", "job", "key", "saved", "state", "task", "why")

    def __init__(
        self, job: str, task: int, attempt: int, state: TaskState, why: Why | None, saved: bool
    ) -> None:
        self.job = job
        self.task = task
        self.key = (job, task)
        self.attempt = attempt
        self.state = state
        self.why = why
        self.saved = saved


class Report(Struct):
    """A worker's report."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    fencing_token: int
    notice_s: float | None
    tasks: list[TaskReport]


def task_from_wire(name: str) -> tuple[str, int]:
    """Job and number of a task's name."""
    job, _, number = name.rpartition("/")
    return job, int(number)


def task_to_wire(job: str, task: int) -> str:
    """A task's name."""
    return f"{job}/{task}"


def _read_task(item: WireTask) -> TaskReport:
    job, task = task_from_wire(item.parcel)
    # An unknown word for an end is taken as an error: the attempt is over.
    state = STATE.get(item.standing)
    if state is None:
        raise ValueError("no such state of a task")
    why = WHY.get(item.cause or "", Why.ERROR) if state is TaskState.EXITED else None
    return TaskReport(job, task, item.attempt, state, why, bool(item.kept))


# Most of a report says what the one before said: that is not taken apart again.
task_reports: RecentlyRead[WireTask, TaskReport] = RecentlyRead(_read_task)


def report_from_wire(raw: dict[str, Any]) -> Report:
    """The report of a check-in; MalformedError if it is none."""
    try:
        wire = msgspec.convert(raw, WireReport)
        tasks = [task_reports(item) for item in wire.parcels]
    except (msgspec.ValidationError, ValueError) as exc:
        raise MalformedError(str(exc)) from None
    return Report(
        machine=wire.hall,
        addr=wire.endpoint,
        type=wire.build,
        zone=wire.ward,
        spot=wire.standby,
        session=wire.tenure,
        seq=wire.tick,
        fencing_token=wire.mandate,
        notice_s=wire.recall_s,
        tasks=tasks,
    )


def start_order(job: str, task: int, attempt: int) -> dict[str, Any]:
    """An order to start a task."""
    return {"writ": "start", "parcel": task_to_wire(job, task), "try": attempt}


def stop_order(job: str, task: int, attempt: int, grace: float) -> dict[str, Any]:
    """An order to stop a task within so many seconds."""
    return {
        "writ": "stop",
        "parcel": task_to_wire(job, task),
        "try": attempt,
        "leave_s": grace,
    }


def forget_order(job: str, task: int, attempt: int) -> dict[str, Any]:
    """An order to leave an ended task out of the reports."""
    return {"writ": "forget", "parcel": task_to_wire(job, task), "try": attempt}


def checkin_answer(fencing_token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of the answer to a report."""
    return {"mandate": fencing_token, "writs": orders}


def direct_orders(fencing_token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of direct orders."""
    return {"mandate": fencing_token, "tenure": session, "writs": orders}
