"""Keys and values of a job's records in the state service.

    live/jobs/T-N  jobs as a leader accepted them: all that waited for one transaction
    live/job/ID    a job as another controller accepted it while no leader answered
    live/ends/T-N  final states, likewise all of one transaction; stored before anyone is told
    done/ID/SxB    done tasks of block B, of S tasks each, as ranges, so that a record stays under
                   the limit; all records of a job together tell what is done, whatever their S
    past/ID        the final state of an archived job; kept for good

A job is archived (past/ID written and the job taken out of its record, in one commit) once
it is final and none of its attempts can exist any more. What is known of a job that is not
archived thus stands under one prefix, and one read of its news tells all there is.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from peathall import constants
from peathall.cluster.ranges import Ranges
from peathall.protocol.jobs import JobStatus

LIVE = "live/"
JOB = "live/job/"
JOBS = "live/jobs/"
ENDS = "live/ends/"
DONE = "done/"
PAST = "past/"

RANGE_BYTES = 16  # bytes of one range with two five-digit numbers, as JSON, and some to spare


def block_tasks(value_kb: float) -> int:
    """Tasks of one block: every second one done is the worst case, half as many ranges."""
    return max(2, int(value_kb * 1024 * constants.VALUE_FILL / RANGE_BYTES) * 2)


def done_key(job_id: str, block: int, size: int) -> str:
    """The key of one block of a job's done tasks."""
    # An earlier version writes `done/ID/B`, with blocks as large as values were then. It reads all
    # that begins with `done/ID/`, as we do: under one key, two sizes would lose tasks.
    return f"{DONE}{job_id}/{size}x{block}"


class DoneRecord(Struct, frozen=True):
    """Done tasks of one block, as ranges."""

    done: list[list[int]]


class FinalRecord(Struct, frozen=True):
    """How an archived job ended."""

    status: JobStatus = field(name="standing")
    done: int = 0


class EndEntry(Struct, array_like=True, frozen=True):
    """A job's final state among others; stored as a list, by position."""

    job: str
    status: JobStatus
    done: int


def to_value(record: Struct) -> Any:
    """The value under which a record, or an entry of one, is stored."""
    return msgspec.to_builtins(record)


def done_record(done: Ranges, block: int, size: int) -> DoneRecord:
    """The record of one block."""
    low, high = block * size, (block + 1) * size
    return DoneRecord([[max(a, low), min(b, high)] for a, b in done.spans if b > low and a < high])


def read_done(value: Any) -> DoneRecord:
    """The record of a block, as it is stored."""
    return msgspec.convert(value, DoneRecord)


def read_final(value: Any) -> FinalRecord:
    """How an archived job ended, as it is stored."""
    return msgspec.convert(value, FinalRecord)


def read_ends(value: Any) -> list[EndEntry]:
    """The final states of a record that jobs share, as it is stored."""
    return msgspec.convert(value["ends"], list[EndEntry])
