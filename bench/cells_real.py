"""Three cells under bursts of jobs, with leaders that are killed and frozen.

    PYTHONPATH=.:target/deps python3 bench/cells_real.py --bursts 6 --seed 1

Each cell consists of three controllers, started through run.py as real processes on loopback, and
of its own stand-ins of state service and cloud. Bursts of urgent gangs are submitted to the first
cell. At the end the stand-ins' logs are checked: no task ran in two places at once, every job is
done, and no record of a handoff is left in any state service.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

from bench.freezes import Site, job_status, read_log, submit
from peathall.http.client import HttpClient, NoAnswerError

CELLS, CONTROLLERS, MACHINES = 3, 3, 4
TASK_S = 20.0  # run time of every task
LEASE_S = 14.0  # of handoffs
BURST_GANGS = 7  # gangs submitted at once; a cell has room for 4
BURST_GAP_S = 30.0


def operator_config(cell: int, sites: list[Site]) -> str:
    neighbours = "".join(
        f'  neighbour {{ name: "cell-{i}" '
        + " ".join(f'controller: "127.0.0.1:{port}"' for port in site.peer_ports)
        + " }\n"
        for i, site in enumerate(sites)
        if i != cell
    )
    head = f'idle_hold_s: 120\ncells {{\n  name: "cell-{cell}" lease_s: {LEASE_S}\n'
    return head + neighbours + "}\n"


async def leader_of(site: Site) -> int:
    """Index of the controller that says it leads; 0 if none does."""
    for index, port in enumerate(site.peer_ports):
        try:
            client = HttpClient(f"127.0.0.1:{port}", max_idle=0)
            _, raw = await client.request("GET", "/ping", b"", 1.0)
            if orjson.loads(raw)["leads"]:
                return index
        except NoAnswerError:
            continue
    return 0


async def inject_faults(sites: list[Site], rng: random.Random, counts: dict[str, int]) -> None:
    """Kills or freezes leaders of random cells until it is cancelled. A freeze is shorter than the
    leader's lease (3 s), longer than it, or longer than the lease of handoffs."""
    while True:
        await asyncio.sleep(rng.uniform(4.0, 10.0))
        site = rng.choice(sites)
        index = await leader_of(site)
        if rng.random() < 0.5:
            counts["kills"] += 1
            site.controllers[index].kill()
            site.controllers[index].wait()
            await asyncio.sleep(rng.choice([0.1, 3.0]))
            site.controllers[index] = site.start(index)
        else:
            counts["freezes"] += 1
            site.controllers[index].send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.choice([0.5, 5.0, 16.0]))
            site.controllers[index].send_signal(signal.SIGCONT)


def submit_gang(site: Site, number: int) -> asyncio.Task[str]:
    gang = {"docket": "urgent", "shape": "ensemble", "vcpus": 4.0, "reckon_s": TASK_S}
    return asyncio.create_task(submit(site, number, 1, **gang))


async def run_workload(
    sites: list[Site], bursts: int, rng: random.Random, counts: dict[str, int]
) -> None:
    await asyncio.sleep(3.0)
    submissions = [
        submit_gang(site, 900 + 10 * i + n) for i, site in enumerate(sites) for n in range(4)
    ]
    homes = {900 + 10 * i + n: site for i, site in enumerate(sites) for n in range(4)}
    await asyncio.sleep(TASK_S + 5.0)  # all machines have started and are idle again
    fault_injection = asyncio.create_task(inject_faults(sites, rng, counts))
    for burst in range(bursts):
        for n in range(BURST_GANGS):
            submissions.append(submit_gang(sites[0], burst * BURST_GANGS + n))
            homes[burst * BURST_GANGS + n] = sites[0]
        await asyncio.sleep(BURST_GAP_S)
    fault_injection.cancel()
    for site in sites:
        for controller in site.controllers:
            controller.send_signal(signal.SIGCONT)
    await asyncio.gather(*submissions)
    counts["jobs"] = len(homes)
    for _ in range(150):
        statuses = [await job_status(site, f"j-{number:06d}") for number, site in homes.items()]
        counts["done"] = statuses.count("done")
        if counts["done"] == len(homes):
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(20.0)  # time for handoffs to end and their records to be deleted


class LogChecker:
    """Checks the merged logs of all stand-ins: overlapping runs of a task, and handoff records that
    are never deleted."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.runs: dict[str, list[tuple[float, float, int]]] = {}  # task -> start, end, cell
        self.handoffs: set[tuple[str, int]] = set()
        self.open_records: set[tuple[int, str]] = set()
        self.changes = self.handoff_changes = 0

    def check_line(self, cell: int, line: dict[str, Any]) -> None:
        if line["kind"] == "start":
            runs = self.runs.setdefault(line["task"], [])
            if runs and runs[-1][1] > line["at"] + 0.001:
                self.faults.append(f"{line['task']} starts in cell {cell} during {runs[-1]}")
            runs.append((line["at"], line["at"] + TASK_S, cell))
        elif line["kind"] == "stop" and self.runs.get(line["task"]):
            start, _, run_cell = self.runs[line["task"]][-1]
            if run_cell == cell:
                self.runs[line["task"]][-1] = (start, line["at"], run_cell)
        elif line["kind"] == "commit":
            for op in line["apply"]:
                self.count_change(cell, op)

    def count_change(self, cell: int, op: dict[str, Any]) -> None:
        self.changes += 1
        key = op.get("write", op.get("drop"))
        if not key.startswith(("handoff/", "borrowed/")):
            return
        self.handoff_changes += 1
        if "drop" in op:
            self.open_records.discard((cell, key))
            return
        self.open_records.add((cell, key))
        if op["data"]["phase"] == "granted":
            self.handoffs.add((key, op["data"]["epoch"]))

    def completed_twice(self) -> list[str]:
        """Tasks of which more than one run completed."""
        return [
            task
            for task, runs in self.runs.items()
            if sum(end - start >= TASK_S - 0.01 for start, end, _ in runs) > 1
        ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bursts", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="cells-"))
    sites = []
    for cell in range(CELLS):
        (folder / str(cell)).mkdir()
        sites.append(Site(folder / str(cell), CONTROLLERS, MACHINES))
    counts = {"jobs": 0, "done": 0, "kills": 0, "freezes": 0}
    began = time.monotonic()
    try:
        for cell, site in enumerate(sites):
            site.start_all(operator_config(cell, sites), TASK_S)
        asyncio.run(run_workload(sites, args.bursts, random.Random(args.seed), counts))
    finally:
        for site in sites:
            site.kill_all()
    checker = LogChecker()
    entries = [
        (line["at"], cell, line)
        for cell, site in enumerate(sites)
        for name in ("store.log", "cloud.log")
        for line in read_log(site.folder / name)
    ]
    for _, cell, line in sorted(entries, key=lambda entry: entry[0]):
        checker.check_line(cell, line)
    twice = checker.completed_twice()
    print(
        f"seed {args.seed}: {counts['kills']} kills, {counts['freezes']} freezes in"
        f" {time.monotonic() - began:.0f} s; {counts['done']} of {counts['jobs']} jobs done;"
        f" {len(checker.handoffs)} handoffs granted; {checker.handoff_changes} of {checker.changes}"
        f" stored changes are of handoffs; tasks completed twice {len(twice)} {twice[:3]};"
        f" handoff records left {len(checker.open_records)};"
        f" faults {len(checker.faults)} {checker.faults[:3]}"
    )
    if args.keep:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(
        bool(checker.faults or twice or checker.open_records or counts["done"] < counts["jobs"])
    )


if __name__ == "__main__":
    main()
