"""Tasks that machines run although the leader does not expect them there."""

from __future__ import annotations

from collections.abc import Sequence

from peathall.protocol.heartbeats import TaskStatus


class UnknownTasks:
    """By machine, the tasks of its latest heartbeat that are no attempts of the cluster state.

    They are stopped with every answer for as long as they are reported.
    """

    def __init__(self) -> None:
        self._by_machine: dict[str, list[TaskStatus]] = {}

    def of(self, machine: str) -> Sequence[TaskStatus]:
        """Those in the machine's latest heartbeat."""
        return self._by_machine.get(machine, ())

    def replace(self, machine: str, tasks: list[TaskStatus]) -> None:
        """Set those of a newer heartbeat."""
        self._by_machine[machine] = tasks

    def drop(self, machine: str) -> None:
        """Forget the machine, which is gone."""
        self._by_machine.pop(machine, None)
