"""Admission: checks whether a submitted job could ever run on this platform."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from peathall.config.platform import Params, Team
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec

QUOTA_TOLERANCE = 1e-6  # CPUs or GPUs, for rounding errors in sums of fractions


def rejection_reason(spec: JobSpec, types: Mapping[str, MachineType], params: Params) -> str | None:
    """Reason why the job can never run, as sent to its user; None if it can run.

    `types` are the machine types by name. If it is empty, every job is rejected, so callers must
    wait until the machine types are known.
    """
    team = next((team for team in params.teams if team.name == spec.team), None)
    if team is None:
        return "unknown team"
    if _exceeds_quota(spec, team):
        return "needs more than its team's limit"
    allowed = [machine_type for machine_type in types.values() if _fits(spec, machine_type)]
    if not allowed:
        return "a task fits no allowed machine type"
    if _spread_is_impossible(spec, allowed):
        return "all tasks in one zone and at most half of them there"
    return None


def _exceeds_quota(spec: JobSpec, team: Team) -> bool:
    # Independent tasks can run one after another; gang tasks and daemon replicas run at once.
    concurrent_tasks = spec.tasks if _runs_together(spec) else 1
    return any(
        limit and per_task * concurrent_tasks > limit + QUOTA_TOLERANCE
        for per_task, limit in ((spec.cpus, team.cpus_max), (spec.gpus, team.gpus_max))
    )


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether the job allows this machine type and one task fits an empty machine of it."""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.ram <= machine_type.ram
    )


def _spread_is_impossible(spec: JobSpec, allowed: Iterable[MachineType]) -> bool:
    """Whether a spread job has fewer than two zones: at most half of its tasks may share one."""
    if not (_runs_together(spec) and spec.spread and spec.tasks > 1):
        return False
    zones = {
        zone for machine_type in allowed for zone in machine_type.zones if spec.zone in (None, zone)
    }
    return spec.one_zone or len(zones) == 1


def _runs_together(spec: JobSpec) -> bool:
    return spec.gang or spec.daemon
