"""Events by which the components of a leader notify one another.

The components depend on one another in cycles: a heartbeat reports finished tasks, which changes
jobs, which requests a scheduling round, which sends commands to workers. They are constructed one
after another, so each is given `ComponentEvents`, which looks up the receiver when an event occurs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from peathall.cluster.job import Job
from peathall.cluster.machine import Machine
from peathall.leader.phase import TermState
from peathall.placement.plan import Plan

if TYPE_CHECKING:
    from peathall.leader.wiring import LeaderComponents


class ComponentEvents:
    """Passes each event to the component that handles it.

    It is the `ClusterListener` of the cluster state, the `WorkerListener` of the workers, the
    `JobListener` and the `RemoteJobs` of the jobs, a `DemandListener` of placement, the
    `ScalingLeader` of the autoscaler and the `TaskStopper` of the cells.
    """

    def __init__(self, components: LeaderComponents, state: TermState) -> None:
        self._components = components
        self._state = state
        self._loop = asyncio.get_running_loop()

    def is_active(self) -> bool:
        """Whether the leader may act now."""
        return self._state.is_active()

    # --- from the cluster state ----------------------------------------------
    def round_finished(self, key: str) -> None:
        """Delete the record of a scheduling round whose last attempt has ended."""
        self._components.placement.rounds.delete(key)

    def capacity_freed(self) -> None:
        """Request a scheduling round, since capacity was released."""
        self._components.placement.request_round()

    # --- from the workers ----------------------------------------------------
    def tasks_done(self, job: Job) -> None:
        """Heartbeats have reported tasks of the job as done."""
        self._components.jobs.note_done(job)

    def state_changed(self) -> None:
        """Request a scheduling round: tasks may start now, or may have to be assigned anew."""
        self._components.placement.request_round()

    def images_changed(self, machine: Machine) -> None:
        """The machine has cached another image."""
        self._components.image_caches.schedule_write(machine)

    def machine_confirmed(self, machine: Machine) -> None:
        """The machine has sent its first heartbeat with this term's fencing token."""
        self._components.image_caches.restore(machine)

    def spot_notice_received(self, machine: Machine, now: float) -> None:
        """The cloud has announced that it will reclaim the spot machine."""
        self._components.placement.drain_machine(machine, now)

    # --- from the jobs and the cells -----------------------------------------
    def stop_all(self, job: Job) -> None:
        """Stop all tasks of the job.

        Responses to workers tell them to stop these tasks from now on. Workers refuse start
        commands that were sent earlier, since those have a lower fencing token.
        """
        now = self._loop.time()
        self._components.workers.raise_fencing_token()
        for attempt in list(job.attempts.values()):
            self._components.workers.stop(attempt, 0.0, now)

    # --- to the cells --------------------------------------------------------
    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether all tasks of the job are certain to stop within `cancel_s`, in whatever cell."""
        return self._components.cells.home.may_confirm_cancel(job)

    def finish_borrowed(self, job: Job) -> None:
        """All tasks of a job that is borrowed from another cell are done."""
        self._components.cells.borrower.finish(job)

    def accept_conditions(self, job_id: str) -> dict[str, int]:
        """Required versions of keys for accepting a user's job of that id.

        They ensure that no borrowed job has the same id.
        """
        return self._components.cells.accept_conditions(job_id)

    def note_unplaced(self, plan: Plan) -> None:
        """A scheduling round did not place these tasks: another cell may run their jobs."""
        self._components.cells.note_unplaced(plan)
