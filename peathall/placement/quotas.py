"""Team quotas: usage against the teams' limits in a round, and the jobs within their guarantees."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from peathall.cluster.job import Job, JobHealth
from peathall.config.platform import Team
from peathall.placement.bin_packing import EPS, tasks_within
from peathall.protocol.jobs import JobSpec


def jobs_within_quota(active: Iterable[Job], teams: Mapping[str, Team]) -> set[str]:
    """Ids of the jobs that fit into their team's guarantee together with the team's unfinished jobs
    that were submitted earlier."""
    totals: dict[str, list[float]] = {}
    within_quota = set()
    # A failing job may never succeed, so it takes up no part of its team's guarantee.
    counted = [job for job in active if job.health is not JobHealth.FAILING and not job.borrowed]
    for job in sorted(counted, key=lambda job: job.spec.submitted):
        team = teams.get(job.spec.team)
        if team is None or not (team.cpus or team.gpus):
            continue
        total = totals.setdefault(team.name, [0.0, 0.0])
        unfinished = job.spec.tasks - len(job.done)
        total[0] += job.spec.cpus * unfinished
        total[1] += job.spec.gpus * unfinished
        uses_guarantee = (team.gpus and job.spec.gpus) or (team.cpus and job.spec.cpus)
        if (
            uses_guarantee
            and (not team.cpus or total[0] <= team.cpus)
            and (not team.gpus or total[1] <= team.gpus)
        ):
            within_quota.add(job.spec.id)
    return within_quota


# (team, priority) -> CPUs and GPUs of the team's replicas that such a job can't preempt.
LastingUsageLookup = Callable[[str, int], tuple[float, float]]


class TeamQuotas:
    """CPUs and GPUs that each team uses, including tasks that the round has already placed.

    Part of a team's limit can be reserved for a job that is still to be placed in this round, or
    that waits until preempted tasks are gone, so that no other job of the team uses it.
    """

    def __init__(
        self,
        teams: Mapping[str, Team],
        usage: Mapping[str, Sequence[float]],
        lasting_usage: LastingUsageLookup = lambda team, priority: (0.0, 0.0),
    ) -> None:
        self._teams = teams
        self._lasting_usage = lasting_usage
        self._usage = {team: [use[0], use[1]] for team, use in usage.items()}
        self._reserved: dict[str, int] = {}  # job -> tasks

    def allowance_for(self, spec: JobSpec, wanted: int) -> int:
        """How many of the `wanted` tasks the team's limit still allows."""
        if spec.team not in self._teams:
            return 0
        for _, need, left in self._headroom(spec):
            wanted = tasks_within(left, need, wanted)
        return wanted

    def may_ever_allow(self, spec: JobSpec) -> bool:
        """Whether the limit allows all tasks of the job once all work of the team has ended that
        ends by itself or that the job may preempt."""
        team = self._teams[spec.team]
        lasting = self._lasting_usage(spec.team, spec.priority)
        needs = ((spec.cpus, team.cpus_max, lasting[0]), (spec.gpus, team.gpus_max, lasting[1]))
        return all(
            not limit or not need or need * spec.tasks <= limit - used + EPS
            for need, limit, used in needs
        )

    def excess(self, spec: JobSpec, count: int) -> tuple[float, float]:
        """CPUs and GPUs by which `count` more tasks would exceed the team's limit."""
        excess = [0.0, 0.0]
        for resource, need, left in self._headroom(spec):
            excess[resource] = max(0.0, need * count - left - EPS)
        return excess[0], excess[1]

    def _headroom(self, spec: JobSpec) -> list[tuple[int, float, float]]:
        """For each limited resource that the job uses: its index (0: CPUs, 1: GPUs), the need of
        one task, and the amount left under the limit."""
        team = self._teams[spec.team]
        use = self._usage.get(spec.team, (0.0, 0.0))
        limits = ((0, spec.cpus, team.cpus_max), (1, spec.gpus, team.gpus_max))
        return [
            (resource, need, limit - use[resource])
            for resource, need, limit in limits
            if limit and need > 0
        ]

    def use(self, spec: JobSpec, count: int) -> None:
        """Count `count` tasks of the job as started; a negative count reverts that."""
        use = self._usage.setdefault(spec.team, [0.0, 0.0])
        use[0] += spec.cpus * count
        use[1] += spec.gpus * count

    def reserve(self, spec: JobSpec, count: int) -> None:
        """Reserve the part of the limit that up to `count` next tasks of the job need."""
        count = self.allowance_for(spec, count)
        if count:
            self._reserved[spec.id] = self._reserved.get(spec.id, 0) + count
            self.use(spec, count)

    def release_reserved(self, spec: JobSpec) -> None:
        """Release the part of the limit reserved for the job, which is about to be placed."""
        self.use(spec, -self._reserved.pop(spec.id, 0))
