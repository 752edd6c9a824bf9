"""Ended attempts that machines still report, until a forget command may be sent for them."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from peathall.cluster.state import ClusterState

# Job, task and attempt number. A plain tuple, since a key is made for every ended attempt in every
# heartbeat.
ExitKey = tuple[str, int, int]


class ExitedAttempt(Struct):
    """An ended attempt that its machine still reports."""

    job: str
    task: int
    number: int
    done: bool
    start_token: int  # of a start command of which a copy may still arrive; 0: none
    settled: bool  # False: its job is not known yet, so the exit is handled again


class ExitedAttempts:
    """The ended attempts of all machines."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self._by_machine: dict[str, dict[ExitKey, ExitedAttempt]] = {}

    def of(self, machine: str) -> dict[ExitKey, ExitedAttempt]:
        """Ended attempts in the machine's latest heartbeat."""
        return self._by_machine.get(machine, {})

    def replace(self, machine: str, exits: dict[ExitKey, ExitedAttempt]) -> None:
        """Replace the machine's ended attempts by those in a newer heartbeat."""
        self._by_machine[machine] = exits

    def drop(self, machine: str) -> None:
        """Drop the ended attempts of a machine that is gone or no longer reports them."""
        self._by_machine.pop(machine, None)

    def forgettable(self, machine: str, fencing_token: int) -> Iterable[ExitedAttempt]:
        """Ended attempts for which a forget command may be sent in a response with `fencing_token`.

        Their end is stored, and the worker refuses a late copy of the start command once it has
        seen this response, since the command carries a lower token.
        """
        for exited in self.of(machine).values():
            if self._end_is_stored(exited) and exited.start_token < fencing_token:
                yield exited

    def _end_is_stored(self, exited: ExitedAttempt) -> bool:
        job = self.cluster.jobs.get(exited.job)
        return not exited.done or job is None or job.is_final or exited.task in job.stored_done
