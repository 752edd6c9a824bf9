"""The machines of one round: who fits where, and which scarce room is spared for gangs. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from peathall.placement.ordering import rank
from peathall.placement.views import EPS, JobView, MachineGroup, MachineView, allowed, fits_in
from peathall.protocol.jobs import JobSpec


class MachinePool:
    """Machines by group, and how their room shrinks as the round goes on."""

    def __init__(
        self, machines: list[MachineView], keep_ordinary: bool, shapes: Sequence[JobSpec]
    ) -> None:
        self.machines = machines
        self.by_name = {machine.name: machine for machine in machines}
        self.keep_ordinary = keep_ordinary  # some job may use no others
        self.shapes = shapes  # the largest gang of each class lately: room is spared for it
        self.groups: dict[tuple[str, str, bool], MachineGroup] = {}
        for machine in machines:
            key = (machine.type, machine.zone, machine.spot)
            if key not in self.groups:
                self.groups[key] = MachineGroup(machine)
            self.groups[key].machines.append(machine)
        self.zone_names = list(dict.fromkeys(m.zone for m in machines))
        self.floor = (0.0, 0.0, 0.0)
        self.roomy: list[int] = []  # see _count_roomy

    def totals(self) -> tuple[float, float]:
        """CPUs and GPUs of all machines."""
        return (sum(m.cpus for m in self.machines), sum(m.gpus for m in self.machines))

    def prepare(self, waiting: list[JobView]) -> None:
        """Called once, with all jobs of the round."""
        if any(not job.spec.gang and not job.urgent for job in waiting):
            self._count_roomy()
        else:
            self.shapes = ()  # nobody will spare anything
        specs = [job.spec for job in waiting]
        # A machine without room for the least that any job needs is not looked at again.
        self.floor = (
            min(s.cpus for s in specs) - EPS,
            min(s.gpus for s in specs) - EPS,
            min(s.ram for s in specs) - EPS,
        )
        for group in self.groups.values():
            group.open = group.machines
            self._narrow(group)

    def _count_roomy(self) -> None:
        """How many machines have room for one more task of each of `shapes`."""
        self.roomy = [
            sum(m.fits(shape) > 0 for g in self.groups.values() if allowed(g, shape)
                for m in g.machines)
            for shape in self.shapes
        ]  # fmt: skip

    def _narrow(self, group: MachineGroup) -> None:
        cpus, gpus, ram = self.floor
        group.open = [
            m for m in group.open if m.free[0] >= cpus and m.free[1] >= gpus and m.free[2] >= ram
        ]

    def take(self, machine: MachineView, spec: JobSpec, count: int) -> None:
        """Tasks of the job get their room on the machine."""
        before = [machine.fits(shape) > 0 for shape in self.shapes]
        machine.take(spec, count)
        for i, shape in enumerate(self.shapes):
            if before[i] and not machine.fits(shape) and allowed(machine, shape):
                self.roomy[i] -= 1

    @staticmethod
    def may_fill(machine: MachineView, spec: JobSpec) -> bool:
        """On a machine that is kept for a gang, only what ends before that can start."""
        return machine.kept_for is None or (not spec.gang and spec.expected_s < machine.kept_for)

    def _allowed_groups(self, spec: JobSpec) -> list[MachineGroup]:
        return [group for group in self.groups.values() if allowed(group, spec)]

    def usable(self, job: JobView, zone: str | None = None) -> list[MachineView]:
        """The machines that the job allows, in one zone or in all."""
        return [
            m
            for group in self._allowed_groups(job.spec)
            if zone is None or group.zone == zone
            for m in group.machines
            if m.name not in job.avoid
        ]

    def candidates(self, job: JobView) -> list[MachineView]:
        """The machines with room for a task of the job, best first."""
        spec = job.spec
        cpus, gpus, ram = spec.cpus - EPS, spec.gpus - EPS, spec.ram - EPS
        found = []
        for group in self._allowed_groups(spec):
            self._narrow(group)
            for m in group.open:
                free = m.free
                if (
                    free[0] >= cpus
                    and free[1] >= gpus
                    and free[2] >= ram
                    and self.may_fill(m, spec)
                    and m.name not in job.avoid
                ):
                    found.append(m)
        seed = crc32(f"{spec.id} ".encode())
        found.sort(key=lambda m: rank(m, spec, self.keep_ordinary, seed))
        return found

    def sparing(self, machine: MachineView, spec: JobSpec, count: int) -> int:
        """As many tasks as leave room for the next gang of each class, somewhere: for all of
        a gang that could not stop these tasks, for one task of any other."""
        for i, shape in enumerate(self.shapes):
            spared = shape.tasks if shape.priority >= spec.priority else 1
            # Only the last machines with room for such a task have to spare it.
            if self.roomy[i] > spared or not allowed(machine, shape) or not machine.fits(shape):
                continue
            spare = [
                a - b
                for a, b in zip(machine.free, (shape.cpus, shape.gpus, shape.ram), strict=True)
            ]
            count = min(count, fits_in(spare, spec))
        return count

    def zones(self, spec: JobSpec) -> list[str | None]:
        """The choices of a zone: each by itself for a job that is bound to one."""
        return list(self.zone_names) if spec.one_zone else [None]
