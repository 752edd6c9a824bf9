"""The state of jobs, machines and attempts at the start of a round."""

from __future__ import annotations

from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.placement.context import RoundContext
from peathall.placement.job_views import JobViews
from peathall.placement.machine_views import MachineViews
from peathall.placement.quotas import jobs_within_quota
from peathall.placement.reservations import Reservations
from peathall.placement.victims import Victims
from peathall.workers.workers import Workers


class Snapshot:
    """The input of a round: views of jobs and machines, and the attempts that may be preempted."""

    def __init__(
        self, cluster: ClusterState, params: Params, workers: Workers, reservations: Reservations
    ) -> None:
        self.teams = {team.name: team for team in params.teams}
        self.context = RoundContext()
        self.victims = Victims(cluster, self.context)
        self.jobs = JobViews(cluster, params.objectives, workers.faults, reservations, self.context)
        self.machines = MachineViews(
            cluster, workers, reservations, self.victims, self.context, params.workers.report_s
        )

    def begin(self, wall: float, now: float) -> None:
        """Start a round at wall-clock time `wall` and monotonic time `now`."""
        self.context.wall, self.context.now = wall, now
        self.context.within_quota = jobs_within_quota(self.jobs.active(), self.teams)
