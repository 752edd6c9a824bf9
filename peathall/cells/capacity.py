"""Summaries of free capacity, small enough to be sent each second. They are only a hint: the
reservation decides. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from peathall import constants
from peathall.cells.model import CapacityRow
from peathall.placement.bin_packing import allowed, fitting_tasks
from peathall.placement.views import MachineView
from peathall.protocol.jobs import JobSpec


def summarize(machines: Iterable[MachineView]) -> list[CapacityRow]:
    """Count the machines with equal free capacity, the largest first; CELL_MAX_CAPACITY_ROWS rows
    at most."""
    count: Counter[CapacityRow] = Counter()
    for machine in machines:
        cpus, gpus, ram = (max(0, int(amount)) for amount in machine.free)
        if cpus or gpus:
            count[CapacityRow(machine.type, machine.zone, machine.spot, cpus, gpus, ram, 1)] += 1
    rows = [
        CapacityRow(row.type, row.zone, row.spot, row.cpus, row.gpus, row.ram, machines)
        for row, machines in count.items()
    ]
    rows.sort(key=lambda row: (-row.gpus, -row.cpus, -row.machines, row.type, row.zone))
    return rows[: constants.CELL_MAX_CAPACITY_ROWS]


def fits_whole(spec: JobSpec, rows: Sequence[CapacityRow]) -> bool:
    """Whether all tasks of the job fit at once, according to the summary."""
    by_zone: Counter[str] = Counter()
    for row in rows:
        if not allowed(row, spec):
            continue
        by_zone[row.zone] += fitting_tasks((row.cpus, row.gpus, row.ram), spec) * row.machines
    if spec.one_zone:
        return max(by_zone.values(), default=0) >= spec.tasks
    max_per_zone = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
    return sum(min(count, max_per_zone) for count in by_zone.values()) >= spec.tasks
