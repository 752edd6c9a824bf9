"""Sort keys for pending jobs, and for the machines on which a task could run.

Jobs are ordered by priority, then by whether the team's quota covers the job, then gangs before
independent tasks, then by the latest start that meets a service-level objective, then by age.
Machines are ordered by number of GPUs, so that scarce types stay free for tasks that fit nowhere
else, and then as the paper behind this scheduler prescribes: image cached, latest heartbeat, least
memory left, least CPU left, hash.
"""

from __future__ import annotations

from zlib import crc32

from peathall import constants
from peathall.config.platform import Objective
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec, Priority

# Added to the submission time of jobs that can no longer meet any objective: they sort after the
# comparable jobs that can, in order of submission.
MISSED_OBJECTIVES_DELAY_S = 1e7


def machine_sort_key(
    machine: MachineView, spec: JobSpec, prefer_spot: bool, hash_seed: int
) -> tuple[float, ...]:
    """Sort key of a machine for a task of the job, best first. Machines with scarce properties come
    last: those with GPUs, and those that are not spot while some job must not use spot machines
    (`prefer_spot`). Replicas prefer machines with few replicas. `hash_seed` is the CRC of the job,
    which the CRC of the machine name continues."""
    cached = spec.image in machine.images
    return (
        machine.gpus,
        prefer_spot and not machine.spot,
        spec.daemon and machine.replicas >= constants.PREFERRED_REPLICAS_PER_MACHINE,
        not cached,
        not cached and spec.image not in machine.detail().fetching,
        machine.missed_intervals,
        not machine.spot,  # the more expensive machines become idle first and are scaled in
        machine.free[2],
        machine.free[0],
        crc32(machine.name_bytes, hash_seed),
    )


def latest_start(spec: JobSpec, objectives: list[Objective], now: float, fetch_s: float) -> float:
    """Wall-clock time by which the job must start to meet the earliest objective of its class that
    can still be met; far in the future if none can."""
    best: float | None = None
    for objective in objectives:
        if objective.class_name != spec.class_name:
            continue
        if objective.kind == "wait" and objective.within_s is not None:
            at = spec.submitted + objective.within_s - fetch_s
        elif objective.kind == "finished" and objective.within_s is not None:
            at = spec.submitted + objective.within_s - spec.estimate_s - fetch_s
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            within_s = spec.deadline_s * (objective.times or 1.0)
            at = spec.submitted + within_s - spec.estimate_s - fetch_s
        else:
            continue
        if at >= now and (best is None or at < best):
            best = at
    return best if best is not None else spec.submitted + MISSED_OBJECTIVES_DELAY_S


def cluster_seconds(job: JobView, totals: tuple[float, float]) -> float:
    """Seconds for which the job's pending tasks would fill the whole cluster; `totals` are the CPUs
    and GPUs of all machines."""
    spec = job.spec
    shares = [n / t for n, t in zip((spec.cpus, spec.gpus), totals, strict=True) if t > 0]
    return job.pending * max(shares, default=0.0) * spec.estimate_s


def gang_starving_bonus_s(spec: JobSpec) -> float:
    """Seconds by which a gang counts as starving sooner, since the machines that it needs become
    free one by one; 0 for independent tasks."""
    return (
        min(constants.GANG_STARVING_MAX_S, constants.GANG_STARVING_STEP_S * (spec.tasks - 1))
        if spec.gang
        else 0.0
    )


def job_sort_key(job: JobView, totals: tuple[float, float]) -> tuple[float, ...]:
    """Sort key of a job among the pending jobs; the lowest is placed first. `totals` are the CPUs
    and GPUs of all machines."""
    spec = job.spec
    if job.borrowed:
        return (Priority.IDLE + 1, spec.priority, spec.submitted)  # after all jobs of this cell
    if job.is_starving:
        return (-1, spec.submitted - gang_starving_bonus_s(spec))
    # Small jobs go before large ones of about the same urgency, so that more jobs meet their
    # objectives when not all can.
    start = job.latest_start + constants.JOB_SIZE_WEIGHT * cluster_seconds(job, totals)
    # Gangs go before independent tasks of the same priority: independent tasks fit into any
    # capacity that is left, while a gang needs all of its capacity at once and would never get it.
    return (spec.priority, not job.within_quota, not spec.gang, start, spec.submitted)
