"""Team quotas: use against the limits in a round of placement, and jobs within the guarantees."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from peathall.cluster.job import Job, JobHealth
from peathall.config.platform import Team
from peathall.placement.bin_packing import EPS
from peathall.protocol.jobs import JobSpec


def jobs_within_quota(active: Iterable[Job], teams: Mapping[str, Team]) -> set[str]:
    """Ids of the jobs that fit into what their team is guaranteed, together with the team's
    unfinished jobs that were submitted earlier."""
    totals: dict[str, list[float]] = {}
    within_quota = set()
    # What may never succeed uses up its team's quota for no other job.
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


class TeamQuotas:
    """Use of CPUs and GPUs by team, as it is and as the round's own starts change it.

    Part of a limit can be reserved for a job that is yet to be placed in this round, or that waits
    until preempted tasks are gone, so that no other job of its team uses it.
    """

    def __init__(self, teams: Mapping[str, Team], usage: Mapping[str, Sequence[float]]) -> None:
        self._teams = teams
        self._usage = {team: [use[0], use[1]] for team, use in usage.items()}
        self._reserved: dict[str, int] = {}  # job -> tasks

    def allowance_for(self, spec: JobSpec, wanted: int) -> int:
        """How many of `wanted` tasks the team's limit still allows."""
        if spec.team not in self._teams:
            return 0
        for _, need, left in self._headroom(spec):
            wanted = min(wanted, int((left + EPS) / need))
        return max(0, wanted)

    def lacking(self, spec: JobSpec, count: int) -> tuple[float, float]:
        """CPUs and GPUs by which `count` more tasks would exceed the team's limit."""
        lacking = [0.0, 0.0]
        for kind, need, left in self._headroom(spec):
            lacking[kind] = max(0.0, need * count - left - EPS)
        return lacking[0], lacking[1]

    def _headroom(self, spec: JobSpec) -> list[tuple[int, float, float]]:
        """Of each kind that is limited and that the job uses: its index, a task's need, and
        what is left."""
        team = self._teams[spec.team]
        use = self._usage.get(spec.team, (0.0, 0.0))
        limits = ((0, spec.cpus, team.cpus_max), (1, spec.gpus, team.gpus_max))
        return [(kind, need, most - use[kind]) for kind, need, most in limits if most and need > 0]

    def use(self, spec: JobSpec, count: int) -> None:
        """Count tasks of the job as started; a negative count takes them back."""
        use = self._usage.setdefault(spec.team, [0.0, 0.0])
        use[0] += spec.cpus * count
        use[1] += spec.gpus * count

    def reserve(self, spec: JobSpec, count: int) -> None:
        """Reserve as much of the limit for the job's next tasks as `count` of them need."""
        count = self.allowance_for(spec, count)
        if count:
            self._reserved[spec.id] = self._reserved.get(spec.id, 0) + count
            self.use(spec, count)

    def release_reserved(self, spec: JobSpec) -> None:
        """The job is being placed: what was reserved for it counts as free again."""
        self.use(spec, -self._reserved.pop(spec.id, 0))
