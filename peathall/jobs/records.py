"""Keys and values of a job's records in the state service.

    job/ID      the job as accepted; dropped when it is archived
    fate/ID     its final state, written before anyone is told of it
    done/ID/B   done tasks of block B as ranges, so that a record stays under the limit
    past/ID     the final state of an archived job; kept for good

A job is archived (past/ID written, the others dropped, in one commit) once it is
final and none of its attempts can exist any more.
"""

from __future__ import annotations

from typing import Any

from peathall import constants as c
from peathall.jobs.ranges import Ranges
from peathall.wire.names import Standing

JOB = "job/"
FATE = "fate/"
DONE = "done/"
PAST = "past/"

RANGE_BYTES = 16  # bytes of one range with two five-digit numbers, as JSON, and some to spare


def block_tasks(value_kb: float) -> int:
    """Tasks of one block: every second one done is the worst case, half as many ranges."""
    return max(2, int(value_kb * 1024 * c.VALUE_FILL / RANGE_BYTES) * 2)


def done_key(job_id: str, block: int) -> str:
    return f"{DONE}{job_id}/{block}"


def done_record(done: Ranges, block: int, size: int) -> dict[str, Any]:
    low, high = block * size, (block + 1) * size
    spans = [[max(a, low), min(b, high)] for a, b in done.spans if b > low and a < high]
    return {"done": spans}


def final_record(standing: Standing, done: int) -> dict[str, Any]:
    return {"standing": standing.value, "done": done}
