"""Capacity of machines for a job: free, being freed, or freed by preemption. Pure."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, structs

from peathall.placement.bin_packing import fits_in
from peathall.placement.views import MachineView, Victim
from peathall.protocol.jobs import JobSpec


class MachineCapacity(Struct, frozen=True):
    """Capacity for some tasks on one machine, and what would have to be preempted for it."""

    machine: MachineView
    count: int
    victims: tuple[Victim, ...] = ()
    cost: float = 0.0  # machine seconds that the victims would lose

    def at_most(self, count: int) -> MachineCapacity:
        """The same for no more tasks than that."""
        return structs.replace(self, count=min(self.count, count))


def capacity_with_victims(
    machine: MachineView, spec: JobSpec, wanted: int, may_stop: Callable[[Victim], bool]
) -> MachineCapacity:
    """Capacity for up to `wanted` tasks, with as few victims as that needs."""
    available = machine.available()
    count = min(fits_in(available, spec), wanted)
    found = MachineCapacity(machine, count)
    if count >= wanted:
        return found
    victims: list[Victim] = []
    for victim in machine.detail().victims:
        if not may_stop(victim):
            continue
        frees_needed_kind = (victim.cpus and spec.cpus) or (victim.gpus and spec.gpus) or victim.ram
        if not frees_needed_kind:
            continue
        available[0] += victim.cpus
        available[1] += victim.gpus
        available[2] += victim.ram
        victims.append(victim)
        fitting = min(fits_in(available, spec), wanted)
        if fitting > count:
            count = fitting
            cost = sum(v.lost_machine_s for v in victims)
            found = MachineCapacity(machine, count, tuple(victims), cost)
            if count >= wanted:
                break
    return found


def free_in(machine: MachineView, spec: JobSpec) -> tuple[float, int]:
    """After how many seconds a task of the job fits, and how many then, if nothing else is
    started on the machine."""
    available = machine.available()
    wait_s = 0.0
    for victim in machine.detail().by_expected_end:
        if fits_in(available, spec):
            break
        available[0] += victim.cpus
        available[1] += victim.gpus
        available[2] += victim.ram
        wait_s = victim.ends_in_s
    return wait_s, min(spec.tasks, fits_in(available, spec))


def pack_gang(spec: JobSpec, machines: list[MachineView]) -> list[tuple[MachineView, int]] | None:
    """Machines for all tasks of a gang and how many go to each, where `machines` are in order of
    preference; None if not all of them fit."""
    most_per_zone = (spec.tasks + 1) // 2  # of a job that is to be spread
    per_zone: dict[str, int] = {}
    left = spec.tasks
    chosen = []
    for machine in machines:
        count = min(machine.fits(spec), left)
        if spec.spread:
            count = min(count, most_per_zone - per_zone.get(machine.zone, 0))
        if count > 0:
            chosen.append((machine, count))
            per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
            left -= count
        if left == 0:
            return chosen
    return None
