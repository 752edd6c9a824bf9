"""The result of a round: what is to be started, stopped and moved, and what found no capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct, field

if TYPE_CHECKING:  # views name tasks by the key below
    from peathall.placement.views import JobView


class TaskKey(NamedTuple):
    """Identifies a task among all jobs."""

    job: str
    task: int


class Assignment(Struct):
    """Some tasks of a job are to start on a machine."""

    job: str
    machine: str
    count: int


class Move(Struct, frozen=True):
    """A replica is to be stopped, since capacity for it is reserved on another machine."""

    job: str
    task: int
    machine: str  # where it is to run next


class Plan(Struct):
    """What a round decided."""

    assignments: list[Assignment] = field(default_factory=list)
    stops: list[TaskKey] = field(default_factory=list)  # to be preempted
    moves: list[Move] = field(default_factory=list)
    # Jobs that lack capacity, and for how many tasks.
    unplaced: list[tuple[JobView, int]] = field(default_factory=list)
    # Machine -> CPUs, GPUs and GB of memory that the round left free.
    free_capacity: dict[str, list[float]] = field(default_factory=dict)
