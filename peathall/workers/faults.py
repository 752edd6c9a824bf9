"""Whose fault a failure is: the machine's or the job's. Pure: time comes in as an argument.

A machine is sick if it fails jobs that go well elsewhere; a job is mistaken if it fails on
several machines and goes well on none. One failure alone says nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from peathall import constants
from peathall.cluster.job import Attempt, Job, JobHealth
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState


class FaultTracker:
    """Tells sick machines from mistaken jobs by what both did elsewhere."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.on_failing_jobs_changed: Callable[[], None] = lambda: None  # one more, or one less
        self.watched: dict[str, Job] = {}  # jobs that failed and have not gone well since

    def failed(self, attempt: Attempt, ran_s: float, now: float) -> list[Machine]:
        """A task failed after running for so long. Returns the machines that are sick."""
        job, machine = attempt.job, self.cluster.machines[attempt.machine]
        job.failed_on.pop(machine.name, None)
        job.failed_on[machine.name] = now
        job.longest_failed_run_s = max(job.longest_failed_run_s, ran_s)
        self.watched[job.spec.id] = job
        if attempt.number != job.last_failed_attempt:
            job.last_failed_attempt = (
                attempt.number
            )  # tasks that were started together fail together
            job.consecutive_failures += 1
        limit = {
            JobHealth.HEALTHY: constants.WIDESPREAD_FAILURE_MACHINES,
            JobHealth.UNKNOWN: constants.FAILING_JOB_MACHINES,
        }
        if len(job.failed_on) >= limit.get(job.health, 1):
            if job.health is not JobHealth.FAILING:
                self.mark_failing(job, 1)
                self.on_failing_jobs_changed()
            # Not one machine is to blame for what fails on several.
            for name in job.failed_on:
                other = self.cluster.machines.get(name)
                if other is not None:
                    other.failed_jobs.discard(job.spec.id)
            pause = constants.ERROR_BACKOFF_S * 2 ** min(job.consecutive_failures - 1, 10)
            job.backoff_until = now + min(constants.ERROR_BACKOFF_MAX_S, pause)
            return []
        machine.failed_jobs.add(job.spec.id)
        if self._proves_itself(machine, job.failed_on[machine.name]):
            return []
        unhealthy = (
            job.health is JobHealth.HEALTHY
            or len(machine.failed_jobs) >= constants.UNHEALTHY_FAILED_JOBS
        )
        return [machine] if unhealthy else []

    def mark_failing(self, job: Job, consecutive_failures: int) -> None:
        """The job may be mistaken: it has failed so many times."""
        job.set_health(JobHealth.FAILING)
        job.consecutive_failures = consecutive_failures
        self.watched[job.spec.id] = job

    def note_success(self, job: Job, machine: Machine, now: float) -> list[Machine]:
        """A task of the job has ended as it should. Returns the machines that are sick."""
        machine.last_success_at = now
        machine.failed_jobs.clear()
        job.failed_on.pop(machine.name, None)
        return self._proven(job)

    def _proven(self, job: Job) -> list[Machine]:
        mark_failing = job.health is JobHealth.FAILING
        job.set_health(JobHealth.HEALTHY)
        if self.watched.pop(job.spec.id, None) is None:
            return []
        if mark_failing:
            self.on_failing_jobs_changed()
        job.consecutive_failures = 0
        job.backoff_until = 0.0
        failed = [(self.cluster.machines.get(name), at) for name, at in job.failed_on.items()]
        unhealthy = [m for m, at in failed if m is not None and not self._proves_itself(m, at)]
        # Many at once are no single sick machines: whatever it was, it is over.
        return unhealthy if len(unhealthy) < constants.WIDESPREAD_FAILURE_MACHINES else []

    def _proves_itself(self, machine: Machine, failed_at: float) -> bool:
        """Whether anything has gone well on the machine since then."""
        return machine.last_success_at > failed_at

    def look(self, now: float) -> list[Machine]:
        """Now and then: what has run for longer than its failures took goes well."""
        unhealthy: list[Machine] = []
        for job in list(self.watched.values()):
            if self.cluster.jobs.get(job.spec.id) is not job:
                del self.watched[job.spec.id]
                continue
            enough = max(constants.SUCCESS_RUNTIME_S, 2 * job.longest_failed_run_s)
            for attempt in job.attempts.values():
                if attempt.running and now - attempt.since > enough:
                    unhealthy += self._proven(job)
                    break
        return unhealthy

    def machines_to_avoid(self, job: Job) -> list[str]:
        """Machines on which the job failed and nothing has gone well since, the latest few."""
        found = []
        for name, at in job.failed_on.items():
            machine = self.cluster.machines.get(name)
            if machine is not None and not self._proves_itself(machine, at):
                found.append(name)
        return found[-constants.AVOID_MACHINES :]
