"""Bin packing: how many tasks of a job fit into an amount of capacity, and on which machines."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from peathall.protocol.jobs import JobSpec

EPS = 1e-6  # CPUs, GPUs or GB; tolerance for rounding errors in sums of decimal fractions


def tasks_within(amount: float, need: float, wanted: int) -> int:
    """How many of the `wanted` tasks fit into the amount of a resource, if each takes `need` of it.
    The need may be 0, or so small that a quotient by it is infinite."""
    amount += EPS
    if need * wanted <= amount:
        return wanted
    return int(amount / need) if amount > 0 else 0


def fitting_tasks(free: Sequence[float], spec: JobSpec) -> int:
    """Return how many tasks of the job fit into `free` (CPUs, GPUs, GB of memory)."""
    count = spec.tasks
    for amount, need in zip(free, (spec.cpus, spec.gpus, spec.ram), strict=True):
        if need > 0:
            count = tasks_within(amount, need, count)
    return count


class MachineAttributes(Protocol):
    """The attributes of machines that a job can restrict: type, zone, and use of spot machines."""

    @property
    def type(self) -> str:
        """Machine type."""

    @property
    def zone(self) -> str:
        """Zone."""

    @property
    def spot(self) -> bool:
        """Whether the cloud may reclaim the machine at any time."""


def allowed(machine: MachineAttributes, spec: JobSpec) -> bool:
    """Whether the job's restrictions on type, zone and spot admit the machine."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )
