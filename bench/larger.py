"""A day with thousands of machines on the virtual clock, against the stand-ins of the tests.

    PYTHONPATH=.:target/deps python3 bench/larger.py --machines 4000 [--share 0.18]

The machines are rented and filled, then the leader ends, then a fifth of the machines stops.
Prints a line of figures. With `--share` each controller has that part of a core, by this
machine's measure: what it does takes it so much longer. Without it nothing is charged.
"""

from __future__ import annotations

import argparse
import gc
import logging
import sys
import time
import types
from typing import Any

from peathall.cells.settings import CellSettings, Neighbour
from peathall.operator_config.settings import Operator
from tests.sim.fleet_day import FleetPlayer
from tests.sim.net import Host, MemoryTransport, VirtualLoop
from tests.sim.test_days import virtual_loop
from tests.sim.world import World

STEADY_S = 15.0
LIMIT_S = 240.0  # s; a step that takes longer has failed
APART = (VirtualLoop, World, Host, MemoryTransport, type, types.ModuleType, types.FunctionType)


def kept_bytes(root: Any) -> int:
    """Bytes of all objects that hang on this one, but for the simulation and for code."""
    seen: set[int] = set()
    waiting, total = [root], 0
    while waiting:
        found = waiting.pop()
        if id(found) in seen or isinstance(found, APART):
            continue
        seen.add(id(found))
        total += sys.getsizeof(found)
        waiting += gc.get_referents(found)
    return total


# A neighbour that never answers: its heartbeats are made up all the same.
CELLS = Operator(cells=CellSettings("here", [Neighbour("there", ["10.0.9.1:8081"])]))


def play(machines: int, share: float, cells: bool) -> None:
    began = time.monotonic()
    with virtual_loop(21) as loop:
        player = FleetPlayer(loop, machines, share)
        if cells:
            player.world.controller_hosts.operators = dict.fromkeys(range(player.world.size), CELLS)

        async def day() -> int:
            await player.provision(LIMIT_S)
            if player.leader() is None:
                return 0
            await player.steady(STEADY_S)
            leader = player.leader()
            kept = kept_bytes([leader.cluster, leader.workers.tracking.exits]) if leader else 0
            if leader is not None:
                await player.fail_over(LIMIT_S)
            if player.leader() is not None:
                await player.lose_machines(LIMIT_S)
            return kept

        kept = loop.run_until_complete(day())
    figures = player.finish()
    print(
        f"{machines} machines, share {share or 1.0:g}: rented and filled after "
        f"{figures.provisioned_s:.0f} s, steady {figures.steady_share:.3f} of a core, "
        f"kept {kept / 2**20:.1f} MB, all heard {figures.failover_s:.1f} s after the leader's end, "
        f"{figures.deleted_alive} alive deleted, lost fifth replaced after "
        f"{figures.replaced_s:.0f} s, longest check-in {figures.heartbeat_wait_s:.2f} s, answers "
        f"{figures.heartbeat_responses}, cloud refused {figures.cloud_refused}, "
        f"broken {figures.broken[:3]} "
        f"({time.monotonic() - began:.0f} s of this machine)",
        flush=True,
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, nargs="+", default=[500, 1000, 2000, 4000])
    parser.add_argument("--share", type=float, default=0.0)
    parser.add_argument("--cells", action="store_true", help="with cells on")
    parser.add_argument("--log", action="store_true")
    args = parser.parse_args()
    logging.getLogger("peathall").setLevel(logging.CRITICAL)
    if args.log:
        logging.basicConfig(level=logging.INFO)
        logging.getLogger("peathall").setLevel(logging.INFO)
    for size in args.machines:
        play(size, args.share, args.cells)
