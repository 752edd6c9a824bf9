"""The machines of one round: which of them fit a job, and the capacity to leave free for gangs."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from peathall.placement.bin_packing import EPS, allowed, fitting_tasks
from peathall.placement.ordering import machine_sort_key
from peathall.placement.views import JobView, MachineView
from peathall.protocol.jobs import JobSpec


class MachineGroup:
    """Machines of one type and zone, either all spot or none: a job allows all of them or none."""

    __slots__ = ("machines", "spot", "type", "with_capacity", "zone")

    def __init__(self, sample: MachineView) -> None:
        self.type, self.zone, self.spot = sample.type, sample.zone, sample.spot
        self.machines: list[MachineView] = []
        self.with_capacity: list[MachineView] = []  # that may fit some pending task


class MachinePool:
    """The machines by group, with the capacity that is still free at this point of the round."""

    def __init__(
        self, machines: list[MachineView], prefer_spot: bool, recent_gangs: Sequence[JobSpec]
    ) -> None:
        self.machines = machines
        self.by_name = {machine.name: machine for machine in machines}
        self.prefer_spot = prefer_spot  # keep other machines for jobs that must not use spot
        # The largest recent gang of each class: capacity for a next gang like it is left free.
        self.recent_gangs = recent_gangs
        # For each of these gangs, the number of machines that fit at least one more of its tasks.
        self._fitting_machines: list[int] = []
        self.groups: dict[tuple[str, str, bool], MachineGroup] = {}
        for machine in machines:
            key = (machine.type, machine.zone, machine.spot)
            if key not in self.groups:
                self.groups[key] = MachineGroup(machine)
            self.groups[key].machines.append(machine)
        self.zone_names = list(dict.fromkeys(m.zone for m in machines))
        self._min_need = (0.0, 0.0, 0.0)  # minimum CPUs, GPUs and GB of any pending task

    def totals(self) -> tuple[float, float]:
        """CPUs and GPUs of all machines."""
        return (sum(m.cpus for m in self.machines), sum(m.gpus for m in self.machines))

    def prepare(self, pending: list[JobView]) -> None:
        """Prepare for placing the jobs `pending`. Must be called before any of them is placed."""
        if any(not job.spec.gang and not job.urgent for job in pending):
            self._fitting_machines = self._count_fitting_machines()
        else:
            self.recent_gangs = ()  # no job of this round must leave capacity for gangs
        specs = [job.spec for job in pending]
        # A machine with less of any resource than all pending tasks need is not considered again.
        self._min_need = (
            min(s.cpus for s in specs) - EPS,
            min(s.gpus for s in specs) - EPS,
            min(s.ram for s in specs) - EPS,
        )
        for group in self.groups.values():
            group.with_capacity = group.machines
            self._remove_full(group)

    def _count_fitting_machines(self) -> list[int]:
        return [
            sum(m.capacity_for(gang) > 0 for g in self.groups.values() if allowed(g, gang)
                for m in g.machines)
            for gang in self.recent_gangs
        ]  # fmt: skip

    def _remove_full(self, group: MachineGroup) -> None:
        cpus, gpus, ram = self._min_need
        group.with_capacity = [
            m
            for m in group.with_capacity
            if m.free[0] >= cpus and m.free[1] >= gpus and m.free[2] >= ram
        ]

    def take(self, machine: MachineView, spec: JobSpec, count: int) -> None:
        """Allocate capacity for `count` tasks on the machine; a negative count frees it."""
        before = [machine.capacity_for(gang) > 0 for gang in self.recent_gangs]
        machine.take(spec, count)
        for i, gang in enumerate(self.recent_gangs):
            if before[i] and not machine.capacity_for(gang) and allowed(machine, gang):
                self._fitting_machines[i] -= 1

    @staticmethod
    def may_start_on(machine: MachineView, spec: JobSpec) -> bool:
        """Whether the job may start on the machine. A machine that is held for a gang accepts only
        independent tasks that are expected to end before the gang can start."""
        return machine.gang_wait_s is None or (
            not spec.gang and spec.expected_s < machine.gang_wait_s
        )

    def _allowed_groups(self, spec: JobSpec) -> list[MachineGroup]:
        return [group for group in self.groups.values() if allowed(group, spec)]

    def usable(self, job: JobView, zone: str | None = None) -> list[MachineView]:
        """The machines that the job allows, in `zone` or in all zones, whether free or not."""
        return [
            m
            for group in self._allowed_groups(job.spec)
            if zone is None or group.zone == zone
            for m in group.machines
            if m.name not in job.avoid
        ]

    def candidates(self, job: JobView) -> list[MachineView]:
        """The machines with free capacity for a task of the job, best first."""
        spec = job.spec
        cpus, gpus, ram = spec.cpus - EPS, spec.gpus - EPS, spec.ram - EPS
        found = []
        for group in self._allowed_groups(spec):
            self._remove_full(group)
            for m in group.with_capacity:
                free = m.free
                if (
                    free[0] >= cpus
                    and free[1] >= gpus
                    and free[2] >= ram
                    and self.may_start_on(m, spec)
                    and m.name not in job.avoid
                ):
                    found.append(m)
        hash_seed = crc32(f"{spec.id} ".encode())
        found.sort(key=lambda m: machine_sort_key(m, spec, self.prefer_spot, hash_seed))
        return found

    def limit_for_gangs(self, machine: MachineView, spec: JobSpec, count: int) -> int:
        """Reduce `count` so that a next gang of each class still finds capacity: machines for all
        of its tasks if it could not preempt tasks of this job, else one machine."""
        for i, gang in enumerate(self.recent_gangs):
            machines_needed = gang.tasks if gang.priority >= spec.priority else 1
            # While more machines than needed fit a task of the gang, any one of them may be filled.
            if (
                self._fitting_machines[i] > machines_needed
                or not allowed(machine, gang)
                or not machine.capacity_for(gang)
            ):
                continue
            rest = [
                a - b for a, b in zip(machine.free, (gang.cpus, gang.gpus, gang.ram), strict=True)
            ]
            count = min(count, fitting_tasks(rest, spec))
        return count

    def zones(self, spec: JobSpec) -> list[str | None]:
        """All zones, to be tried one by one, if the job must stay in one zone; else only None,
        which stands for all zones at once."""
        return list(self.zone_names) if spec.one_zone else [None]
