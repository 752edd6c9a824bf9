"""The one place where the protocol's words become ours and ours the protocol's.

protocol -> here: docket class, desk team, shape gang/array, precedence priority,
parcel task, vcpus/cards/ram_gb cpus/gpus/ram, kit image, builds types, ward zone,
together one_zone, scatter spread, standby spot, reckon_s/tally_s/stow_s/due_s
estimate/checkpoint/save/deadline, hall machine, tenure session, tick seq, mandate
token, writ order, try attempt, leave_s grace, tenancy lease, stamp version, epoch
revision, hire request.
"""

from __future__ import annotations

import math
from enum import Enum, IntEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from peathall.wire.body import MalformedError
from peathall.wire.recent import RecentlyRead


class Priority(IntEnum):
    """Of a job; less comes first."""

    CRITICAL = 0
    HIGH = 1
    STANDARD = 2
    IDLE = 3


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


class Standing(Enum):
    """Of a job, as its user is told."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


JobId = Annotated[str, Meta(pattern=r"^j-[0-9]{1,30}\Z")]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0)]


class WireJob(Struct):
    """A submission as the protocol writes it."""

    id: JobId
    docket: Text
    desk: Text
    shape: Literal["sweep", "ensemble", "daemon"]
    precedence: Literal["critical", "high", "standard", "idle"]
    parcels: Annotated[int, Meta(ge=1, le=100_000)]
    vcpus: Amount
    cards: Amount
    ram_gb: Amount
    kit: Text
    image_gb: Amount
    reckon_s: Amount
    tally_s: Amount
    stow_s: Amount
    together: bool
    scatter: bool
    standby: bool
    builds: Annotated[list[Text], Meta(max_length=200)] | None = None
    ward: Text | None = None
    due_s: Amount | None = None


class JobSpec(Struct, frozen=True):
    """A job as its user described it; also its record in the state service."""

    id: str
    class_name: str
    team: str
    gang: bool
    priority: int
    tasks: int
    cpus: float
    gpus: float
    ram: float
    image: str
    image_gb: float
    types: list[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None
    submitted: float  # time of day at which it was accepted
    daemon: bool = False  # its tasks, replicas, run until the job is cancelled

    @property
    def expected_s(self) -> float:
        """How long a task should run, by its owner."""
        return math.inf if self.daemon else self.estimate_s


def job_from_wire(raw: dict[str, Any], submitted: float) -> JobSpec:
    """The job of a submission; MalformedError if it is none."""
    try:
        job = msgspec.convert(raw, WireJob)
    except msgspec.ValidationError as exc:
        raise MalformedError(str(exc)) from None
    amounts = (
        job.vcpus,
        job.cards,
        job.ram_gb,
        job.image_gb,
        job.reckon_s,
        job.tally_s,
        job.stow_s,
        job.due_s or 0.0,
    )
    if not all(math.isfinite(x) for x in amounts):
        raise MalformedError("an amount is not finite")
    return JobSpec(
        id=job.id,
        class_name=job.docket,
        team=job.desk,
        gang=job.shape == "ensemble",
        priority=Priority[job.precedence.upper()].value,
        tasks=job.parcels,
        cpus=job.vcpus,
        gpus=job.cards,
        ram=job.ram_gb,
        image=job.kit,
        image_gb=job.image_gb,
        types=job.builds,
        zone=job.ward,
        one_zone=job.together,
        spread=job.scatter,
        spot=job.standby,
        estimate_s=job.reckon_s,
        checkpoint_s=job.tally_s,
        save_s=job.stow_s,
        deadline_s=job.due_s,
        submitted=submitted,
        daemon=job.shape == "daemon",
    )


def spec_to_record(spec: JobSpec) -> dict[str, Any]:
    """The job as it is stored."""
    record: dict[str, Any] = msgspec.to_builtins(spec)
    return record


def spec_from_record(record: dict[str, Any]) -> JobSpec:
    """The job as it was stored; fields that are not known are ignored."""
    return msgspec.convert(record, JobSpec)


def job_status(job_id: str, standing: Standing, done: int = 0, running: int = 0) -> dict[str, Any]:
    """The body of an answer about a job."""
    return {"id": job_id, "standing": standing.value, "done": done, "running": running}


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
    token: int
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
        token=wire.mandate,
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


def checkin_answer(token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of the answer to a report."""
    return {"mandate": token, "writs": orders}


def direct_orders(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """The body of direct orders."""
    return {"mandate": token, "tenure": session, "writs": orders}


class MachineType(Struct, frozen=True):
    """A type of machine that the cloud rents."""

    name: str
    cpus: float
    gpus: float
    ram: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]


def machine_type_from_wire(raw: dict[str, Any]) -> MachineType:
    """A machine type as the cloud describes it."""
    price = float(raw.get("rate") or 0.0)
    return MachineType(
        name=str(raw["label"]),
        cpus=float(raw["vcpus"]),
        gpus=float(raw.get("cards") or 0.0),
        ram=float(raw["ram_gb"]),
        cache_gb=float(raw.get("cache_gb") or 0.0),
        fetch_gb_per_s=float(raw.get("pull_gb_per_s") or 1.0),
        price=price,
        spot_price=float(raw.get("market_price") or price),
        boot_s=float(raw.get("startup_s") or 60.0),
        zones=[str(z) for z in raw.get("wards") or []],
    )


def machine_type_to_wire(kind: MachineType) -> dict[str, Any]:
    """A machine type as the cloud describes it: so it is stored, for any version to read."""
    return {
        "label": kind.name,
        "vcpus": kind.cpus,
        "cards": kind.gpus,
        "ram_gb": kind.ram,
        "cache_gb": kind.cache_gb,
        "pull_gb_per_s": kind.fetch_gb_per_s,
        "rate": kind.price,
        "market_price": kind.spot_price,
        "startup_s": kind.boot_s,
        "wards": kind.zones,
    }


class ListedMachine(Struct, frozen=True):
    """A machine of the cloud's list."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str  # starting, running, failed
    age_s: float


def listed_from_wire(raw: dict[str, Any]) -> ListedMachine:
    """A machine as the list describes it."""
    return ListedMachine(
        name=str(raw["id"]),
        addr=str(raw.get("endpoint") or ""),
        type=str(raw.get("build") or ""),
        zone=str(raw.get("ward") or ""),
        spot=bool(raw.get("standby")),
        state=str(raw.get("standing")),
        age_s=float(raw.get("held_s") or 0.0),
    )
