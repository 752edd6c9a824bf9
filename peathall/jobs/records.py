"""Keys and values of the jobs' records in the state service.

    live/jobs/T-N  jobs that a leader accepted: all that waited for one transaction of term T
    live/job/ID    a job that another controller accepted while it could not reach the leader
    live/ends/T-N  final statuses, likewise all of one transaction; stored before users are answered
    done/ID/SxB    done tasks of block B, of S tasks each, as ranges, so that a record stays below
                   the limit; the done tasks of a job are the union of its records, whatever their S
    past/ID        the final status of an archived job; kept for good

A job is archived (past/ID written and the job removed from its record, in one transaction) once
its final status is stored and none of its attempts can exist any more. All records of live jobs
but those of done tasks thus share one prefix, and one watch of it covers every change.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from peathall import constants
from peathall.cluster.ranges import Ranges
from peathall.protocol.jobs import JobSpec, JobStatus, spec_to_record
from peathall.protocol.state_service import Delete, Put

# Prefixes of keys.
LIVE = "live/"  # of JOB, JOBS and ENDS
JOB = "live/job/"
JOBS = "live/jobs/"
ENDS = "live/ends/"
DONE = "done/"
PAST = "past/"
# Jobs of other cells, one record each; the cells package writes them.
BORROWED = "borrowed/"

RANGE_BYTES = 16  # bytes of one range with two five-digit numbers, as JSON, and some to spare


class DoneRecord(Struct, frozen=True):
    """Done tasks of one block, as ranges: first task, and the one after the last."""

    done: list[list[int]]


class FinalRecord(Struct, frozen=True):
    """Final status of an archived job, and how many of its tasks were done."""

    status: JobStatus = field(name="standing")
    done: int = 0


class FinalStatusEntry(Struct, array_like=True, frozen=True):
    """One job's final status in a record of several; stored as a list, by position."""

    job: str
    status: JobStatus
    done: int


def block_tasks(value_kb: float) -> int:
    """Tasks of one block, so that its record fits into a value of that many KiB."""
    # In the worst case every second task is done, which makes half as many ranges.
    return max(2, int(value_kb * 1024 * constants.VALUE_SIZE_SHARE / RANGE_BYTES) * 2)


def done_key(job_id: str, block: int, size: int) -> str:
    """The key of one block of a job's done tasks."""
    # An earlier version writes `done/ID/B`, with blocks as large as values were then. It reads all
    # that begins with `done/ID/`, as we do: under one key, two sizes would lose tasks.
    return f"{DONE}{job_id}/{size}x{block}"


def job_of_done_key(key: str) -> str:
    """The id of the job whose done tasks the record of this key holds."""
    return key.removeprefix(DONE).rpartition("/")[0]


def done_record(done: Ranges, block: int, size: int) -> DoneRecord:
    """The done tasks of one block, of `size` tasks."""
    low, high = block * size, (block + 1) * size
    return DoneRecord([[max(a, low), min(b, high)] for a, b in done.spans if b > low and a < high])


def rewrite_or_delete(record_key: str, specs: list[JobSpec]) -> Put | Delete:
    """Leave just these jobs in a record of live jobs; without any, the record is deleted."""
    if not specs:
        return Delete(record_key)
    return Put(record_key, {"jobs": [spec_to_record(spec) for spec in specs]})


def read_done(value: Any) -> DoneRecord:
    """Decode a record of done tasks; msgspec.ValidationError if it is none."""
    return msgspec.convert(value, DoneRecord)


def read_final(value: Any) -> FinalRecord:
    """Decode the record of an archived job; msgspec.ValidationError if it is none."""
    return msgspec.convert(value, FinalRecord)


def read_final_statuses(value: Any) -> list[FinalStatusEntry]:
    """Decode a shared record of final statuses; msgspec.ValidationError if it is none."""
    return msgspec.convert(value["ends"], list[FinalStatusEntry])
