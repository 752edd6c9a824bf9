"""Jobs: submissions, their records in the state service, and responses with their status.

===============  ==================================================
on the wire      in this program
===============  ==================================================
work             jobs, in paths
withdraw         cancel, in paths
docket           class_name
desk             team
shape            gang (`ensemble`), array (`sweep`), daemon
precedence       priority, see `Priority`
parcels          tasks, the number of them
vcpus            cpus
cards            gpus
ram_gb           ram
kit              image
builds           types, machine types that are allowed
ward             zone
together         one_zone
scatter          spread
standby          spot
reckon_s         estimate_s
tally_s          checkpoint_s
stow_s           save_s
due_s            deadline_s
standing         status, see `JobStatus`
===============  ==================================================
"""

from __future__ import annotations

import math
import re
from enum import Enum, IntEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from peathall.protocol.codec import MalformedError
from peathall.protocol.fields import Amount, JobId, Text

SUBMISSION_PATH = "/work"
JOB_PATH = re.compile(r"/work/([^/]+)(/withdraw)?\Z")  # groups: job id; "/withdraw" or None


class Priority(IntEnum):
    """Priority of a job; lower values are placed first. The wire has the names in lower case."""

    CRITICAL = 0
    HIGH = 1
    STANDARD = 2
    IDLE = 3


class JobStatus(Enum):
    """Status of a job in responses to its user; the values are those of the wire."""

    QUEUED = "queued"  # no task runs
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class WireJob(Struct):
    """The body of a submission, with the field names of the wire and their bounds. Other fields are
    ignored."""

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
    """A job as its user described it. Its record in the state service has the same field names: a
    field that is renamed must keep its old name as its encoded name."""

    id: str
    class_name: str
    team: str
    gang: bool
    priority: int
    tasks: int  # number of tasks
    cpus: float
    gpus: float
    ram: float  # GB for each task; cpus and gpus are for each task as well
    image: str
    image_gb: float
    types: list[str] | None  # machine types that are allowed; None: any
    zone: str | None  # zone that it must run in; None: any
    one_zone: bool  # all its tasks must run in the same zone
    spread: bool  # at most half of its tasks, rounded up, may run in one zone
    spot: bool  # may run on spot machines
    estimate_s: float  # expected runtime of a task, by the user
    checkpoint_s: float  # interval at which a task saves its progress by itself; 0: never
    save_s: float  # time that a task needs to save its progress when it is stopped
    deadline_s: float | None  # time from submission within which it should end
    submitted: float  # time of day at which it was accepted, in s
    daemon: bool = False  # its tasks are replicas that run until the job is cancelled

    @property
    def expected_s(self) -> float:
        """Expected runtime of a task, estimated by its user; infinite for replicas of a daemon."""
        return math.inf if self.daemon else self.estimate_s


def _check_finite(job: WireJob) -> None:
    """Raise MalformedError for an infinite amount, which the bounds of `Amount` allow."""
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
    if not all(math.isfinite(amount) for amount in amounts):
        raise MalformedError("an amount is not finite")


def decode_submission(raw: dict[str, Any], submitted: float) -> JobSpec:
    """Decode the body of a submission that is accepted at the time of day `submitted`;
    MalformedError if it is invalid."""
    try:
        job = msgspec.convert(raw, WireJob)
    except msgspec.ValidationError as exc:
        raise MalformedError(str(exc)) from None
    _check_finite(job)
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
    """Convert a job to its record in the state service."""
    record: dict[str, Any] = msgspec.to_builtins(spec)
    return record


def spec_from_record(record: dict[str, Any]) -> JobSpec:
    """Convert a record in the state service to the job; unknown fields are ignored.
    msgspec.ValidationError if it is not the record of a job."""
    return msgspec.convert(record, JobSpec)


def encode_job_status(
    job_id: str, status: JobStatus, done: int = 0, running: int = 0
) -> dict[str, Any]:
    """The body of a response with a job's status; `done` and `running` are numbers of tasks."""
    return {"id": job_id, "standing": status.value, "done": done, "running": running}
