"""Machines as the leader knows them."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, auto

from peathall.cluster.job import Attempt, AttemptPhase
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec


class MachinePhase(Enum):
    """From rented to gone."""

    STARTING = auto()  # rented or listed, its worker has not reported yet
    RECOVERED = auto()  # known from an earlier term's records, not heard in this one
    UP = auto()  # its worker reports to us
    DRAINING = auto()  # takes no new work: sick, to be taken back, or to be returned
    DELETING = auto()  # its deletion was asked for; it may still run tasks
    GONE = auto()  # deleted, or failed and listed as such


class Machine:
    """A machine, its room, and what is known of its worker."""

    __slots__ = (
        "addr",
        "attempts",
        "confirmed",
        "cpus",
        "created_at",
        "drain_reason",
        "epoch",
        "failed_jobs",
        "failed_probes",
        "free_cpus",
        "free_gpus",
        "free_ram",
        "gpus",
        "idle_since",
        "images",
        "last_heard",
        "last_order",
        "last_response",
        "last_success_at",
        "lease_renewed_at",
        "listed_at",
        "listed_by_cloud",
        "name",
        "phase",
        "ram",
        "reclaimed_at",
        "registered_at",
        "replicas",
        "sequence",
        "spot",
        "type",
        "unacknowledged_since",
        "zone",
    )

    def __init__(self, name: str, type_: str, zone: str, spot: bool, phase: MachinePhase) -> None:
        self.name = name
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.phase = phase
        self.addr = ""
        self.cpus = self.gpus = self.ram = 0.0
        self.free_cpus = self.free_gpus = self.free_ram = 0.0
        self.epoch = 0
        self.sequence = -1
        self.last_order = (0, -1)  # session and sequence number of its latest check-in
        self.last_response = (0, 0.0)  # token and steady time of our latest answer
        self.unacknowledged_since: float | None = None  # when we gave an answer that it did not get
        self.confirmed = False  # has reported under this term's mandate
        self.lease_renewed_at = 0.0  # steady time of our last answer, which renewed its lease
        self.last_heard = 0.0
        self.created_at = 0.0  # steady time of renting, or of first hearing of it
        self.registered_at = 0.0  # steady time of its first report to us
        self.listed_by_cloud = False  # the cloud has named it in this term
        self.listed_at = 0.0  # steady time at which the cloud last listed it
        self.reclaimed_at: float | None = None  # when the cloud takes it back
        self.idle_since = 0.0
        self.drain_reason = ""
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.images: OrderedDict[str, float] = OrderedDict()  # cached, as far as we can tell
        self.failed_jobs: set[str] = set()  # jobs that failed here since the last success
        self.failed_probes = 0  # without an answer, since it was last heard
        self.replicas = 0  # of standing services, among its attempts
        self.last_success_at = -1e9  # steady time at which a task last went well here

    def enter(self, phase: MachinePhase) -> bool:
        """One way only: nothing leads back from GONE, nor from DELETING to use."""
        if self.phase is MachinePhase.GONE or phase is self.phase:
            return False
        if self.phase is MachinePhase.DELETING and phase is not MachinePhase.GONE:
            return False
        if self.phase is MachinePhase.DRAINING and phase is MachinePhase.UP:
            return False
        self.phase = phase
        return True

    @property
    def is_schedulable(self) -> bool:
        """Takes new work: known to get our orders. A report proves only that we hear it."""
        return (
            self.phase is MachinePhase.UP and self.confirmed and self.unacknowledged_since is None
        )

    def set_capacity(self, size: MachineType) -> None:
        """Its type has become known."""
        dc, dg, dr = size.cpus - self.cpus, size.gpus - self.gpus, size.ram - self.ram
        self.cpus, self.gpus, self.ram = size.cpus, size.gpus, size.ram
        self.free_cpus += dc
        self.free_gpus += dg
        self.free_ram += dr

    def allocate(self, attempt: Attempt) -> None:
        """An attempt takes its room."""
        spec = attempt.job.spec
        self.attempts[(spec.id, attempt.task)] = attempt
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_ram -= spec.ram
        self.replicas += spec.daemon

    def free(self, attempt: Attempt, now: float) -> None:
        """An attempt is gone."""
        spec = attempt.job.spec
        del self.attempts[(spec.id, attempt.task)]
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_ram += spec.ram
        self.replicas -= spec.daemon
        if not self.attempts:
            self.idle_since = now
            # Floating point dust must not keep a whole machine from a task.
            self.free_cpus, self.free_gpus, self.free_ram = self.cpus, self.gpus, self.ram

    def note_image(self, spec: JobSpec, cache_gb: float) -> bool:
        """Most recently used images stay cached (protocol). True if this one is new."""
        new = spec.image not in self.images
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
        return new

    def fetching(self) -> set[str]:
        """Images that are on their way here."""
        early = (AttemptPhase.PLANNED, AttemptPhase.INTENDED, AttemptPhase.SENT)
        return {
            a.job.spec.image
            for a in self.attempts.values()
            if a.phase is AttemptPhase.FETCHING or a.phase in early
        }
