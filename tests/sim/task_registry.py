"""Submitted jobs, their attempts on machines, and the results of their tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.sim.worker import Task


class TaskRegistry:
    """Jobs and tasks as all workers know them; cells that hand off jobs to each other share one."""

    def __init__(self) -> None:
        self.jobs: dict[str, dict[str, Any]] = {}  # job -> submission and simulation keys
        self.results: set[str] = set()  # names of tasks that have succeeded
        self.on_machines: dict[str, list[Task]] = {}  # task name -> attempts on machines
        self.by_job: dict[str, dict[Task, None]] = {}  # job -> attempts on machines, in order

    def add(self, task: Task) -> None:
        """Adds an attempt that is on its machine from now on."""
        self.on_machines.setdefault(task.name, []).append(task)
        self.by_job.setdefault(task.job_id, {})[task] = None

    def remove(self, task: Task) -> None:
        """Removes an attempt that has left its machine."""
        self.on_machines[task.name].remove(task)
        del self.by_job[task.job_id][task]

    def missing_results(self, job_id: str) -> list[int]:
        """Indices of the job's tasks that have not succeeded."""
        job = self.jobs[job_id]
        return [t for t in range(job["parcels"]) if f"{job_id}/{t}" not in self.results]

    def tasks_of(self, job_id: str) -> list[Task]:
        """The job's attempts on machines, ordered by the first start of each task."""
        return [
            task
            for name, tasks in self.on_machines.items()
            if name.startswith(job_id)
            for task in tasks
        ]

    def members(self, task: Task) -> list[Task]:
        """The attempts on machines of the task's gang; the task alone if it is in no gang."""
        if task.job["shape"] != "ensemble":
            return [task]
        return [t for t in self.by_job.get(task.job_id, ()) if t.attempt == task.attempt]

    def run_gang_if_complete(self, task: Task) -> None:
        """Runs all tasks of the gang if every one is on a machine and waits."""
        members = [t for t in self.members(task) if t.state == "waiting"]
        if len(members) == task.job["parcels"]:
            for member in members:
                member.worker.run_task(member)
