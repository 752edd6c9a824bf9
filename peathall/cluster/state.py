"""State of the cluster in one leader term: jobs, machines, attempts, rounds and usage of teams.

A new leader rebuilds it from stored records and heartbeats. The capacity of every attempt is
allocated and released only here, so machines, jobs, rounds and usage always agree.
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
    """Is notified when the release of attempts ends a scheduling round or frees capacity."""

    def round_finished(self, key: str) -> None:
        """The last attempt of the scheduling round with this key has ended."""

    def capacity_freed(self) -> None:
        """Capacity was released."""


class NullClusterListener:
    """Listener that ignores all events."""

    def round_finished(self, key: str) -> None:
        """Ignored."""

    def capacity_freed(self) -> None:
        """Ignored."""


class ClusterState:
    """Jobs, machines, attempts, rounds and usage of teams in one leader term."""

    def __init__(
        self, term: int, first_attempt: int, listener: ClusterListener | None = None
    ) -> None:
        self.term = term
        self.jobs: dict[str, Job] = {}
        self.archived: dict[str, JobStatus] = {}  # final status of recently archived jobs, by id
        self.machines: dict[str, Machine] = {}
        # Name of a deleted machine -> monotonic time of its deletion, in order of time.
        self._deleted: OrderedDict[str, float] = OrderedDict()
        self.types: dict[str, MachineType] = {}
        self.usage: dict[str, list[float]] = {}  # team -> CPUs and GPUs allocated
        # Key of a scheduling round -> its attempts that have not ended, in order of allocation.
        self.rounds: dict[str, dict[Attempt, None]] = {}
        self.last_attempt_number = first_attempt  # the latest one assigned; the first is one higher
        self.last_submission_at = -1e9  # monotonic time at which the latest job was added
        self.listener = listener or NullClusterListener()

    def new_attempt_number(self) -> int:
        """A number that no attempt of this term or an earlier one has."""
        self.last_attempt_number += 1
        return self.last_attempt_number

    def note_archived(self, job_id: str, status: JobStatus) -> None:
        """Cache the final status of an archived job.

        The oldest entries are evicted; queries for those jobs read the state service.
        """
        self.archived[job_id] = status
        if len(self.archived) > constants.FINAL_STATUS_CACHE_JOBS:
            del self.archived[next(iter(self.archived))]

    def machine(
        self, name: str, type_: str, zone: str, spot: bool, phase: MachinePhase, now: float
    ) -> Machine:
        """The machine with this name; it is added in the given phase if it is unknown."""
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
        """Whether a machine with this name was deleted and the deletion is still recorded."""
        return name in self._deleted

    def note_deleted(self, name: str, now: float) -> None:
        """Record a deletion for as long as delayed copies of heartbeats may arrive."""
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
        """Add all tasks of a job that may run in another cell to the usage of its team."""
        usage = self.usage.setdefault(spec.team, [0.0, 0.0])
        usage[0] += spec.cpus * spec.tasks
        usage[1] += spec.gpus * spec.tasks

    def release_remote(self, spec: JobSpec) -> None:
        """Undo `allocate_remote` once no task of the job can run in another cell any more."""
        usage = self.usage[spec.team]
        usage[0] -= spec.cpus * spec.tasks
        usage[1] -= spec.gpus * spec.tasks

    def release(self, attempt: Attempt, now: float) -> None:
        """Release the capacity of an attempt that is proven to have ended.

        The attempt must not be on its machine and must not be able to start there later. Its task
        becomes pending again, unless it is done.
        """
        if attempt.phase is AttemptPhase.GONE:
            return
        attempt.enter(AttemptPhase.GONE, now)
        job = attempt.job
        self.machines[attempt.machine].free(attempt, now)
        del job.attempts[attempt.task]
        job.requeue(attempt.task, now)
        if job.has_started and not job.attempts:
            # An attempt that never ran does not reset the waiting time of its job.
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
        """Remove a machine that no longer exists; releases and returns its attempts."""
        machine.enter(MachinePhase.GONE)
        lost = self.release_all(machine, now)
        self.machines.pop(machine.name, None)
        log.info("machine %s removed, %d tasks lost: %s", machine.name, len(lost), reason)
        return lost

    def release_all(self, machine: Machine, now: float) -> list[Attempt]:
        """Release and return all attempts of a machine on which no task can run any more."""
        lost = list(machine.attempts.values())
        for attempt in lost:
            self.release(attempt, now)
        return lost
