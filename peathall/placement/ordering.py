"""Who comes first: jobs among jobs, and machines for a task.

Order of jobs: priority, then whether the team's guarantee covers the job, then
who must start first to meet an aim, then age. Machines for a task, as the paper
orders them: image cached, freshest report, least memory left, least CPU left,
hash; before that stands the number of GPUs, so that scarce types stay free for
what fits nowhere else.
"""

from __future__ import annotations

from zlib import crc32

from peathall import constants
from peathall.config.platform import Objective
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec, Priority


def rank(machine: MachineView, spec: JobSpec, keep_ordinary: bool, seed: int) -> tuple[float, ...]:
    """The paper's order of hosts, after what is scarce: GPUs, and ordinary machines
    while there are jobs that may use no others. Replicas come to machines with few others.
    `seed` begins the hash with the job."""
    cached = spec.image in machine.images
    return (
        machine.gpus,
        keep_ordinary and not machine.spot,
        spec.daemon and machine.replicas >= constants.REPLICAS_TOGETHER,
        not cached,
        not cached and spec.image not in machine.look().pulling,
        machine.stale,
        not machine.spot,  # the dearer machines fall idle first and are returned
        machine.free[2],
        machine.free[0],
        crc32(machine.key, seed),
    )


def latest_start(spec: JobSpec, objectives: list[Objective], now: float, fetch_s: float) -> float:
    """When the job must start to meet the next aim of its class that can still be met."""
    best: float | None = None
    for aim in objectives:
        if aim.class_name != spec.class_name:
            continue
        if aim.kind == "wait" and aim.within_s is not None:
            at = spec.submitted + aim.within_s - fetch_s
        elif aim.kind == "finished" and aim.within_s is not None:
            at = spec.submitted + aim.within_s - spec.estimate_s - fetch_s
        elif aim.kind == "deadline" and spec.deadline_s is not None:
            at = spec.submitted + spec.deadline_s * (aim.times or 1.0) - spec.estimate_s - fetch_s
        else:
            continue
        if at >= now and (best is None or at < best):
            best = at
    # Jobs that can no longer meet any aim come after the others, oldest first.
    return best if best is not None else spec.submitted + 1e7


def effort(job: JobView, totals: tuple[float, float]) -> float:
    """Seconds for which the job's waiting tasks would fill the whole fleet."""
    spec = job.spec
    shares = [n / t for n, t in zip((spec.cpus, spec.gpus), totals, strict=True) if t > 0]
    return job.pending * max(shares, default=0.0) * spec.estimate_s


def gathering_s(spec: JobSpec) -> float:
    """By how much sooner a gang counts as aged: its machines fall free one by one."""
    return (
        min(constants.GANG_STARVING_MOST_S, constants.GANG_STARVING_STEP_S * (spec.tasks - 1))
        if spec.gang
        else 0.0
    )


def order(job: JobView, totals: tuple[float, float]) -> tuple[float, ...]:
    """The sort key of a job among all that wait."""
    # Gangs go before independent tasks of their priority: those fill any gap that is
    # left, while a gang would wait for ever for a gap as large as itself.
    spec = job.spec
    # Small jobs go before large ones of about the same urgency: when not all can be in
    # time, more of them are.
    start = job.latest_start + constants.EFFORT_WEIGHT * effort(job, totals)
    if job.borrowed:
        return (Priority.IDLE + 1, spec.priority, spec.submitted)  # after all that is ours
    if job.is_starving:
        return (-1, spec.submitted - gathering_s(spec))
    return (spec.priority, not job.within_quota, not spec.gang, start, spec.submitted)
