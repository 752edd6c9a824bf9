"""The input of a round: views of machines, jobs and attempts.

Amounts of capacity are CPUs, GPUs and GB of memory, in this order. Views are made anew for each
machine and job of each round, hence the slots.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container, Iterable, Mapping, Sequence

from msgspec import Struct, field

from peathall import constants
from peathall.placement.bin_packing import fits_in
from peathall.protocol.jobs import JobSpec


class Victim:
    """An attempt that could be preempted.

    One is made for each attempt that a round considers, so its parts are copied from the job's
    specification once, and `key` is a plain tuple: a named one takes much longer to make.
    """

    __slots__ = (
        "borrowed",
        "cpus",
        "ends_in_s",
        "gpus",
        "key",
        "lost_machine_s",
        "machine",
        "priority",
        "ram",
        "team",
        "within_quota",
    )

    def __init__(
        self,
        spec: JobSpec,
        task: int,
        machine: str,
        within_quota: bool,
        lost_machine_s: float,
        ends_in_s: float,
        borrowed: bool = False,
    ) -> None:
        self.key = (spec.id, task)  # becomes a TaskKey in the plan
        self.cpus = spec.cpus
        self.gpus = spec.gpus
        self.ram = spec.ram
        self.priority = spec.priority
        self.team = spec.team
        self.machine = machine
        self.within_quota = within_quota  # its job is within its own team's quota
        self.lost_machine_s = lost_machine_s  # machine seconds that preempting it would lose
        self.ends_in_s = ends_in_s  # until it should end by itself, by its owner's estimate
        self.borrowed = borrowed  # its job is another cell's


class MachineDetail:
    """What only some decisions need to know of a machine."""

    __slots__ = ("_by_expected_end", "_sorted", "_victims", "being_freed", "fetching")

    def __init__(
        self,
        fetching: Iterable[str] = (),
        being_freed: tuple[float, float, float] = (0.0, 0.0, 0.0),
        victims: Iterable[Victim] = (),
    ) -> None:
        self.fetching = set(fetching)  # images that are being fetched
        self.being_freed = list(being_freed)  # capacity of attempts that are being stopped
        self._victims = victims  # consumed only if a decision depends on them
        self._sorted: list[Victim] | None = None
        self._by_expected_end: list[Victim] | None = None

    def free_soon(self, victim: Victim) -> None:
        """The victim is to be preempted: its capacity counts as being freed."""
        for kind, amount in enumerate((victim.cpus, victim.gpus, victim.ram)):
            self.being_freed[kind] += amount

    @property
    def victims(self) -> list[Victim]:
        """In the order in which they would be preempted."""
        if self._sorted is None:
            self._sorted = sorted(
                self._victims, key=lambda v: (-v.priority, v.lost_machine_s, v.key)
            )
        return self._sorted

    @property
    def by_expected_end(self) -> list[Victim]:
        """In the order in which they should end by themselves."""
        if self._by_expected_end is None:
            self._by_expected_end = sorted(self.victims, key=lambda v: v.ends_in_s)
        return self._by_expected_end


class MachineView:
    """A machine in one round: its capacity, its images and what runs on it."""

    __slots__ = (
        "_detail",
        "cpus",
        "free",
        "gang_wait_s",
        "gpus",
        "images",
        "load_detail",
        "missed_intervals",
        "name",
        "name_bytes",
        "ram",
        "replicas",
        "spot",
        "task_slots",
        "type",
        "zone",
    )

    def __init__(
        self,
        name: str,
        type_: str,
        zone: str,
        spot: bool,
        size: tuple[float, float, float],
        free: tuple[float, float, float],
        images: Container[str] = (),
        missed_intervals: int = 0,
        load_detail: Callable[[], MachineDetail] = MachineDetail,
        task_slots: int = constants.MACHINE_TASKS_MAX,
        replicas: int = 0,
    ) -> None:
        self.name = name
        self.name_bytes = name.encode()
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.cpus, self.gpus, self.ram = size
        self.free = list(free)  # neither used nor reserved
        self.images = images  # cached
        self.missed_intervals = missed_intervals  # whole ones since the last heartbeat
        self.load_detail = load_detail
        self.task_slots = task_slots  # how many more tasks its heartbeats can hold
        self.replicas = replicas  # of any daemons
        self._detail: MachineDetail | None = None
        self.gang_wait_s: float | None = None  # until the gang can start that it is held for

    def detail(self) -> MachineDetail:
        """Loaded at most once a round, and only if a decision depends on it."""
        if self._detail is None:
            self._detail = self.load_detail()
        return self._detail

    def available(self) -> list[float]:
        """Capacity that is free or being freed."""
        return [a + b for a, b in zip(self.free, self.detail().being_freed, strict=True)]

    def fits(self, spec: JobSpec) -> int:
        """How many tasks of the job fit into the free capacity."""
        return min(fits_in(self.free, spec), self.task_slots)

    def take(self, spec: JobSpec, count: int) -> None:
        """Allocate capacity for so many tasks; a negative count frees it."""
        self.task_slots -= count
        self.replicas += spec.daemon * count
        self.free[0] -= spec.cpus * count
        self.free[1] -= spec.gpus * count
        self.free[2] -= spec.ram * count


class MovingReplica(Struct, frozen=True):
    """A replica on a machine that is being drained."""

    task: int
    zone: str


class TeamWork(Struct, frozen=True):
    """What of a team's work may be preempted for its own work of higher priority."""

    being_freed: tuple[float, float] = (0.0, 0.0)  # CPUs and GPUs of what is being stopped already
    preemptible: Sequence[Sequence[Victim]] = ()  # each inner sequence is preempted as a whole


class JobView(Struct, eq=False):
    """A job in one round: how many tasks are pending, and what determines their order."""

    spec: JobSpec
    pending: int
    within_quota: bool = False  # within its team's quota
    latest_start: float = 0.0  # time of day; in the past if the objective is missed
    running_zones: dict[str, int] = field(default_factory=dict)  # zone -> tasks there
    has_old_attempts: bool = False  # a gang with attempts that are not gone yet
    urgent: bool = True  # misses an objective unless it starts soon: may preempt others
    is_starving: bool = False  # has waited so long that it goes before all others
    is_canary: bool = False  # of a failing job: nothing is preempted for it
    borrowed: bool = False  # another cell's: nothing is preempted or provisioned for it
    fetch_s: float = 0.0  # estimated time to fetch the image
    avoid: Container[str] = ()  # machines on which it failed
    replica_machines: Collection[str] = ()  # machines that run replicas of it already
    moving: Sequence[MovingReplica] = ()  # replicas on machines that are being drained
    # Machine -> pending tasks for which capacity is reserved there.
    reservations: Mapping[str, int] = field(default_factory=dict)

    @property
    def may_preempt(self) -> bool:
        """Whether others are preempted and machines provisioned for it."""
        return not (self.is_canary or self.borrowed)
