"""Fault attribution: whether failures of tasks are due to the machine or to the job.

A machine is unhealthy if it fails jobs that succeed elsewhere; a job is failing if it fails on
several machines and succeeds on none. A single failure shows neither. All times are monotonic, in
seconds, and are passed as arguments: this module reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable

from peathall import constants
from peathall.cluster.job import Attempt, Job, JobHealth
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState

# Number of machines on which a job must fail to be considered failing, by its health so far.
FAILING_JOB_LIMITS = {
    JobHealth.HEALTHY: constants.WIDESPREAD_FAILURE_MACHINES,
    JobHealth.UNKNOWN: constants.FAILING_JOB_MACHINES,
    JobHealth.FAILING: 1,
}


class FaultTracker:
    """Distinguishes unhealthy machines from failing jobs.

    It compares the results of each job on other machines, and of each machine with other jobs.
    """

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        # Called when a job becomes failing or stops being so.
        self.on_failing_jobs_changed: Callable[[], None] = lambda: None
        self.jobs_with_failures: dict[str, Job] = {}  # by id; they have not succeeded since

    def note_failure(self, attempt: Attempt, runtime_s: float, now: float) -> list[Machine]:
        """Record a failed task that ran for `runtime_s`. Returns the machines found unhealthy."""
        job, machine = attempt.job, self.cluster.machines[attempt.machine]
        self._count_failure(job, machine, attempt.number, runtime_s, now)
        if len(job.failed_on) >= FAILING_JOB_LIMITS[job.health]:
            if job.health is not JobHealth.FAILING:
                self.mark_failing(job, 1)
                self.on_failing_jobs_changed()
            self._clear_machines(job)
            job.backoff_until = now + self._backoff_s(job)
            return []
        machine.failed_jobs.add(job.spec.id)
        if self._succeeded_since(machine, now):
            return []
        unhealthy = (
            job.health is JobHealth.HEALTHY
            or len(machine.failed_jobs) >= constants.UNHEALTHY_FAILED_JOBS
        )
        return [machine] if unhealthy else []

    def _count_failure(
        self, job: Job, machine: Machine, number: int, runtime_s: float, now: float
    ) -> None:
        job.failed_on.pop(machine.name, None)  # moves the latest failure to the end
        job.failed_on[machine.name] = now
        job.longest_failed_run_s = max(job.longest_failed_run_s, runtime_s)
        self.jobs_with_failures[job.spec.id] = job
        if number != job.last_failed_attempt:
            # Tasks that were started together share an attempt number: they count as one failure.
            job.last_failed_attempt = number
            job.consecutive_failures += 1

    def _clear_machines(self, job: Job) -> None:
        """Stop counting a job that fails on several machines against these machines."""
        for name in job.failed_on:
            machine = self.cluster.machines.get(name)
            if machine is not None:
                machine.failed_jobs.discard(job.spec.id)

    @staticmethod
    def _backoff_s(job: Job) -> float:
        backoff_s = constants.ERROR_BACKOFF_S * 2.0 ** min(job.consecutive_failures - 1, 10)
        return min(constants.ERROR_BACKOFF_MAX_S, backoff_s)

    def mark_failing(self, job: Job, consecutive_failures: int) -> None:
        """Mark the job as failing, with this number of starts that failed in a row."""
        job.set_health(JobHealth.FAILING)
        job.consecutive_failures = consecutive_failures
        self.jobs_with_failures[job.spec.id] = job

    def note_success(self, job: Job, machine: Machine, now: float) -> list[Machine]:
        """Record a success of the job on the machine. Returns the machines found unhealthy."""
        machine.last_success_at = now
        machine.failed_jobs.clear()
        job.failed_on.pop(machine.name, None)
        return self._mark_healthy(job)

    def _mark_healthy(self, job: Job) -> list[Machine]:
        was_failing = job.health is JobHealth.FAILING
        job.set_health(JobHealth.HEALTHY)
        if self.jobs_with_failures.pop(job.spec.id, None) is None:
            return []
        if was_failing:
            self.on_failing_jobs_changed()
        job.consecutive_failures = 0
        job.backoff_until = 0.0
        unhealthy = self._machines_without_success(job)
        # Failures on this many machines had a common cause, which is over: a task succeeded.
        return unhealthy if len(unhealthy) < constants.WIDESPREAD_FAILURE_MACHINES else []

    def _machines_without_success(self, job: Job) -> list[Machine]:
        """Machines on which the job failed and no task has succeeded since, latest failure last."""
        failed = [(self.cluster.machines.get(name), at) for name, at in job.failed_on.items()]
        return [
            machine
            for machine, failed_at in failed
            if machine is not None and not self._succeeded_since(machine, failed_at)
        ]

    @staticmethod
    def _succeeded_since(machine: Machine, failed_at: float) -> bool:
        return machine.last_success_at > failed_at

    def note_runtimes(self, now: float) -> list[Machine]:
        """Mark a job as healthy once one of its tasks has run much longer than its failed tasks
        did; called every second. Returns the machines found unhealthy as a result."""
        unhealthy: list[Machine] = []
        for job in list(self.jobs_with_failures.values()):
            if self.cluster.jobs.get(job.spec.id) is not job:
                del self.jobs_with_failures[job.spec.id]
                continue
            enough_s = max(constants.SUCCESS_RUNTIME_S, 2 * job.longest_failed_run_s)
            for attempt in job.attempts.values():
                if attempt.running and now - attempt.since > enough_s:
                    unhealthy += self._mark_healthy(job)
                    break
        return unhealthy

    def machines_to_avoid(self, job: Job, now: float) -> list[str]:
        """The few machines with the job's latest failures, for a limited time after the failure.

        A success of any task on the machine ends the avoidance sooner.
        """
        names = [
            machine.name
            for machine in self._machines_without_success(job)
            if now - job.failed_on[machine.name] < constants.AVOID_S
        ]
        return names[-constants.AVOID_MACHINES :]

    def may_retry(self, job: Job, machine: str, now: float) -> bool:
        """Whether the job may start again on a machine that it avoids, if it has no other.

        The pause after each failure grows with the number of starts that failed in a row.
        """
        return now - job.failed_on[machine] >= min(constants.AVOID_S, self._backoff_s(job))
