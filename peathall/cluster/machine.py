"""Machines in one leader term: phases, capacity, and the state of their workers."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum, auto

from peathall.cluster.job import Attempt, AttemptPhase
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec

# Epoch and sequence before the first heartbeat of the term: lower than those of any heartbeat.
NO_HEARTBEAT = (0, -1)

# Phases of attempts whose image is not known to be on the machine yet.
PHASES_BEFORE_IMAGE = (
    AttemptPhase.PLANNED,
    AttemptPhase.INTENDED,
    AttemptPhase.SENT,
    AttemptPhase.FETCHING,
)


class MachinePhase(Enum):
    """Lifecycle of a machine, from its provisioning to its deletion."""

    STARTING = auto()  # provisioned or listed by the cloud; no heartbeat yet
    RECOVERED = auto()  # known from records of an earlier term; no heartbeat in this one
    UP = auto()  # its worker sends heartbeats to this leader
    DRAINING = auto()  # takes no new work: unhealthy, reclaimed by the cloud, or to be scaled in
    DELETING = auto()  # its deletion was requested; it may still run tasks
    GONE = auto()  # deleted, or failed and listed as such


class Machine:
    """A machine, its capacity, and what is known of its worker.

    CPUs and GPUs are counted, memory is in GB; all times are steady times in seconds.
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
        self.addr = ""  # of its worker, for direct commands and probes; empty: not known
        self.cpus = self.gpus = self.ram = 0.0  # capacity; 0 until its type is known
        self.free_cpus = self.free_gpus = self.free_ram = 0.0
        # Epoch and sequence of the latest heartbeat that was applied, which may have come as the
        # response to direct commands, ...
        self.epoch, self.sequence = NO_HEARTBEAT
        # ... and of the latest one that was received as a request.
        self.last_received = NO_HEARTBEAT
        self.last_response_token = 0  # fencing token of the latest answer to a heartbeat
        self.last_response_at = 0.0  # when that answer was given
        self.unacknowledged_since: float | None = None  # time of the answer that it did not get
        self.confirmed = False  # a heartbeat has shown a fencing token of this term
        self.lease_renewed_at = 0.0  # when an answer last renewed the lease of its worker
        self.last_heard = 0.0  # when its latest heartbeat was applied
        self.created_at = 0.0  # when it was provisioned, or first known
        self.registered_at = 0.0  # when its first heartbeat in this term came
        self.listed_by_cloud = False  # the cloud has listed it in this term
        self.listed_at = 0.0  # when the cloud last listed it
        self.reclaimed_at: float | None = None  # when the cloud reclaims it
        self.idle_since = 0.0  # since when it has had no attempts
        self.drain_reason = ""  # for the log
        self.attempts: dict[tuple[str, int], Attempt] = {}  # by job and task
        # Cached images, as far as is known -> GB; the least recently used first.
        self.images: OrderedDict[str, float] = OrderedDict()
        self.failed_jobs: set[str] = set()  # jobs that failed on it since the last success
        self.failed_probes = 0  # unanswered liveness probes since its last heartbeat
        self.replicas = 0  # attempts of daemon jobs among its attempts
        self.last_success_at = -1e9  # when a task last succeeded on it

    def enter(self, phase: MachinePhase) -> bool:
        """Change the phase; False if it is not changed.

        No phase follows GONE, only GONE follows DELETING, and DRAINING does not lead back to UP.
        """
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
        """Whether it takes new work: its worker is up and known to receive this leader's answers.

        A heartbeat alone does not show that: answers may be lost while heartbeats arrive.
        """
        return (
            self.phase is MachinePhase.UP and self.confirmed and self.unacknowledged_since is None
        )

    def set_capacity(self, size: MachineType) -> None:
        """Set the capacity to that of its machine type, now that the type is known."""
        self.free_cpus += size.cpus - self.cpus
        self.free_gpus += size.gpus - self.gpus
        self.free_ram += size.ram - self.ram
        self.cpus, self.gpus, self.ram = size.cpus, size.gpus, size.ram

    def allocate(self, attempt: Attempt) -> None:
        """Take the capacity of a new attempt."""
        spec = attempt.job.spec
        self.attempts[(spec.id, attempt.task)] = attempt
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_ram -= spec.ram
        self.replicas += spec.daemon

    def free(self, attempt: Attempt, now: float) -> None:
        """Return the capacity of an attempt that is gone."""
        spec = attempt.job.spec
        del self.attempts[(spec.id, attempt.task)]
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_ram += spec.ram
        self.replicas -= spec.daemon
        if not self.attempts:
            self.idle_since = now
            # Rounding errors must not keep a task that needs a whole machine from an empty one.
            self.free_cpus, self.free_gpus, self.free_ram = self.cpus, self.gpus, self.ram

    def note_image(self, spec: JobSpec, cache_gb: float) -> bool:
        """Record that an image is cached; True if it was not before.

        Workers evict the least recently used images beyond the size of the cache (protocol).
        """
        new = spec.image not in self.images
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
        return new

    def fetching(self) -> set[str]:
        """Images that its attempts fetch or are going to fetch."""
        return {
            attempt.job.spec.image
            for attempt in self.attempts.values()
            if attempt.phase in PHASES_BEFORE_IMAGE
        }
