"""Keys and values of job records in the state service.

    live/jobs/T-N  shared record: the jobs that the leader of term T stored in one transaction
    live/job/ID    a job that a follower accepted while it could not reach the leader
    live/ends/T-N  shared record: the final statuses that the leader of term T stored in one
                   transaction; users are answered only after it is stored
    done/ID/SxB    ranges of done tasks in block B of a job, with S tasks per block; the blocks
                   keep each record below the value size limit. The done tasks of a job are the
                   union of all its blocks, whatever their S.
    past/ID        final status of an archived job; never deleted

A job is archived once its final status is stored and none of its attempts can still exist: one
transaction writes past/ID and removes the job from its live record. Except for done tasks, all
records of live jobs share the prefix live/, so one watch covers every change.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from peathall.cluster.ranges import Ranges
from peathall.protocol.jobs import JobSpec, JobStatus, spec_to_record
from peathall.protocol.state_service import Delete, Put

# Key prefixes.
LIVE_PREFIX = "live/"  # common to the next three
SINGLE_JOB_PREFIX = "live/job/"
SHARED_JOBS_PREFIX = "live/jobs/"
FINAL_STATUS_PREFIX = "live/ends/"
DONE_TASKS_PREFIX = "done/"
ARCHIVE_PREFIX = "past/"
# Jobs borrowed from other cells, one record each, written by the cells package.
BORROWED_PREFIX = "borrowed/"

RANGE_BYTES = 16  # one range of two five-digit numbers as JSON, with a margin


class DoneRecord(Struct, frozen=True):
    """Done tasks of one block as half-open ranges [first, last + 1]."""

    done: list[list[int]]


class FinalRecord(Struct, frozen=True):
    """Final status of an archived job and the number of its done tasks."""

    status: JobStatus = field(name="standing")
    done: int = 0


class FinalStatusEntry(Struct, array_like=True, frozen=True):
    """Final status of one job in a shared record; encoded as a list, by position."""

    job: str
    status: JobStatus
    done: int


def tasks_per_block(value_limit: int) -> int:
    """Number of tasks per block such that the record of a block has at most `value_limit` bytes."""
    # The worst case is that every second task is done: one range for every two tasks.
    return max(2, value_limit // RANGE_BYTES * 2)


def done_key(job_id: str, block: int, size: int) -> str:
    """Key of the record with one block of a job's done tasks; `size` is in tasks."""
    # An earlier version writes `done/ID/B`, with a block size that depended on its value size
    # limit. Both versions read every key below `done/ID/`. Without the block size in the key,
    # blocks of different sizes would overwrite each other and done tasks would be lost.
    return f"{DONE_TASKS_PREFIX}{job_id}/{size}x{block}"


def job_of_done_key(key: str) -> str:
    """Id of the job to which a record of done tasks with this key belongs."""
    return key.removeprefix(DONE_TASKS_PREFIX).rpartition("/")[0]


def done_record(done: Ranges, block: int, size: int) -> DoneRecord:
    """Record of the done tasks in one block of `size` tasks."""
    return DoneRecord(done.between(block * size, (block + 1) * size))


def rewrite_or_delete(record_key: str, specs: list[JobSpec]) -> Put | Delete:
    """Operation that reduces a record of live jobs to these jobs, or deletes it if there are
    none."""
    if not specs:
        return Delete(record_key)
    return Put(record_key, {"jobs": [spec_to_record(spec) for spec in specs]})


def read_done(value: Any) -> DoneRecord:
    """Decode a record of done tasks; raises msgspec.ValidationError if it is malformed."""
    return msgspec.convert(value, DoneRecord)


def read_final(value: Any) -> FinalRecord:
    """Decode the record of an archived job; raises msgspec.ValidationError if it is malformed."""
    return msgspec.convert(value, FinalRecord)


def read_final_statuses(value: Any) -> list[FinalStatusEntry]:
    """Decode a shared record of final statuses; raises msgspec.ValidationError if an entry is
    malformed."""
    return msgspec.convert(value["ends"], list[FinalStatusEntry])
