"""Room kept for replicas that are being moved, from the stop of the old one to its next start, and
for other cells' jobs, from their offer to their start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from peathall.cluster.job import Job
from peathall.protocol.jobs import JobSpec


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room for one task on a machine: a replica whose old attempt is not known to be gone, or a
    task of another cell's job that is not ours to run yet."""

    spec: JobSpec
    task: int
    machine: str
    until: float  # steady time at which it is given up
    reserved: bool = False  # for another cell's job


class Reservations:
    """All bookings of a leader. They are not stored: a new leader places the replica anew."""

    def __init__(self) -> None:
        self._bookings: list[Reservation] = []

    def __iter__(self) -> Iterator[Reservation]:
        return iter(self._bookings)

    def add(self, reservation: Reservation) -> None:
        """Keep the room from now on."""
        self._bookings.append(reservation)

    def prune(self, keep: Callable[[Reservation], bool]) -> None:
        """Give up those that are used or of no use any more."""
        if self._bookings:
            self._bookings = [reservation for reservation in self._bookings if keep(reservation)]

    def reserved(self) -> list[tuple[JobSpec, int]]:
        """Of each job of another cell, for how many tasks room is kept."""
        counts: Counter[str] = Counter()
        specs: dict[str, JobSpec] = {}
        for reservation in self._bookings:
            if reservation.reserved:
                counts[reservation.spec.id] += 1
                specs[reservation.spec.id] = reservation.spec
        return [(specs[job_id], count) for job_id, count in counts.items()]

    def ready(self, job: Job) -> Counter[str]:
        """Machine -> bookings for tasks of the job whose old attempts are gone."""
        return Counter(
            reservation.machine
            for reservation in self._bookings
            if reservation.spec.id == job.spec.id and reservation.task in job.pending
        )

    def room(self) -> dict[str, list[float]]:
        """Machine -> CPUs, GPUs and memory that are booked there."""
        room: dict[str, list[float]] = {}
        for reservation in self._bookings:
            spec, reserved = reservation.spec, room.setdefault(reservation.machine, [0.0, 0.0, 0.0])
            for kind, need in enumerate((spec.cpus, spec.gpus, spec.ram)):
                reserved[kind] += need
        return room
