"""Tasks that machines run although the leader does not expect them there."""

from __future__ import annotations

from collections.abc import Sequence

from peathall.protocol.heartbeats import TaskStatus


class UnknownTasks:
    """Tasks in the latest heartbeat of each machine that are no attempts in the cluster state.

    Every heartbeat response stops them for as long as they are reported.
    """

    def __init__(self) -> None:
        self._by_machine: dict[str, list[TaskStatus]] = {}

    def of(self, machine: str) -> Sequence[TaskStatus]:
        """Unknown tasks in the machine's latest heartbeat."""
        return self._by_machine.get(machine, ())

    def replace(self, machine: str, tasks: list[TaskStatus]) -> None:
        """Replace the machine's unknown tasks by those in a newer heartbeat."""
        self._by_machine[machine] = tasks

    def drop(self, machine: str) -> None:
        """Forget a machine that is gone."""
        self._by_machine.pop(machine, None)
