"""Three cells as real processes on loopback under bursts; leaders are killed and frozen.

    PYTHONPATH=.:target/deps python3 bench/cells_real.py --bursts 6 --seed 1

Three controllers a cell by run.py, each cell with stand-ins of its own. Bursts of urgent gangs go
to the first cell. Afterwards the stand-ins' logs are judged: no task runs in two places at a time,
each job was done, and stores hold no handoff any more.
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

from bench.freezes import Site, read, standing, submit
from peathall.http.client import HttpClient, NoAnswerError

CELLS, SIZE, MACHINES = 3, 3, 4
TASK_S = 20.0
LEASE_S = 14.0
BURST = 7  # gangs that come together; home has room for 4
BURST_GAP_S = 30.0


def operator(cell: int, sites: list[Site]) -> str:
    neighbours = "".join(
        f'  neighbour {{ name: "cell-{i}" '
        + " ".join(f'controller: "127.0.0.1:{port}"' for port in site.back)
        + " }\n"
        for i, site in enumerate(sites)
        if i != cell
    )
    head = f'idle_hold_s: 120\ncells {{\n  name: "cell-{cell}" lease_s: {LEASE_S}\n'
    return head + neighbours + "}\n"


async def leader_of(site: Site) -> int:
    """Its controller that leads, by its own word."""
    for index, port in enumerate(site.back):
        try:
            client = HttpClient(f"127.0.0.1:{port}", max_idle=0)
            _, raw = await client.request("GET", "/ping", b"", 1.0)
            if orjson.loads(raw)["leads"]:
                return index
        except NoAnswerError:
            continue
    return 0


async def disturb(sites: list[Site], rng: random.Random, told: dict[str, int]) -> None:
    """Leaders of any cell end, or stand still for less than the lease or for more."""
    while True:
        await asyncio.sleep(rng.uniform(4.0, 10.0))
        site = rng.choice(sites)
        index = await leader_of(site)
        if rng.random() < 0.5:
            told["kills"] += 1
            site.nodes[index].kill()
            site.nodes[index].wait()
            await asyncio.sleep(rng.choice([0.1, 3.0]))
            site.nodes[index] = site.start(index)
        else:
            told["freezes"] += 1
            site.nodes[index].send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.choice([0.5, 5.0, 16.0]))
            site.nodes[index].send_signal(signal.SIGCONT)


def gang(site: Site, number: int) -> asyncio.Task[str]:
    urgent = {"docket": "urgent", "shape": "ensemble", "vcpus": 4.0, "reckon_s": TASK_S}
    return asyncio.create_task(submit(site, number, 1, **urgent))


async def play(sites: list[Site], bursts: int, rng: random.Random, told: dict[str, int]) -> None:
    await asyncio.sleep(3.0)
    waiting = [gang(site, 900 + 10 * i + n) for i, site in enumerate(sites) for n in range(4)]
    homes = {900 + 10 * i + n: site for i, site in enumerate(sites) for n in range(4)}
    await asyncio.sleep(TASK_S + 5.0)  # all machines are up, and idle again
    disturbing = asyncio.create_task(disturb(sites, rng, told))
    for burst in range(bursts):
        for n in range(BURST):
            waiting.append(gang(sites[0], burst * BURST + n))
            homes[burst * BURST + n] = sites[0]
        await asyncio.sleep(BURST_GAP_S)
    disturbing.cancel()
    for site in sites:
        for node in site.nodes:
            node.send_signal(signal.SIGCONT)
    await asyncio.gather(*waiting)
    told["jobs"] = len(homes)
    for _ in range(150):
        states = [await standing(site, f"j-{number:06d}") for number, site in homes.items()]
        told["done"] = states.count("done")
        if told["done"] == len(homes):
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(20.0)  # what is handed off comes to its end


class Judge:
    """Of the logs of all stand-ins."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.runs: dict[str, list[tuple[float, float, int]]] = {}  # task -> start, end, cell
        self.handoffs: set[tuple[str, int]] = set()
        self.open: set[tuple[int, str]] = set()
        self.changes = self.cell_changes = 0

    def follow(self, cell: int, line: dict[str, Any]) -> None:
        if line["kind"] == "start":
            runs = self.runs.setdefault(line["task"], [])
            if runs and runs[-1][1] > line["at"] + 0.001:
                self.faults.append(f"{line['task']} starts in {cell} beside {runs[-1]}")
            runs.append((line["at"], line["at"] + TASK_S, cell))
        elif line["kind"] == "stop" and self.runs.get(line["task"]):
            start, _, where = self.runs[line["task"]][-1]
            if where == cell:
                self.runs[line["task"]][-1] = (start, line["at"], where)
        elif line["kind"] == "commit":
            for op in line["apply"]:
                self.changed(cell, op)

    def changed(self, cell: int, op: dict[str, Any]) -> None:
        self.changes += 1
        key = op.get("write", op.get("drop"))
        if not key.startswith(("handoff/", "borrowed/")):
            return
        self.cell_changes += 1
        if "drop" in op:
            self.open.discard((cell, key))
            return
        self.open.add((cell, key))
        if op["data"]["phase"] == "granted":
            self.handoffs.add((key, op["data"]["epoch"]))

    def completed_twice(self) -> list[str]:
        """Tasks of which more than one run came to its end."""
        return [
            task
            for task, runs in self.runs.items()
            if sum(end - start >= TASK_S - 0.01 for start, end, _ in runs) > 1
        ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bursts", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="the logs, to read them")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="cells-"))
    sites = []
    for cell in range(CELLS):
        (folder / str(cell)).mkdir()
        sites.append(Site(folder / str(cell), SIZE, MACHINES))
    told = {"jobs": 0, "done": 0, "kills": 0, "freezes": 0}
    began = time.monotonic()
    try:
        for cell, site in enumerate(sites):
            site.start_all(operator(cell, sites), TASK_S)
        asyncio.run(play(sites, args.bursts, random.Random(args.seed), told))
    finally:
        for site in sites:
            site.end()
    judge = Judge()
    lines = [
        (line["at"], cell, line)
        for cell, site in enumerate(sites)
        for name in ("store.log", "cloud.log")
        for line in read(site.folder / name)
    ]
    for _, cell, line in sorted(lines, key=lambda x: x[0]):
        judge.follow(cell, line)
    twice = judge.completed_twice()
    print(
        f"seed {args.seed}: {told['kills']} kills, {told['freezes']} freezes in"
        f" {time.monotonic() - began:.0f} s; {told['done']} of {told['jobs']} jobs done;"
        f" {len(judge.handoffs)} handoffs granted; {judge.cell_changes} of {judge.changes} changes"
        f" are of cells; completed twice {len(twice)} {twice[:3]}; left over {len(judge.open)};"
        f" faults {len(judge.faults)} {judge.faults[:3]}"
    )
    if args.keep:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(bool(judge.faults or twice or judge.open or told["done"] < told["jobs"]))


if __name__ == "__main__":
    main()
