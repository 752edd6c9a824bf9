"""Bin packing: how many tasks of a job fit into an amount of capacity, and on which machines."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from peathall.protocol.jobs import JobSpec

EPS = 1e-6  # CPUs, GPUs or GB; tolerance for rounding errors in sums of decimal fractions


def fitting_tasks(free: Sequence[float], spec: JobSpec) -> int:
    """Return how many tasks of the job fit into `free` (CPUs, GPUs, GB of memory)."""
    count = spec.tasks
    if spec.cpus > 0:
        count = min(count, int((free[0] + EPS) / spec.cpus))
    if spec.gpus > 0:
        count = min(count, int((free[1] + EPS) / spec.gpus))
    if spec.ram > 0:
        count = min(count, int((free[2] + EPS) / spec.ram))
    return max(0, count)


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
        """Whether the cloud provider may reclaim the machine at any time."""


def allowed(machine: MachineAttributes, spec: JobSpec) -> bool:
    """Whether the job's restrictions on type, zone and spot admit the machine."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )
