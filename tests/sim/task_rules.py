"""Rules about tasks on machines: placement, cancellation, quotas and waiting times."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

from peathall.config.platform import Settings
from tests.sim.day_record import DayRecord
from tests.sim.task_registry import TaskRegistry
from tests.sim.worker import Task, Worker

RESOURCES = ("vcpus", "cards", "ram_gb")


class TaskRules:
    """Tracks the attempts on machines and checks the rules for them."""

    def __init__(
        self,
        registry: TaskRegistry,
        record: DayRecord,
        settings: list[Settings],
        cancel_s: float,
    ) -> None:
        self.registry, self.record, self.settings = registry, record, settings
        self.loop = record.loop
        self.cancel_s = cancel_s
        self.team_usage: dict[str, list[float]] = {}  # team -> CPUs and GPUs on machines
        self.waiting_s: dict[str, int] = {}  # job -> seconds it has waited while there was capacity
        self.on_start: Callable[[Task], None] = lambda task: None  # called after the checks

    def added(self, task: Task) -> None:
        """Checks an attempt that is on its machine from now on, and counts its usage."""
        self.record.starts += 1
        job, job_id = task.job, task.job_id
        if self.registry.on_machines.get(task.name):
            self.record.report_violation("ran_twice", task.name)
        self.check_place(task)
        if job_id in self.record.cancelled:
            self.record.starts_after_cancel += 1
        if (
            job_id in self.record.cancelled
            and self.loop.now - self.record.cancelled[job_id] > self.cancel_s
        ):
            self.record.report_violation("ran_cancelled", task.name)
        self.registry.add(task)
        task.on_machine = True
        self.record.begun.setdefault(job_id, self.loop.now)
        usage = self.usage_of(job["desk"])
        usage[0] += job["vcpus"]
        usage[1] += job["cards"]
        self.check_quota(job["desk"])
        self.on_start(task)

    def removed(self, task: Task) -> None:
        """The attempt has ended; releases its usage if it was on its machine."""
        if task.on_machine:
            task.on_machine = False
            self.registry.remove(task)
            usage = self.usage_of(task.job["desk"])
            usage[0] -= task.job["vcpus"]
            usage[1] -= task.job["cards"]

    def usage_of(self, team: str) -> list[float]:
        """CPUs and GPUs that the team's tasks use on machines."""
        return self.team_usage.setdefault(team, [0.0, 0.0])

    def check_place(self, task: Task) -> None:
        """Checks that the job's placement constraints allow the task's machine."""
        job, worker = task.job, task.worker
        if job["builds"] is not None and worker.type["label"] not in job["builds"]:
            self.record.report_violation("wrong_place", f"{task.name} type")
        if job["ward"] not in (None, worker.zone) or (worker.spot and not job["standby"]):
            self.record.report_violation("wrong_place", f"{task.name} zone or kind")
        zones = [t.worker.zone for t in self.registry.by_job.get(task.job_id, ())]
        if job["together"] and any(z != worker.zone for z in zones):
            self.record.report_violation("wrong_place", f"{task.name} together")
        if job["scatter"] and zones.count(worker.zone) + 1 > (job["parcels"] + 1) // 2:
            self.record.report_violation("wrong_place", f"{task.name} scatter")

    def check_quota(self, team_name: str) -> None:
        """Checks that a team's tasks use no more than the team's quota."""
        cpus, gpus = self.usage_of(team_name)
        for team in self.settings[0].params.teams:
            if team.name != team_name:
                continue
            if team.gpus_max and gpus > team.gpus_max + 1e-6:
                self.record.report_violation("quota", team.name)
            if team.cpus_max and cpus > team.cpus_max + 1e-6:
                self.record.report_violation("quota", team.name)

    def check_waits(self, workers: Collection[Worker]) -> None:
        """Checks that no array waits for 90 s while a suitable machine has free capacity and the
        team is under its quota; waits during the effects of faults are excused. Call it every
        second."""
        for job_id in self.record.accepted - self.record.cancelled.keys():
            job = self.registry.jobs[job_id]
            missing = self.registry.missing_results(job_id)
            unplaced = [t for t in missing if not self.registry.on_machines.get(f"{job_id}/{t}")]
            waits = (
                bool(unplaced)
                and len(unplaced) == len(missing)
                and (job["shape"] == "sweep" or job["parcels"] == 1)
                and not job.get("mistaken")
                and self.loop.now > self.record.grace_until
                and any(has_capacity(worker, job) for worker in workers)
                and self.under_limit(job)
            )
            self.waiting_s[job_id] = self.waiting_s.get(job_id, 0) + 1 if waits else 0
            if self.waiting_s[job_id] == 90:
                self.record.report_violation("waits", job_id)

    def under_limit(self, job: dict[str, Any]) -> bool:
        """Whether the team's quota allows one more task of the job."""
        team = next(t for t in self.settings[0].params.teams if t.name == job["desk"])
        cpus, gpus = self.usage_of(team.name)
        return not (team.cpus_max and cpus + job["vcpus"] > team.cpus_max) and not (
            team.gpus_max and gpus + job["cards"] > team.gpus_max
        )

    def check_cancelled(self) -> None:
        """Checks that no task of a cancelled job is on a machine after `cancel_s`."""
        for job_id, at in self.record.cancelled.items():
            if self.loop.now - at > self.cancel_s and self.registry.by_job.get(job_id):
                self.record.report_violation("ran_cancelled", job_id)


def has_capacity(worker: Worker, job: dict[str, Any]) -> bool:
    """Whether a task of the job may run on the machine and fits beside its other tasks."""
    live = [t.job for t in worker.tasks.values() if t.state != "exited"]
    fits = all(sum(j[kind] for j in live) + job[kind] <= worker.type[kind] for kind in RESOURCES)
    allowed = job["builds"] is None or worker.type["label"] in job["builds"]
    allowed = allowed and job["ward"] in (None, worker.zone) and not worker.unhealthy
    return fits and allowed and worker.state == "running" and (job["standby"] or not worker.spot)
