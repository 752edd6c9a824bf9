"""What is remembered of attempts on machines beyond the cluster state."""

from __future__ import annotations

from msgspec import Struct

from peathall.workers.direct_starts import DirectStarts
from peathall.workers.exits import ExitedAttempts
from peathall.workers.unknown_tasks import UnknownTasks


class AttemptTracking(Struct, frozen=True):
    """Written by the reconciliation of heartbeats, read when commands are chosen."""

    exits: ExitedAttempts
    unknown_tasks: UnknownTasks
    direct_starts: DirectStarts

    def drop_machine(self, machine: str) -> None:
        """Forget the tasks that the machine reported: it is gone."""
        self.exits.drop(machine)
        self.unknown_tasks.drop(machine)
