"""Attempts that could be preempted, and the work that preempting them would lose."""

from __future__ import annotations

from collections.abc import Iterator

from peathall import constants
from peathall.cluster.job import Attempt, Job
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.placement.context import RoundContext
from peathall.placement.views import TeamWorkload, Victim


class Victims:
    """Finds the attempts that a round may preempt, on a machine or of a team."""

    def __init__(self, cluster: ClusterState, context: RoundContext) -> None:
        self.cluster = cluster
        self.context = context

    def on_machine(self, machine: Machine, now: float) -> Iterator[Victim]:
        """The attempts on the machine that could be preempted at monotonic time `now`."""
        for attempt in machine.attempts.values():
            victim = self._victim(attempt, machine, now)
            if victim is not None:
                yield victim

    def team_workload(self, team: str, priority: int) -> TeamWorkload:
        """The team's capacity being freed, and its work that a job of `priority` may preempt."""
        cpus = gpus = 0.0
        units: list[list[Victim]] = []
        for job in self.cluster.jobs.values():
            spec = job.spec
            if spec.team != team or not job.attempts:
                continue
            ending = sum(1 for attempt in job.attempts.values() if attempt.is_ending)
            cpus, gpus = cpus + spec.cpus * ending, gpus + spec.gpus * ending
            if spec.priority > priority and ending < len(job.attempts):
                units += self._units(job)
        return TeamWorkload((cpus, gpus), units)

    def lasting_usage(self, team: str, priority: int) -> tuple[float, float]:
        """CPUs and GPUs of the team's replicas that a job of `priority` can't preempt: they are in
        use until their jobs are cancelled."""
        cpus = gpus = 0.0
        for job in self.cluster.jobs.values():
            spec = job.spec
            if spec.daemon and spec.team == team and spec.priority <= priority:
                remaining = sum(1 for attempt in job.attempts.values() if not attempt.is_ending)
                cpus, gpus = cpus + spec.cpus * remaining, gpus + spec.gpus * remaining
        return cpus, gpus

    def _units(self, job: Job) -> list[list[Victim]]:
        """The job's victims, in lists that are preempted as a whole: independent tasks one by one,
        and a gang together, provided that all of it may be preempted."""
        victims = []
        for attempt in job.attempts.values():
            machine = self.cluster.machines[attempt.machine]
            victim = self._victim(attempt, machine, self.context.now) if machine.cpus else None
            if victim is not None:
                victims.append(victim)
        if not job.spec.gang:
            return [[victim] for victim in victims]
        return [victims] if len(victims) == len(job.attempts) else []

    def _victim(self, attempt: Attempt, machine: Machine, now: float) -> Victim | None:
        """The attempt as a victim; None if it must not be preempted."""
        if attempt.is_ending:
            return None
        spec = attempt.job.spec
        ran_s = now - attempt.since if attempt.running else 0.0
        if attempt.job.started_late and ran_s < constants.STABLE_START_S:
            return None  # the job waited so long that its start must last long enough to count
        lost_s = spec.save_s if spec.checkpoint_s else ran_s
        if ran_s < constants.STABLE_START_S:
            lost_s += constants.STABLE_START_S  # its start would not count for the objectives
        share = max(spec.cpus / machine.cpus, spec.gpus / max(machine.gpus, 1.0))
        return Victim(
            spec,
            attempt.task,
            machine.name,
            spec.id in self.context.within_quota,
            (lost_s + constants.RESTART_COST_S) * share,
            remaining_s(spec.expected_s, ran_s),
            attempt.job.borrowed,
        )


def remaining_s(expected_s: float, ran_s: float) -> float:
    """Seconds for which a task should go on that has run for `ran_s`. One that is overdue counts as
    overdue for as long again: it may never end, and others wait for a machine held until then."""
    return max(1.0, abs(expected_s - ran_s))
