"""Keeps a team's guaranteed quota in this cell free of jobs that other cells hand over. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from peathall.config.platform import Team
from peathall.protocol.jobs import JobSpec


def quota_conflict(spec: JobSpec, borrowed: Iterable[JobSpec], team: Team) -> str | None:
    """Why the job may not be borrowed beside those that are: they would use what its team is
    guaranteed here. None if it may."""
    others = [other for other in borrowed if other.team == spec.team]
    cpus = sum(other.cpus * other.tasks for other in [*others, spec])
    gpus = sum(other.gpus * other.tasks for other in [*others, spec])
    for used, limit, guaranteed in (
        (cpus, team.cpus_max, team.cpus),
        (gpus, team.gpus_max, team.gpus),
    ):
        if limit and used > limit - guaranteed:
            return "it would use what its team is guaranteed here"
    return None
