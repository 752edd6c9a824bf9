"""Data on attempts and reported tasks that is kept in addition to the cluster state."""

from __future__ import annotations

from msgspec import Struct

from peathall.workers.exits import ExitedAttempts
from peathall.workers.start_tokens import StartTokens
from peathall.workers.unknown_tasks import UnknownTasks


class AttemptTracking(Struct, frozen=True):
    """Updated when heartbeats are reconciled, read when commands are chosen."""

    exits: ExitedAttempts
    unknown_tasks: UnknownTasks
    start_tokens: StartTokens

    def drop_machine(self, machine: str) -> None:
        """Forget the tasks reported by a machine that is gone."""
        self.exits.drop(machine)
        self.unknown_tasks.drop(machine)
