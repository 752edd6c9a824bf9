"""Room on machines: free, being freed, or to be had by stopping others. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from peathall.placement.views import MachineView, Victim, fits_in
from peathall.protocol.jobs import JobSpec


@dataclass(frozen=True, slots=True)
class MachineCapacity:
    """Room for some tasks on one machine, and who would have to be stopped for it."""

    machine: MachineView
    count: int
    victims: tuple[Victim, ...] = ()
    cost: float = 0.0  # machine seconds that the victims would lose

    def at_most(self, count: int) -> MachineCapacity:
        """The same for no more tasks than that."""
        return replace(self, count=min(self.count, count))


def capacity_with_victims(
    machine: MachineView, spec: JobSpec, wanted: int, may_stop: Callable[[Victim], bool]
) -> MachineCapacity:
    """Room for up to `wanted` tasks, with as few stopped as that needs."""
    room = machine.room()
    count = min(fits_in(room, spec), wanted)
    found = MachineCapacity(machine, count)
    if count >= wanted:
        return found
    picked: list[Victim] = []
    for victim in machine.look().victims:
        if not may_stop(victim):
            continue
        helps = (victim.cpus and spec.cpus) or (victim.gpus and spec.gpus) or victim.ram
        if not helps:
            continue
        room[0] += victim.cpus
        room[1] += victim.gpus
        room[2] += victim.ram
        picked.append(victim)
        now_fits = min(fits_in(room, spec), wanted)
        if now_fits > count:
            count = now_fits
            found = MachineCapacity(machine, count, tuple(picked), sum(v.lost for v in picked))
            if count >= wanted:
                break
    return found


def free_in(machine: MachineView, spec: JobSpec) -> tuple[float, int]:
    """After how many seconds a task of the job fits, if nothing new is placed here."""
    room = machine.room()
    wait = 0.0
    for victim in machine.look().by_end:
        if fits_in(room, spec):
            break
        room[0] += victim.cpus
        room[1] += victim.gpus
        room[2] += victim.ram
        wait = victim.ends
    return wait, min(spec.tasks, fits_in(room, spec))


def choose(spec: JobSpec, machines: list[MachineView]) -> list[tuple[MachineView, int]] | None:
    """Room for all tasks of a gang, on machines in order of preference; None if too little."""
    cap = (spec.tasks + 1) // 2
    per_zone: dict[str, int] = {}
    left = spec.tasks
    chosen = []
    for machine in machines:
        count = min(machine.fits(spec), left)
        if spec.spread:
            count = min(count, cap - per_zone.get(machine.zone, 0))
        if count > 0:
            chosen.append((machine, count))
            per_zone[machine.zone] = per_zone.get(machine.zone, 0) + count
            left -= count
        if left == 0:
            return chosen
    return None
