"""Sort keys: jobs among jobs, and machines for a task.

Jobs are ordered by priority, then by whether the team's quota covers the job, then by who must
start first to meet a service-level objective, then by age. Machines for a task are ordered as the
paper does: image cached, latest heartbeat, least memory left, least CPU left, hash; before that
comes the number of GPUs, so that scarce types stay free for what fits nowhere else.
"""

from __future__ import annotations

from zlib import crc32

from peathall import constants
from peathall.config.platform import Objective
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec, Priority

# Jobs that can no longer meet any objective sort after all others, in order of submission.
OBJECTIVES_MISSED_S = 1e7


def machine_sort_key(
    machine: MachineView, spec: JobSpec, prefer_spot: bool, hash_seed: int
) -> tuple[float, ...]:
    """The paper's order of hosts, after what is scarce: GPUs, and machines that are not spot while
    there are jobs that may use no others. Replicas go to machines with few others. `hash_seed` is
    the hash of the job, which the hash of the machine continues."""
    cached = spec.image in machine.images
    return (
        machine.gpus,
        prefer_spot and not machine.spot,
        spec.daemon and machine.replicas >= constants.REPLICAS_TOGETHER,
        not cached,
        not cached and spec.image not in machine.detail().fetching,
        machine.missed_intervals,
        not machine.spot,  # the dearer machines become idle first and are scaled in
        machine.free[2],
        machine.free[0],
        crc32(machine.name_bytes, hash_seed),
    )


def latest_start(spec: JobSpec, objectives: list[Objective], now: float, fetch_s: float) -> float:
    """Time of day by which the job must start to meet the next objective of its class that can
    still be met."""
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
    return best if best is not None else spec.submitted + OBJECTIVES_MISSED_S


def cluster_seconds(job: JobView, totals: tuple[float, float]) -> float:
    """Seconds for which the job's pending tasks would use all machines; `totals` are the CPUs and
    GPUs of these."""
    spec = job.spec
    shares = [n / t for n, t in zip((spec.cpus, spec.gpus), totals, strict=True) if t > 0]
    return job.pending * max(shares, default=0.0) * spec.estimate_s


def gang_starving_bonus_s(spec: JobSpec) -> float:
    """By how many seconds sooner a gang counts as starving: its machines become free one by
    one."""
    return (
        min(constants.GANG_STARVING_MOST_S, constants.GANG_STARVING_STEP_S * (spec.tasks - 1))
        if spec.gang
        else 0.0
    )


def job_sort_key(job: JobView, totals: tuple[float, float]) -> tuple[float, ...]:
    """The sort key of a job among all that are pending; `totals` are the CPUs and GPUs of all
    machines."""
    spec = job.spec
    if job.borrowed:
        return (Priority.IDLE + 1, spec.priority, spec.submitted)  # after all that is ours
    if job.is_starving:
        return (-1, spec.submitted - gang_starving_bonus_s(spec))
    # Small jobs go before large ones of about the same urgency: when not all can be in
    # time, more of them are.
    start = job.latest_start + constants.JOB_SIZE_WEIGHT * cluster_seconds(job, totals)
    # Gangs go before independent tasks of their priority: those fit into any capacity that is
    # left, while a gang would wait indefinitely for all of its capacity at once.
    return (spec.priority, not job.within_quota, not spec.gang, start, spec.submitted)
