"""What the slices of a leader notify one another of.

The slices refer to each other in circles (a heartbeat ends tasks, which changes jobs, which starts
a round, which sends commands). They are built one after another, so each gets these events when it
is built, and the events find their receivers when they occur.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from peathall.cluster.job import Job
from peathall.cluster.machine import Machine
from peathall.leader.phase import TermState
from peathall.placement.plan import Plan

if TYPE_CHECKING:
    from peathall.leader.wiring import LeaderSlices


class SliceEvents:
    """Passes each event to the slices that it concerns.

    It is the `ClusterListener` of the cluster state, the `WorkerListener` of the workers, the
    `JobListener` and the `RemoteJobs` of the jobs, a `DemandListener` of placement, the
    `ScalingLeader` of the autoscaler and the `TaskStopper` of the cells.
    """

    def __init__(self, slices: LeaderSlices, state: TermState) -> None:
        self._slices = slices
        self._state = state
        self._loop = asyncio.get_running_loop()

    def is_active(self) -> bool:
        """Whether the leader may act now."""
        return self._state.is_active()

    # --- from the cluster state ----------------------------------------------
    def round_finished(self, key: str) -> None:
        """The last attempt of a round is gone: its record is not needed any more."""
        self._slices.placement.rounds.delete(key)

    def capacity_freed(self) -> None:
        """Capacity was released: request a round."""
        self._slices.placement.request_round()

    # --- from the workers ----------------------------------------------------
    def tasks_done(self, job: Job) -> None:
        """Heartbeats have shown tasks of the job to be done."""
        self._slices.jobs.note_done(job)

    def state_changed(self) -> None:
        """Tasks may be able to start, or assignments must be decided again: request a round."""
        self._slices.placement.request_round()

    def images_changed(self, machine: Machine) -> None:
        """The machine has cached another image."""
        self._slices.image_caches.schedule_write(machine)

    def machine_confirmed(self, machine: Machine) -> None:
        """The machine has sent its first heartbeat with this term's fencing token."""
        self._slices.image_caches.restore(machine)

    def spot_notice_received(self, machine: Machine, now: float) -> None:
        """The cloud has announced that it takes the spot machine back."""
        self._slices.placement.drain_machine(machine, now)

    # --- from the jobs and the cells -----------------------------------------
    def stop_all(self, job: Job) -> None:
        """Stop all tasks of the job.

        Every response to a worker from now on stops them; start commands that were sent before
        are refused by the workers, since they have a lower fencing token.
        """
        now = self._loop.time()
        self._slices.workers.raise_fencing_token()
        for attempt in list(job.attempts.values()):
            self._slices.workers.stop(attempt, 0.0, now)

    # --- to the cells --------------------------------------------------------
    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all of the job must be gone within `cancel_s` from now, in whatever cell."""
        return self._slices.cells.home.may_confirm_cancel(job)

    def finish_borrowed(self, job: Job) -> None:
        """All tasks of a job of another cell are done."""
        self._slices.cells.borrower.finish(job)

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Keys and versions on which a user's job of that name may be accepted: it may not be
        borrowed from another cell."""
        return self._slices.cells.accept_conditions(job_id)

    def note_unplaced(self, plan: Plan) -> None:
        """A round did not place these tasks: another cell may run their jobs."""
        self._slices.cells.note_unplaced(plan)
