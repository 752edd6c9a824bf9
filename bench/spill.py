"""Waits of urgent gangs in three cells with spilling and without, under skewed bursts.

    PYTHONPATH=. .venv/bin/python bench/spill.py --seeds 5 --seconds 900
    PYTHONPATH=. .venv/bin/python bench/spill.py --take-back 10

On the virtual clock, against the stand-ins of the tests. A burst hits one cell, drawn by weights,
with a number of gangs drawn from a geometric distribution; idle machines are kept for a while.
Prints a row for each way, over all seeds.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy
from hdrh.histogram import HdrHistogram

from peathall.operator_config.settings import Operator
from tests.sim.cells_world import LEASE_S, Cells
from tests.sim.test_days import virtual_loop

CELLS = 3
WEIGHTS = [0.6, 0.25, 0.15]  # of bursts
BURST_MEAN = 4.0  # gangs
IDLE_S = 200.0  # s; an idle machine is returned then
BURST_GAP_S = 25.0  # s; mean of an exponential distribution
RUN_S = (20.0, 60.0)
MACHINES = 4  # of each cell, all that its cloud has
PERCENTILES = (50, 90, 99)


@dataclass
class Outcome:
    """Sums over all seeds."""

    waits_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 3_600_000, 3))
    jobs: int = 0
    late: int = 0  # began after their aim of 15 s
    useful_s: float = 0.0
    rented_s: float = 0.0
    changes: int = 0
    handoffs: int = 0
    busy_s: float = 0.0
    faults: list[str] = field(default_factory=list)


async def sample_machines(cells: Cells, outcome: Outcome) -> None:
    while True:
        await asyncio.sleep(1.0)
        outcome.rented_s += sum(len(world.workers) for world in cells.worlds)


async def day(cells: Cells, seconds: float, drawn: Any, outcome: Outcome) -> None:
    for world in cells.worlds:
        world.cloud.capacity = MACHINES
    await cells.begin()
    for world in cells.worlds:
        for host, _ in world.controllers.values():
            host.metered = True
    watching = cells.loop.create_task(sample_machines(cells, outcome))
    users, number = [], 0
    while cells.loop.now < seconds:
        cell = int(drawn.choice(CELLS, p=WEIGHTS))
        for _ in range(int(drawn.geometric(1 / BURST_MEAN))):
            number += 1
            run_s = float(drawn.uniform(*RUN_S))
            size = int(drawn.choice([1, 1, 1, 2]))
            users.append(
                cells.submit(cell, number, run_s=run_s, reckon_s=run_s, parcels=size,
                             vcpus=0.5)
            )  # fmt: skip
        await asyncio.sleep(float(drawn.exponential(BURST_GAP_S)))
    await asyncio.gather(*users)
    watching.cancel()


def count(cells: Cells, outcome: Outcome) -> None:
    for world in cells.worlds:
        for job_id, at in world.submitted.items():
            begun = min(w.begun[job_id] for w in cells.worlds if job_id in w.begun)
            outcome.jobs += 1
            outcome.late += begun - at > 15.0
            outcome.waits_ms.record_value(max(1, int(1000 * (begun - at))))
            job = world.jobs[job_id]
            outcome.useful_s += job["run_s"] * job["parcels"]
        outcome.changes += len(world.state.changes)
        outcome.busy_s += sum(host.cpu_s for host, _ in world.controllers.values())
        outcome.faults += world.broken
    outcome.handoffs += cells.judge.handoffs
    outcome.faults += cells.judge.faults


def play(seed: int, seconds: float, spilling: bool, outcome: Outcome) -> None:
    with virtual_loop(seed) as loop:
        cells = Cells(loop, seed, CELLS)
        for world in cells.worlds:
            for index, operator in world.controller_hosts.operators.items():
                plain = Operator(idle_hold_s=IDLE_S)
                cell = msgspec.structs.replace(operator, idle_hold_s=IDLE_S)
                world.controller_hosts.operators[index] = cell if spilling else plain
        loop.run_until_complete(day(cells, seconds, numpy.random.default_rng(seed), outcome))
        count(cells, outcome)


def compare(seeds: int, seconds: float) -> None:
    print("| | jobs | began within 15 s | wait p50, p90, p99 (s) | handoffs |"
          " useful of rented time | changes | controllers' processor time |")  # fmt: skip
    for name, spilling in (("without", False), ("with", True)):
        outcome, began = Outcome(), time.monotonic()
        for seed in range(1, seeds + 1):
            play(seed, seconds, spilling, outcome)
        waits = [outcome.waits_ms.get_value_at_percentile(p) / 1000 for p in PERCENTILES]
        print(f"| {name} | {outcome.jobs} | {1 - outcome.late / outcome.jobs:.3f} |"
              f" {', '.join(f'{wait:.1f}' for wait in waits)} | {outcome.handoffs} |"
              f" {outcome.useful_s / outcome.rented_s:.3f} | {outcome.changes} |"
              f" {outcome.busy_s:.1f} s | faults {len(outcome.faults)},"
              f" {time.monotonic() - began:.0f} s of this machine")  # fmt: skip
        for fault in outcome.faults[:5]:
            print(fault, file=sys.stderr)


async def vanish_once(cells: Cells) -> float:
    """Seconds from the cell's vanishing until its home has the job back."""
    await cells.begin()
    await cells.warm(1, 100)
    await cells.fill(0, 10, run_s=200.0)
    reached = cells.at(1, "running", lambda: cells.isolate(1, 400.0))
    cells.submit(0, 1, run_s=100.0)
    await asyncio.wait_for(reached.wait(), 60.0)
    return await cells.until(lambda: cells.phase(1) is None, 120.0)


def take_back(times: int) -> None:
    histogram = HdrHistogram(1, 3_600_000, 3)
    for seed in range(1, times + 1):
        with virtual_loop(seed) as loop:
            took = loop.run_until_complete(vanish_once(Cells(loop, seed, 2)))
            histogram.record_value(int(1000 * took))
    workers = 12.0 * 1.001 + 1.0  # lapse_s of the tests' sites
    bound = LEASE_S * 1.001 + workers * 1.001
    print(f"taken back after {histogram.get_min_value() / 1000:.1f} to"
          f" {histogram.get_max_value() / 1000:.1f} s ({times} times); bound {bound:.1f} s after"
          " the last heartbeat, looked at each second")  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=900.0)
    parser.add_argument("--take-back", type=int, default=0, metavar="TIMES")
    args = parser.parse_args()
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    if args.take_back:
        take_back(args.take_back)
    else:
        compare(args.seeds, args.seconds)


if __name__ == "__main__":
    main()
