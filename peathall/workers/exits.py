"""Ended attempts that machines still report, until they may be forgotten there."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from peathall.cluster.state import ClusterState

ExitKey = tuple[str, int, int]  # job, task, attempt


@dataclass(slots=True)
class ExitedAttempt:
    """One of them."""

    job: str
    task: int
    number: int
    done: bool
    direct_token: int  # under which its start may still arrive; 0: it can't
    settled: bool  # False: of a job that is not known yet, so it is looked at again


class ExitedAttempts:
    """All of them, by machine."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self._by_machine: dict[str, dict[ExitKey, ExitedAttempt]] = {}

    def of(self, machine: str) -> dict[ExitKey, ExitedAttempt]:
        """Those in the machine's latest report."""
        return self._by_machine.get(machine, {})

    def replace(self, machine: str, exits: dict[ExitKey, ExitedAttempt]) -> None:
        """A newer report names just these."""
        self._by_machine[machine] = exits

    def drop(self, machine: str) -> None:
        """The machine is gone, or has forgotten all of them."""
        self._by_machine.pop(machine, None)

    def forgettable(self, machine: str, fencing_token: int) -> Iterable[ExitedAttempt]:
        """Those whose end is stored, and whose starts can't arrive any more: they went out under an
        older token than the one that answers carry now."""
        for known in self.of(machine).values():
            if self._end_is_stored(known) and known.direct_token < fencing_token:
                yield known

    def _end_is_stored(self, known: ExitedAttempt) -> bool:
        job = self.cluster.jobs.get(known.job)
        return not known.done or job is None or job.is_final or known.task in job.stored_done
