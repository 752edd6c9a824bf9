"""Processor time of one heartbeat and of one scheduling round, at several times the sites' load.

    PYTHONPATH=.:target/deps python3 bench/cost.py

Prints milliseconds on a whole core of this machine; a controller with 18% of a core takes about
six times as long.
"""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any

from peathall import constants
from peathall.cluster.job import AttemptPhase, Job
from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import CloudSettings, Params, StateSettings, Team, WorkerSettings
from peathall.placement.placement import Placement
from peathall.protocol import codec
from peathall.protocol.cloud import MachineType
from peathall.protocol.heartbeats import decode_heartbeat
from peathall.protocol.jobs import JobSpec
from peathall.workers.delivery import DeliveryLimits
from peathall.workers.events import IgnoredEvents
from peathall.workers.workers import Workers

MACHINE_TYPE = MachineType("g", 64.0, 4.0, 256.0, 100.0, 1.0, 10.0, 3.0, 30.0, ["a", "b"])


def job_spec(number: int, tasks: int, gang: bool) -> JobSpec:
    return JobSpec(
        f"j-{number:06d}", "c", "t", gang, 1 if gang else 2, tasks, 14.0 if gang else 1.0,
        2.0 if gang else 0.0, 2.0, f"img-{number % 5}", 5.0, None, None, gang, False, True, 40.0,
        15.0, 4.0, None, float(number),
    )  # fmt: skip


async def measure(machines: int, jobs: int, tasks: int, starving: bool = False) -> None:
    """Prints a line of times. With `starving`, all jobs count as starving, so each job that does
    not fit searches for tasks to preempt."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    idle_since = now - 2 * constants.STARVING_S if starving else now
    params = Params(
        WorkerSettings(3.0, 24.0, 40.0, 4.0, 40.0), StateSettings(1e6, 1e6, 16.0, 16),
        CloudSettings(4.0, 4.0), [Team("t")],
    )  # fmt: skip
    cluster = ClusterState(1, 1 << 24)
    cluster.types = {"g": MACHINE_TYPE}
    workers = Workers(
        cluster, params.workers, now, lambda: True, IgnoredEvents(), DeliveryLimits(9)
    )
    writer: Any = SimpleNamespace(versions={}, submit=lambda ops: None)
    demand: Any = SimpleNamespace(note_unplaced=lambda plan: None)
    placement = Placement(cluster, params, writer, workers, lambda: 0.0, lambda: True, [demand])
    for i in range(machines):
        m = cluster.machine(f"m-{i:06d}", "g", "ab"[i % 2], False, MachinePhase.UP, now)
        m.confirmed = True
    for n in range(jobs):
        cluster.jobs[f"j-{n:06d}"] = Job(
            job_spec(n, 2 if n % 3 == 0 else tasks, n % 3 == 0), idle_since
        )
    began = time.process_time()
    plan = await placement.decide(now)
    empty_fleet_s = time.process_time() - began
    for start in plan.assignments:
        job, machine = cluster.jobs[start.job], cluster.machines[start.machine]
        for task in job.pending.first(start.count):
            attempt = cluster.allocate(job, task, cluster.new_attempt_number(), machine, "r")
            attempt.enter(AttemptPhase.RUNNING, now)
    began = time.process_time()
    await placement.decide(now)
    full_fleet_s = time.process_time() - began
    busiest = max(cluster.machines.values(), key=lambda m: len(m.attempts))
    heartbeat = {
        "hall": busiest.name, "endpoint": "10.0.0.1:1", "build": "g", "ward": "a",
        "standby": False, "tenure": 1, "tick": 0, "mandate": workers.fencing_token,
        "recall_s": None,
        "parcels": [
            {"parcel": f"{j}/{t}", "try": a.number, "standing": "running"}
            for (j, t), a in busiest.attempts.items()
        ],
    }  # fmt: skip
    repeats = 200
    began = time.process_time()
    for tick in range(repeats):
        raw = codec.encode_cbor(heartbeat | {"tick": tick})
        decoded = decode_heartbeat(codec.decode_cbor_map(raw))
        _, response = workers.handle_heartbeat(decoded, now)
        codec.encode_cbor(response)
    heartbeat_s = (time.process_time() - began) / repeats
    job_kind = "starving jobs" if starving else "jobs"
    print(
        f"{machines:4d} machines, {jobs:4d} {job_kind}: round with empty fleet "
        f"{empty_fleet_s * 1e3:6.1f} ms ({sum(s.count for s in plan.assignments)} starts), "
        f"with full fleet {full_fleet_s * 1e3:6.1f} ms; "
        f"heartbeat with {len(busiest.attempts)} tasks {heartbeat_s * 1e3:5.2f} ms"
    )


if __name__ == "__main__":
    for size in (
        (48, 80, 30), (456, 120, 100), (645, 140, 25), (970, 210, 25), (900, 400, 150),
        (2000, 420, 25), (4000, 840, 25),
    ):  # fmt: skip
        asyncio.run(measure(*size))
    for size in ((456, 300, 150), (970, 210, 25), (900, 400, 150)):
        asyncio.run(measure(*size, starving=True))
