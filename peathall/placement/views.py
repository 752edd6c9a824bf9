"""The input of a round: views of machines, jobs and attempts.

Amounts of capacity are CPUs, GPUs and GB of memory, in this order. Each round builds a new view
of every machine and job, so the classes use slots.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container, Iterable, Mapping, Sequence

from msgspec import Struct, field

from peathall import constants
from peathall.placement.bin_packing import fitting_tasks
from peathall.protocol.jobs import JobSpec


class Victim:
    """An attempt that could be preempted.

    A round builds one for each attempt that it considers. For speed, fields are copied from the
    job's specification once, and `key` is a plain tuple: a named tuple takes much longer to build.
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
        self.ends_in_s = ends_in_s  # until it should end by itself, by the user's estimate
        self.borrowed = borrowed  # its job belongs to another cell


class MachineDetail:
    """Details of a machine that only some decisions need."""

    __slots__ = ("_by_expected_end", "_sorted", "_victims", "being_freed", "fetching")

    def __init__(
        self,
        fetching: Iterable[str] = (),
        being_freed: tuple[float, float, float] = (0.0, 0.0, 0.0),
        victims: Iterable[Victim] = (),
    ) -> None:
        self.fetching = set(fetching)  # images that the machine is fetching
        self.being_freed = list(being_freed)  # capacity of attempts that are being stopped
        self._victims = victims  # iterated only if a decision depends on them
        self._sorted: list[Victim] | None = None
        self._by_expected_end: list[Victim] | None = None

    def add_being_freed(self, victim: Victim) -> None:
        """Count the capacity of a victim that is to be preempted as being freed."""
        for resource, amount in enumerate((victim.cpus, victim.gpus, victim.ram)):
            self.being_freed[resource] += amount

    @property
    def victims(self) -> list[Victim]:
        """Victims in the order in which they would be preempted."""
        if self._sorted is None:
            self._sorted = sorted(
                self._victims, key=lambda v: (-v.priority, v.lost_machine_s, v.key)
            )
        return self._sorted

    @property
    def by_expected_end(self) -> list[Victim]:
        """Victims in the order in which they should end by themselves."""
        if self._by_expected_end is None:
            self._by_expected_end = sorted(self.victims, key=lambda v: v.ends_in_s)
        return self._by_expected_end


class MachineView:
    """A machine in one round: its capacity, its images and its attempts."""

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
        self.images = images  # images in its cache
        self.missed_intervals = missed_intervals  # whole intervals since the last heartbeat
        self.load_detail = load_detail
        self.task_slots = task_slots  # how many more tasks its heartbeats can hold
        self.replicas = replicas  # number of replicas of all daemons
        self._detail: MachineDetail | None = None
        self.gang_wait_s: float | None = None  # until the gang that it is held for can start

    def detail(self) -> MachineDetail:
        """Details of the machine, loaded once per round if a decision needs them."""
        if self._detail is None:
            self._detail = self.load_detail()
        return self._detail

    def available(self) -> list[float]:
        """Capacity that is free or being freed."""
        return [a + b for a, b in zip(self.free, self.detail().being_freed, strict=True)]

    def capacity_for(self, spec: JobSpec) -> int:
        """How many tasks of the job fit into the free capacity."""
        return min(fitting_tasks(self.free, spec), self.task_slots)

    def take(self, spec: JobSpec, count: int) -> None:
        """Allocate capacity for `count` tasks; a negative count frees it."""
        self.task_slots -= count
        self.replicas += spec.daemon * count
        self.free[0] -= spec.cpus * count
        self.free[1] -= spec.gpus * count
        self.free[2] -= spec.ram * count


class MovingReplica(Struct, frozen=True):
    """A replica on a draining machine."""

    task: int
    zone: str


class TeamWorkload(Struct, frozen=True):
    """Work of a team that is being stopped, or may be preempted for its work of higher priority."""

    being_freed: tuple[float, float] = (0.0, 0.0)  # CPUs and GPUs of attempts being stopped
    preemptible: Sequence[Sequence[Victim]] = ()  # each inner sequence is preempted as a whole


class JobView(Struct, eq=False):
    """A job in one round: how many tasks to start, and what determines their placement."""

    spec: JobSpec
    pending: int
    within_quota: bool = False  # within its team's quota
    # Wall-clock time by which it must start to meet an objective; far in the future if it can meet
    # none any more.
    latest_start: float = 0.0
    running_zones: dict[str, int] = field(default_factory=dict)  # zone -> tasks there
    has_old_attempts: bool = False  # a gang some of whose earlier attempts are not gone yet
    urgent: bool = True  # may preempt others: would soon miss an objective
    # Has waited so long that it may fill one machine that is kept for a next gang.
    may_use_gang_capacity: bool = False
    is_starving: bool = False  # has waited so long that it goes before all other jobs
    is_canary: bool = False  # of a failing job: nothing is preempted for it
    borrowed: bool = False  # of another cell: nothing is preempted or provisioned for it
    fetch_s: float = 0.0  # estimated time to fetch the image
    avoid: Container[str] = ()  # machines on which the job failed
    replica_machines: Collection[str] = ()  # machines that already run its replicas
    moving: Sequence[MovingReplica] = ()  # replicas on draining machines
    # Replicas that must share a zone are being moved to another one: pending tasks start only once
    # none is left in the old zone.
    changes_zone: bool = False
    keeps_quota: bool = True  # part of the team's limit is kept for missing replicas
    # Machine -> pending tasks for which capacity is reserved there.
    reservations: Mapping[str, int] = field(default_factory=dict)

    def zone_allowance(self, zone: str) -> int:
        """How many more of its tasks its `one_zone` and `spread` rules allow in the zone."""
        spec = self.spec
        if not (spec.one_zone or spec.spread):
            return spec.tasks
        used = {name: count for name, count in self.running_zones.items() if count > 0}
        if spec.one_zone and used and zone not in used:
            return 0
        if spec.spread:
            return (spec.tasks + 1) // 2 - used.get(zone, 0)
        return spec.tasks

    @property
    def may_preempt(self) -> bool:
        """Whether attempts may be preempted and machines provisioned for the job."""
        return not (self.is_canary or self.borrowed)
