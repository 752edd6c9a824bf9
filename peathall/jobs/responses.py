"""Answers to users' requests about jobs, before they become HTTP responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, NamedTuple

from peathall.cluster.job import Job, JobPhase
from peathall.protocol.errors import encode_error
from peathall.protocol.jobs import JobStatus, encode_job_status

_OK = HTTPStatus.OK  # looking up a member of an enum is slow, and most queries need this one


class JobResponse(NamedTuple):
    """An answer to a submission, a query or a cancellation."""

    # A member of HTTPStatus, or whatever status another controller has answered with.
    status: int
    body: dict[str, Any] | None


RETRY_LATER = JobResponse(HTTPStatus.SERVICE_UNAVAILABLE, None)
NOT_FOUND = JobResponse(HTTPStatus.NOT_FOUND, None)
BAD_REQUEST = JobResponse(HTTPStatus.BAD_REQUEST, None)


def found(body: dict[str, Any]) -> JobResponse:
    """The status of a known job; `body` as `encode_job_status` makes it."""
    return JobResponse(_OK, body)


def accepted(job_id: str) -> JobResponse:
    """The job has been stored by this request."""
    return JobResponse(HTTPStatus.CREATED, encode_job_status(job_id, JobStatus.QUEUED))


def rejected(reason: str) -> JobResponse:
    """The job is well formed but can never run."""
    return JobResponse(HTTPStatus.UNPROCESSABLE_ENTITY, encode_error(reason))


def malformed(reason: str) -> JobResponse:
    """The submission does not follow the protocol."""
    return JobResponse(HTTPStatus.BAD_REQUEST, encode_error(reason))


def current_status(job: Job) -> JobResponse:
    """The status of a live job, with only those done tasks that are stored."""
    done = job.spec.tasks if job.phase is JobPhase.DONE else len(job.stored_done)
    running = job.running if job.phase is JobPhase.ACTIVE else 0
    body = encode_job_status(job.spec.id, job.status, done, running)
    return JobResponse(_OK, body)
