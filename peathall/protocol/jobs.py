"""Jobs on the wire and as stored: submissions, descriptions and states.

protocol -> here: docket class_name, desk team, shape gang/array/daemon, precedence priority,
parcels tasks, vcpus/cards/ram_gb cpus/gpus/ram, kit image, builds types, ward zone,
together one_zone, scatter spread, standby spot, reckon_s/tally_s/stow_s/due_s
estimate_s/checkpoint_s/save_s/deadline_s, standing status.
"""

from __future__ import annotations

import math
from enum import Enum, IntEnum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from peathall.protocol.codec import MalformedError
from peathall.protocol.fields import Amount, JobId, Text


class Priority(IntEnum):
    """Of a job; less comes first."""

    CRITICAL = 0
    HIGH = 1
    STANDARD = 2
    IDLE = 3


class JobStatus(Enum):
    """Of a job, as its user is told."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


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


def decode_submission(raw: dict[str, Any], submitted: float) -> JobSpec:
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


def encode_job_status(
    job_id: str, standing: JobStatus, done: int = 0, running: int = 0
) -> dict[str, Any]:
    """The body of an answer about a job."""
    return {"id": job_id, "standing": standing.value, "done": done, "running": running}
