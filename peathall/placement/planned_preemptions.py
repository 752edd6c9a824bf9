"""The preemptions that a round has planned so far, and the capacity that they will free."""

from __future__ import annotations

from peathall.placement.plan import Plan, TaskKey
from peathall.placement.pool import MachinePool
from peathall.placement.views import Victim


class PlannedPreemptions:
    """Adds preemptions to the plan, each attempt once."""

    def __init__(self, pool: MachinePool, plan: Plan) -> None:
        self._pool = pool
        self._plan = plan
        self.keys: set[tuple[str, int]] = set()  # tasks to preempt; a set for fast lookup
        self._freed: dict[str, list[float]] = {}  # team -> CPUs and GPUs that preemptions free

    def add(self, victim: Victim) -> None:
        """Plan to preempt the victim. Its capacity then counts as being freed, on its machine and
        under its team's limit."""
        if victim.key in self.keys:
            return
        self.keys.add(victim.key)
        self._plan.stops.append(TaskKey(*victim.key))
        freed = self._freed.setdefault(victim.team, [0.0, 0.0])
        freed[0] += victim.cpus
        freed[1] += victim.gpus
        self._pool.by_name[victim.machine].detail().add_being_freed(victim)

    def freed_by(self, team: str) -> list[float]:
        """CPUs and GPUs of the team that the planned preemptions free."""
        return self._freed.get(team, [0.0, 0.0])
