"""Responses to users' requests about jobs, independent of HTTP encoding."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, NamedTuple

from peathall.cluster.job import Job, JobPhase
from peathall.protocol.errors import encode_error
from peathall.protocol.jobs import JobStatus, encode_job_status

_OK = HTTPStatus.OK  # enum member lookup is slow, and most queries need this member


class JobResponse(NamedTuple):
    """Response to a submission, a query or a cancellation."""

    # HTTP status code: a member of HTTPStatus, or the code that another controller responded with.
    status: int
    body: dict[str, Any] | None


RETRY_LATER = JobResponse(HTTPStatus.SERVICE_UNAVAILABLE, None)
NOT_FOUND = JobResponse(HTTPStatus.NOT_FOUND, None)
BAD_REQUEST = JobResponse(HTTPStatus.BAD_REQUEST, None)


def found(body: dict[str, Any]) -> JobResponse:
    """The status of a known job; `body` comes from `encode_job_status`."""
    return JobResponse(_OK, body)


def accepted(job_id: str) -> JobResponse:
    """This request has stored the job."""
    return JobResponse(HTTPStatus.CREATED, encode_job_status(job_id, JobStatus.QUEUED))


def rejected(reason: str) -> JobResponse:
    """The job is well formed but can never run."""
    return JobResponse(HTTPStatus.UNPROCESSABLE_ENTITY, encode_error(reason))


def malformed(reason: str) -> JobResponse:
    """The submission does not follow the protocol."""
    return JobResponse(HTTPStatus.BAD_REQUEST, encode_error(reason))


def current_status(job: Job) -> JobResponse:
    """The status of a live job; only stored done tasks are counted as done."""
    done = job.spec.tasks if job.phase is JobPhase.DONE else len(job.stored_done)
    running = job.running if job.phase is JobPhase.ACTIVE else 0
    body = encode_job_status(job.spec.id, job.status, done, running)
    return JobResponse(_OK, body)
