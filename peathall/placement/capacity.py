"""Capacity of machines for a job: free, being freed, or freed by preemption. No side effects."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, structs

from peathall.placement.bin_packing import fitting_tasks
from peathall.placement.views import MachineView, Victim
from peathall.protocol.jobs import JobSpec


class MachineCapacity(Struct, frozen=True):
    """Capacity for `count` tasks on one machine, and the attempts to preempt for it."""

    machine: MachineView
    count: int
    victims: tuple[Victim, ...] = ()
    cost: float = 0.0  # machine seconds of work that preempting the victims would lose

    def at_most(self, count: int) -> MachineCapacity:
        """A copy for at most `count` tasks."""
        return structs.replace(self, count=min(self.count, count))


def capacity_with_victims(
    machine: MachineView, spec: JobSpec, wanted: int, may_preempt: Callable[[Victim], bool]
) -> MachineCapacity:
    """Capacity for up to `wanted` tasks, preempting victims in order only until they fit."""
    available = machine.available()
    count = min(fitting_tasks(available, spec), wanted)
    found = MachineCapacity(machine, count)
    if count >= wanted:
        return found
    victims: list[Victim] = []
    for victim in machine.detail().victims:
        if not may_preempt(victim):
            continue
        frees_needed_resource = (
            (victim.cpus and spec.cpus) or (victim.gpus and spec.gpus) or victim.ram
        )
        if not frees_needed_resource:
            continue
        available[0] += victim.cpus
        available[1] += victim.gpus
        available[2] += victim.ram
        victims.append(victim)
        fitting = min(fitting_tasks(available, spec), wanted)
        if fitting > count:
            count = fitting
            cost = sum(v.lost_machine_s for v in victims)
            found = MachineCapacity(machine, count, tuple(victims), cost)
            if count >= wanted:
                break
    return found


def earliest_fit(machine: MachineView, spec: JobSpec) -> tuple[float, int]:
    """Seconds until a task of the job fits on the machine, and how many tasks fit then, assuming
    that attempts end as estimated and nothing else starts on the machine."""
    available = machine.available()
    wait_s = 0.0
    for victim in machine.detail().by_expected_end:
        if fitting_tasks(available, spec):
            break
        available[0] += victim.cpus
        available[1] += victim.gpus
        available[2] += victim.ram
        wait_s = victim.ends_in_s
    return wait_s, min(spec.tasks, fitting_tasks(available, spec))


def pack_gang(spec: JobSpec, machines: list[MachineView]) -> list[tuple[MachineView, int]] | None:
    """Distribute all tasks of a gang over `machines`, which are in order of preference. Returns
    pairs of machine and task count; None if the gang does not fit."""
    max_per_zone = (spec.tasks + 1) // 2  # for a job that must be spread over zones
    per_zone: dict[str, int] = {}
    left = spec.tasks
    chosen = []
    for machine in machines:
        count = min(machine.capacity_for(spec), left)
        if spec.spread:
            count = min(count, max_per_zone - per_zone.get(machine.zone, 0))
        if count > 0:
            chosen.append((machine, count))
            per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
            left -= count
        if left == 0:
            return chosen
    return None
