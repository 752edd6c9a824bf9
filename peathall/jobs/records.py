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

from peathall import constants
from peathall.jobs.ranges import Ranges
from peathall.wire.names import Standing

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


def done_record(done: Ranges, block: int, size: int) -> dict[str, Any]:
    """The value of one block."""
    low, high = block * size, (block + 1) * size
    spans = [[max(a, low), min(b, high)] for a, b in done.spans if b > low and a < high]
    return {"done": spans}


def final_record(standing: Standing, done: int) -> dict[str, Any]:
    """The value that says how an archived job ended."""
    return {"standing": standing.value, "done": done}
