"""What the leader knows in one term: jobs, machines, attempts, rounds, usage.

Rebuilt from records and reports in every term, and thrown away with it. Every
attempt is booked and released here and nowhere else.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase, Job
from peathall.cluster.machine import Machine, MachinePhase
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec, JobStatus

log = logging.getLogger("peathall.cluster")


class ClusterState:
    """Jobs, machines, attempts, rounds and the teams' use in one term."""

    def __init__(self, term: int, first_attempt: int) -> None:
        self.term = term
        self.jobs: dict[str, Job] = {}
        self.archived: dict[str, JobStatus] = {}
        self.machines: dict[str, Machine] = {}
        self._deleted: OrderedDict[str, float] = OrderedDict()  # name -> when, the latest last
        self.types: dict[str, MachineType] = {}
        self.usage: dict[str, list[float]] = {}  # team -> cpus, gpus of all live attempts
        # Round key -> its attempts that may still exist, in order.
        self.rounds: dict[str, dict[Attempt, None]] = {}
        self.next_attempt = first_attempt
        self.last_submission_at = -1e9  # steady time at which the latest job became known
        self.on_round_finished: Callable[[str], None] = lambda key: None
        self.on_capacity_freed: Callable[[], None] = lambda: None

    def new_attempt_number(self) -> int:
        """One that no attempt has had, in this term or an earlier one."""
        self.next_attempt += 1
        return self.next_attempt

    def note_archived(self, job_id: str, status: JobStatus) -> None:
        """A job that is archived; the earliest are forgotten here, and read when asked for."""
        self.archived[job_id] = status
        if len(self.archived) > constants.REMEMBERED_JOBS:
            del self.archived[next(iter(self.archived))]

    def machine(
        self, name: str, type_: str, zone: str, spot: bool, phase: MachinePhase, now: float
    ) -> Machine:
        """The machine of this name, made known if it is new."""
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
        """Whether the machine of this name is gone, as far as is remembered."""
        return name in self._deleted

    def note_deleted(self, name: str, now: float) -> None:
        """Remember that the machine is gone for as long as late copies of its reports may come."""
        self._deleted[name] = now
        while now - next(iter(self._deleted.values())) > constants.DELETED_MEMORY_S:
            self._deleted.popitem(last=False)

    def allocate(
        self, job: Job, task: int, number: int, machine: Machine, round_key: str
    ) -> Attempt:
        """Take the room of a new attempt, before anything is stored or sent."""
        attempt = Attempt(job, task, number, machine.name, round_key)
        job.attempts[task] = attempt
        job.pending.remove(task)
        machine.allocate(attempt)
        use = self.usage.setdefault(job.spec.team, [0.0, 0.0])
        use[0] += job.spec.cpus
        use[1] += job.spec.gpus
        self.rounds.setdefault(round_key, {})[attempt] = None
        return attempt

    def allocate_remote(self, spec: JobSpec) -> None:
        """All of the job may run in another cell: its team's limit counts it here as well."""
        use = self.usage.setdefault(spec.team, [0.0, 0.0])
        use[0] += spec.cpus * spec.tasks
        use[1] += spec.gpus * spec.tasks

    def release_remote(self, spec: JobSpec) -> None:
        """Nothing of the job is in another cell any more."""
        use = self.usage[spec.team]
        use[0] -= spec.cpus * spec.tasks
        use[1] -= spec.gpus * spec.tasks

    def release(self, attempt: Attempt, now: float) -> None:
        """The attempt is surely not on its machine, nor will it ever be."""
        if attempt.phase is AttemptPhase.GONE:
            return
        attempt.enter(AttemptPhase.GONE, now)
        job = attempt.job
        self.machines[attempt.machine].free(attempt, now)
        del job.attempts[attempt.task]
        job.requeue(attempt.task)
        if job.has_started and not job.attempts:
            job.idle_since = now  # a start that came to nothing has ended no wait
        use = self.usage[job.spec.team]
        use[0] -= job.spec.cpus
        use[1] -= job.spec.gpus
        del self.rounds[attempt.round_key][attempt]
        if not self.rounds[attempt.round_key]:
            del self.rounds[attempt.round_key]
            self.on_round_finished(attempt.round_key)
        self.on_capacity_freed()

    def remove_machine(self, machine: Machine, now: float, why: str) -> list[Attempt]:
        """The machine and all that was on it are gone; its attempts are released."""
        machine.enter(MachinePhase.GONE)
        lost = self.release_all(machine, now)
        self.machines.pop(machine.name, None)
        log.info("machine %s is gone (%s), %d tasks lost", machine.name, why, len(lost))
        return lost

    def release_all(self, machine: Machine, now: float) -> list[Attempt]:
        """Everything on the machine is surely gone; what was there."""
        lost = list(machine.attempts.values())
        for attempt in lost:
            self.release(attempt, now)
        return lost
