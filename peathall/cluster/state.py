"""The state of the cluster in one leader term: jobs, machines, attempts, rounds, usage.

It is rebuilt from records and heartbeats in every term, and dropped with it. The capacity of
every attempt is allocated and released here and nowhere else, so machines, jobs, rounds and the
teams' usage always agree.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import Protocol

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, Job
from peathall.cluster.machine import Machine, MachinePhase
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec, JobStatus

log = logging.getLogger("peathall.cluster")


class ClusterListener(Protocol):
    """Is notified of what releases bring about."""

    def round_finished(self, key: str) -> None:
        """The last attempt of the round with this key is gone."""

    def capacity_freed(self) -> None:
        """Capacity was released."""


class IgnoredClusterEvents:
    """Nobody is notified."""

    def round_finished(self, key: str) -> None:
        """Ignored."""

    def capacity_freed(self) -> None:
        """Ignored."""


class ClusterState:
    """Jobs, machines, attempts, rounds and the teams' usage in one term."""

    def __init__(
        self, term: int, first_attempt: int, listener: ClusterListener | None = None
    ) -> None:
        self.term = term
        self.jobs: dict[str, Job] = {}
        self.archived: dict[str, JobStatus] = {}  # the latest archived jobs
        self.machines: dict[str, Machine] = {}
        # Name of a deleted machine -> steady time of its deletion, the latest last.
        self._deleted: OrderedDict[str, float] = OrderedDict()
        self.types: dict[str, MachineType] = {}
        self.usage: dict[str, list[float]] = {}  # team -> CPUs and GPUs of its attempts
        # Round key -> its attempts that are not gone, in order (a dict for its order).
        self.rounds: dict[str, dict[Attempt, None]] = {}
        self.next_attempt = first_attempt  # the latest attempt number given out
        self.last_submission_at = -1e9  # steady time at which the latest job became known
        self.listener = listener or IgnoredClusterEvents()

    def new_attempt_number(self) -> int:
        """A number that no attempt has had, in this term or an earlier one."""
        self.next_attempt += 1
        return self.next_attempt

    def note_archived(self, job_id: str, status: JobStatus) -> None:
        """Remember the status of an archived job.

        The earliest are dropped; a query for one of them reads the state service.
        """
        self.archived[job_id] = status
        if len(self.archived) > constants.REMEMBERED_JOBS:
            del self.archived[next(iter(self.archived))]

    def machine(
        self, name: str, type_: str, zone: str, spot: bool, phase: MachinePhase, now: float
    ) -> Machine:
        """The machine of this name, added in this phase if it is not known."""
        found = self.machines.get(name)
        if found is None:
            found = Machine(name, type_, zone, spot, phase)
            found.created_at = found.idle_since = found.last_heard = found.listed_at = now
            self.machines[name] = found
        if type_ and not found.type:
            found.type, found.zone, found.spot = type_, zone, spot
        size = self.types.get(found.type)
        if size is not None and not found.cpus:
            found.set_capacity(size)
        return found

    def was_deleted(self, name: str) -> bool:
        """Whether the machine of this name was deleted, as far as is remembered."""
        return name in self._deleted

    def note_deleted(self, name: str, now: float) -> None:
        """Remember a deletion for as long as delayed copies of heartbeats may arrive."""
        self._deleted[name] = now
        while now - next(iter(self._deleted.values())) > constants.DELETED_MACHINE_MEMORY_S:
            self._deleted.popitem(last=False)

    def allocate(
        self, job: Job, task: int, number: int, machine: Machine, round_key: str
    ) -> Attempt:
        """Create an attempt and allocate its capacity, before anything is stored or sent."""
        attempt = Attempt(job, task, number, machine.name, round_key)
        job.attempts[task] = attempt
        job.pending.remove(task)
        machine.allocate(attempt)
        usage = self.usage.setdefault(job.spec.team, [0.0, 0.0])
        usage[0] += job.spec.cpus
        usage[1] += job.spec.gpus
        self.rounds.setdefault(round_key, {})[attempt] = None
        return attempt

    def allocate_remote(self, spec: JobSpec) -> None:
        """Count all tasks of the job, which may run in another cell, in its team's usage."""
        usage = self.usage.setdefault(spec.team, [0.0, 0.0])
        usage[0] += spec.cpus * spec.tasks
        usage[1] += spec.gpus * spec.tasks

    def release_remote(self, spec: JobSpec) -> None:
        """Undo `allocate_remote`: no task of the job can be in another cell any more."""
        usage = self.usage[spec.team]
        usage[0] -= spec.cpus * spec.tasks
        usage[1] -= spec.gpus * spec.tasks

    def release(self, attempt: Attempt, now: float) -> None:
        """Release the capacity of an attempt that is proven to have ended.

        It is not on its machine and cannot start there later. Its task is pending again, unless
        it is done.
        """
        if attempt.phase is AttemptPhase.GONE:
            return
        attempt.enter(AttemptPhase.GONE, now)
        job = attempt.job
        self.machines[attempt.machine].free(attempt, now)
        del job.attempts[attempt.task]
        job.requeue(attempt.task)
        if job.has_started and not job.attempts:
            # Not before it has run: a start that came to nothing does not end the waiting time.
            job.idle_since = now
        usage = self.usage[job.spec.team]
        usage[0] -= job.spec.cpus
        usage[1] -= job.spec.gpus
        del self.rounds[attempt.round_key][attempt]
        if not self.rounds[attempt.round_key]:
            del self.rounds[attempt.round_key]
            self.listener.round_finished(attempt.round_key)
        self.listener.capacity_freed()

    def remove_machine(self, machine: Machine, now: float, reason: str) -> list[Attempt]:
        """Remove a machine that is gone, and release its attempts; these are returned."""
        machine.enter(MachinePhase.GONE)
        lost = self.release_all(machine, now)
        self.machines.pop(machine.name, None)
        log.info("machine %s removed, %d tasks lost: %s", machine.name, len(lost), reason)
        return lost

    def release_all(self, machine: Machine, now: float) -> list[Attempt]:
        """Release all attempts of a machine on which nothing runs any more; these are returned."""
        lost = list(machine.attempts.values())
        for attempt in lost:
            self.release(attempt, now)
        return lost
