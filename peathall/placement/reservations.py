"""Reservations of capacity: for replicas that are being moved, until they start again, and for jobs
of other cells, from the acceptance of the offer until they start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from msgspec import Struct

from peathall.cluster.job import Job, JobPhase
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.protocol.jobs import JobSpec


class Reservation(Struct, frozen=True):
    """Capacity for one task on a machine: for a replica whose old attempt may still exist, or for a
    task of another cell's job that has not been handed off to this cell yet."""

    spec: JobSpec
    task: int
    machine: str
    until: float  # monotonic time at which the reservation expires
    for_other_cell: bool = False


class Reservations:
    """All reservations of a leader. They are not stored: after a failover a replica is placed
    again without one."""

    def __init__(self) -> None:
        self._reservations: list[Reservation] = []

    def __iter__(self) -> Iterator[Reservation]:
        return iter(self._reservations)

    def add(self, reservation: Reservation) -> None:
        """Add a reservation; its capacity is kept from now on."""
        self._reservations.append(reservation)

    def release(self, job_id: str) -> None:
        """Remove all reservations for the job."""
        self._reservations = [r for r in self._reservations if r.spec.id != job_id]

    def prune(
        self, cluster: ClusterState, is_schedulable: Callable[[Machine, float], bool], now: float
    ) -> None:
        """Remove reservations that are used, expired or useless at monotonic time `now`."""
        if self._reservations:
            self._reservations = [
                r for r in self._reservations if _is_needed(r, cluster, is_schedulable, now)
            ]

    def for_other_cells(self) -> list[tuple[JobSpec, int]]:
        """Jobs of other cells, each with the number of tasks for which capacity is reserved."""
        counts: Counter[str] = Counter()
        specs: dict[str, JobSpec] = {}
        for reservation in self._reservations:
            if reservation.for_other_cell:
                counts[reservation.spec.id] += 1
                specs[reservation.spec.id] = reservation.spec
        return [(specs[job_id], count) for job_id, count in counts.items()]

    def ready(self, job: Job) -> Counter[str]:
        """Machine -> number of reservations for tasks of the job whose old attempts are gone."""
        return Counter(
            reservation.machine
            for reservation in self._reservations
            if reservation.spec.id == job.spec.id and reservation.task in job.pending
        )

    def awaited(self, job: Job) -> list[str]:
        """Machines with reservations for tasks of the job whose old attempts may still exist."""
        return [
            reservation.machine
            for reservation in self._reservations
            if reservation.spec.id == job.spec.id and reservation.task in job.attempts
        ]

    def capacity(self) -> dict[str, list[float]]:
        """Machine -> CPUs, GPUs and GB of memory that are reserved there."""
        capacity: dict[str, list[float]] = {}
        for reservation in self._reservations:
            spec = reservation.spec
            reserved = capacity.setdefault(reservation.machine, [0.0, 0.0, 0.0])
            for resource, need in enumerate((spec.cpus, spec.gpus, spec.ram)):
                reserved[resource] += need
        return capacity


def _is_needed(
    reservation: Reservation,
    cluster: ClusterState,
    is_schedulable: Callable[[Machine, float], bool],
    now: float,
) -> bool:
    job = cluster.jobs.get(reservation.spec.id)
    machine = cluster.machines.get(reservation.machine)
    if machine is None or now >= reservation.until or not is_schedulable(machine, now):
        return False
    if job is None:
        return reservation.for_other_cell  # the job has not been handed off yet
    attempt = job.attempts.get(reservation.task)
    has_started = attempt is not None and not attempt.is_ending
    return job.phase is JobPhase.ACTIVE and not has_started
