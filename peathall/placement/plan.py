"""The result of a round: tasks to start, preempt and move, and tasks that found no capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct, field

if TYPE_CHECKING:  # for annotations only
    from peathall.placement.views import JobView


class TaskKey(NamedTuple):
    """Identifies a task among all jobs."""

    job: str
    task: int


class Assignment(Struct):
    """The decision to start `count` tasks of a job on a machine."""

    job: str
    machine: str
    count: int


class Move(Struct, frozen=True):
    """The decision to move a replica: reserve capacity on `machine`, then stop the replica."""

    job: str
    task: int
    machine: str  # where it is to run next


class Plan(Struct):
    """The decisions of a round."""

    assignments: list[Assignment] = field(default_factory=list)
    stops: list[TaskKey] = field(default_factory=list)  # tasks to preempt
    moves: list[Move] = field(default_factory=list)
    # Jobs that lack capacity, each with the number of tasks that found none.
    unplaced: list[tuple[JobView, int]] = field(default_factory=list)
    # Machine -> CPUs, GPUs and GB of memory that the round left free.
    free_capacity: dict[str, list[float]] = field(default_factory=dict)
    # Jobs that an error kept from being placed, each with the error.
    failed: list[tuple[str, Exception]] = field(default_factory=list)

    def leave_out(self, job_id: str, error: Exception) -> None:
        """Drop what is planned for a job whose placement failed with the error. Capacity that it
        has been given is not used in this round."""
        self.assignments = [a for a in self.assignments if a.job != job_id]
        self.moves = [move for move in self.moves if move.job != job_id]
        self.failed.append((job_id, error))
