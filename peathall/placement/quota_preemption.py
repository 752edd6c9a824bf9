"""Choosing work that a team preempts for its own work of higher priority, at the team's limit."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import ceil

from peathall.placement.bin_packing import EPS
from peathall.placement.planned_preemptions import PlannedPreemptions
from peathall.placement.pool import MachinePool
from peathall.placement.quotas import TeamQuotas
from peathall.placement.views import TeamWorkload, Victim
from peathall.protocol.jobs import JobSpec

# (team, priority) -> the team's work of lower priority.
TeamWorkloadLookup = Callable[[str, int], TeamWorkload]


class QuotaVictims:
    """Chooses attempts to preempt so that tasks fit under their team's limit."""

    def __init__(
        self,
        pool: MachinePool,
        quotas: TeamQuotas,
        planned: PlannedPreemptions,
        team_workload: TeamWorkloadLookup,
    ) -> None:
        self._pool = pool
        self._quotas = quotas
        self._planned = planned
        self._team_workload = team_workload

    def choose(self, spec: JobSpec, wanted: int) -> tuple[int, list[Victim]]:
        """Choose victims, of the lowest priority first and no more than necessary. Returns the
        number of tasks that fit under the limit once the victims are gone, and the victims. A gang
        fits as a whole or not at all."""
        work = self._team_workload(spec.team, spec.priority)
        being_freed = self._planned.freed_by(spec.team)
        freed = [a + b for a, b in zip(work.being_freed, being_freed, strict=True)]
        units = [
            unit
            for unit in work.preemptible
            if all(
                v.key not in self._planned.keys and v.machine in self._pool.by_name for v in unit
            )
        ]
        units.sort(
            key=lambda unit: (-unit[0].priority, sum(v.lost_machine_s for v in unit), unit[0].key)
        )
        chosen: list[Sequence[Victim]] = []
        count = self._tasks_fitting_after(spec, wanted, freed)
        for unit in units:
            if count >= wanted:
                break
            freed = [freed[0] + sum(v.cpus for v in unit), freed[1] + sum(v.gpus for v in unit)]
            chosen.append(unit)
            count = self._tasks_fitting_after(spec, wanted, freed)
        if spec.gang and count < wanted:
            return 0, []
        for unit in chosen[::-1]:  # drop unnecessary victims, the most costly first
            without = [freed[0] - sum(v.cpus for v in unit), freed[1] - sum(v.gpus for v in unit)]
            if self._tasks_fitting_after(spec, wanted, without) >= count:
                freed = without
                chosen.remove(unit)
        return count, [victim for unit in chosen for victim in unit]

    def _tasks_fitting_after(self, spec: JobSpec, wanted: int, freed: Sequence[float]) -> int:
        """How many of the tasks fit under the limit once `freed` (CPUs and GPUs) is free."""
        cpus, gpus = self._quotas.excess(spec, wanted)
        missing = 0
        for excess, released, need in ((cpus, freed[0], spec.cpus), (gpus, freed[1], spec.gpus)):
            lacking = excess - released - EPS
            if lacking >= need * wanted:
                return 0  # also if a quotient by the need would be infinite
            if lacking > 0:
                missing = max(missing, ceil(lacking / need))
        return max(0, wanted - missing)
