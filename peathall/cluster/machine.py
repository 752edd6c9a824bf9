"""Machines in one leader term: phase, capacity, and the state of the worker on each."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, auto

from peathall.cluster.job import Attempt, AttemptPhase
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec

# Epoch and sequence before the first heartbeat of the term: lower than in any heartbeat.
NO_HEARTBEAT = (0, -1)

# Phases of attempts whose image may not be on the machine yet.
PHASES_BEFORE_IMAGE = (
    AttemptPhase.PLANNED,
    AttemptPhase.INTENDED,
    AttemptPhase.SENT,
    AttemptPhase.FETCHING,
)


class MachinePhase(Enum):
    """Phases of a machine, from its provisioning to its deletion."""

    STARTING = auto()  # provisioned or listed by the cloud; no heartbeat yet
    RECOVERED = auto()  # known from records of an earlier term; no heartbeat in this one
    UP = auto()  # its worker sends heartbeats to this leader
    DRAINING = auto()  # gets no new work: unhealthy, reclaimed by the cloud, or being scaled in
    DELETING = auto()  # its deletion was requested; tasks may still be running on it
    GONE = auto()  # deleted, or listed by the cloud as failed


class Machine:
    """A machine, its capacity, and the known state of its worker.

    CPUs and GPUs are counts, memory is in GB, times are monotonic, in seconds.
    """

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
        "last_received",
        "last_response_at",
        "last_response_token",
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
        self.addr = ""  # of the worker, for direct commands and probes; empty: unknown
        self.cpus = self.gpus = self.ram = 0.0  # capacity; 0 until the machine type is known
        self.free_cpus = self.free_gpus = self.free_ram = 0.0
        # Epoch and sequence of the latest heartbeat applied. It may be the response to a direct
        # command.
        self.epoch, self.sequence = NO_HEARTBEAT
        # Epoch and sequence of the latest heartbeat received as a request.
        self.last_received = NO_HEARTBEAT
        self.last_response_token = 0  # fencing token in the latest heartbeat response
        self.last_response_at = 0.0  # when that response was sent
        self.unacknowledged_since: float | None = None  # when the response it missed was sent
        self.confirmed = False  # a heartbeat has shown a fencing token of this term
        self.lease_renewed_at = 0.0  # when a response last renewed the worker's lease
        self.last_heard = 0.0  # when the latest heartbeat was applied
        self.created_at = 0.0  # when it was provisioned, or first became known
        self.registered_at = 0.0  # when its first heartbeat of this term arrived
        self.listed_by_cloud = False  # whether the cloud has listed it in this term
        self.listed_at = 0.0  # when the cloud last listed it
        self.reclaimed_at: float | None = None  # when the cloud will reclaim it
        self.idle_since = 0.0  # time since which it has had no attempts
        self.drain_reason = ""  # only logged
        self.attempts: dict[tuple[str, int], Attempt] = {}  # by job id and task
        # Images known to be cached -> size in GB, least recently used first.
        self.images: OrderedDict[str, float] = OrderedDict()
        self.failed_jobs: set[str] = set()  # ids of jobs that failed on it since the last success
        self.failed_probes = 0  # failed liveness probes since the last heartbeat
        self.replicas = 0  # number of its attempts that belong to daemon jobs
        self.last_success_at = -1e9  # when a task last succeeded on it

    def enter(self, phase: MachinePhase) -> bool:
        """Change the phase; False if it stays the same.

        GONE is final, DELETING changes only to GONE, and DRAINING changes back to UP only with
        `end_draining`.
        """
        if self.phase is MachinePhase.GONE or phase is self.phase:
            return False
        if self.phase is MachinePhase.DELETING and phase is not MachinePhase.GONE:
            return False
        if self.phase is MachinePhase.DRAINING and phase is MachinePhase.UP:
            return False
        self.phase = phase
        return True

    def end_draining(self) -> bool:
        """Let a draining machine take work again, unless the cloud reclaims it; False if not."""
        if self.phase is not MachinePhase.DRAINING or self.reclaimed_at is not None:
            return False
        self.phase = MachinePhase.UP
        self.drain_reason = ""
        return True

    @property
    def is_schedulable(self) -> bool:
        """Whether tasks may be placed on it: its worker is up and receives this leader's responses.

        A heartbeat alone does not prove that: responses may be lost while heartbeats arrive.
        """
        return (
            self.phase is MachinePhase.UP and self.confirmed and self.unacknowledged_since is None
        )

    def set_capacity(self, size: MachineType) -> None:
        """Set the capacity to that of the machine type, once the type is known."""
        self.free_cpus += size.cpus - self.cpus
        self.free_gpus += size.gpus - self.gpus
        self.free_ram += size.ram - self.ram
        self.cpus, self.gpus, self.ram = size.cpus, size.gpus, size.ram

    def allocate(self, attempt: Attempt) -> None:
        """Allocate the capacity for a new attempt."""
        spec = attempt.job.spec
        self.attempts[(spec.id, attempt.task)] = attempt
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_ram -= spec.ram
        self.replicas += spec.daemon

    def free(self, attempt: Attempt, now: float) -> None:
        """Free the capacity of an attempt that has ended."""
        spec = attempt.job.spec
        del self.attempts[(spec.id, attempt.task)]
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_ram += spec.ram
        self.replicas -= spec.daemon
        if not self.attempts:
            self.idle_since = now
            # Accumulated rounding errors must not prevent a task from using the whole machine.
            self.free_cpus, self.free_gpus, self.free_ram = self.cpus, self.gpus, self.ram

    def note_image(self, spec: JobSpec, cache_gb: float) -> bool:
        """Record that the image of the job is cached; True if it was not cached before.

        The least recently used images beyond the cache size are removed, as workers do (protocol).
        """
        new = spec.image not in self.images
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
        return new

    def fetching(self) -> set[str]:
        """Images that its attempts are fetching or may have to fetch."""
        return {
            attempt.job.spec.image
            for attempt in self.attempts.values()
            if attempt.phase in PHASES_BEFORE_IMAGE
        }
