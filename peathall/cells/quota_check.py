"""Keeps borrowed jobs out of the quota that a team is guaranteed in this cell. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable

from peathall.config.platform import Team
from peathall.protocol.jobs import JobSpec


def quota_conflict(spec: JobSpec, borrowed: Iterable[JobSpec], team: Team) -> str | None:
    """Return why the job may not be borrowed in addition to `borrowed`, or None if it may.

    Borrowed jobs of a team may use at most its limit less its guaranteed quota.
    """
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
