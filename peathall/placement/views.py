"""What a round looks at: views of machines, jobs and attempts, and the plan it makes."""

from __future__ import annotations

from collections.abc import Callable, Collection, Container, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from peathall import constants
from peathall.protocol.jobs import JobSpec

EPS = 1e-6  # of a CPU, GPU or GB; sums of decimal numbers are not exact


class Victim:
    """An attempt that could be stopped to make room."""

    __slots__ = (
        "borrowed",
        "cpus",
        "ends",
        "gpus",
        "key",
        "lost",
        "machine",
        "priority",
        "ram",
        "team",
        "within_quota",
    )

    def __init__(
        self,
        key: tuple[str, int],
        need: tuple[float, float, float],
        priority: int,
        team: str,
        within_quota: bool,
        lost: float,
        ends: float = 0.0,
        *,
        machine: str,
        borrowed: bool = False,
    ) -> None:
        self.borrowed = borrowed  # its job is another cell's
        self.key = key
        self.machine = machine
        self.cpus, self.gpus, self.ram = need
        self.priority = priority
        self.team = team
        self.within_quota = within_quota  # its job is within its own team's guarantee
        self.lost = lost  # machine seconds that stopping it would lose
        self.ends = ends  # seconds after which it should end by itself, by its owner's estimate


class MachineDetail:
    """What only some decisions need to know of a machine."""

    __slots__ = ("_by_end", "_sorted", "_victims", "coming", "pulling")

    def __init__(
        self,
        pulling: Iterable[str] = (),
        coming: tuple[float, float, float] = (0.0, 0.0, 0.0),
        victims: Iterable[Victim] = (),
    ) -> None:
        self.pulling = set(pulling)  # images that are on their way here
        self.coming = list(coming)  # room of attempts that are being stopped
        self._victims = victims  # not gone through unless somebody may have to be stopped
        self._sorted: list[Victim] | None = None
        self._by_end: list[Victim] | None = None

    def free_soon(self, victim: Victim) -> None:
        """The victim is to be stopped: its room is on its way."""
        for kind, amount in enumerate((victim.cpus, victim.gpus, victim.ram)):
            self.coming[kind] += amount

    @property
    def victims(self) -> list[Victim]:
        """In the order in which they would be stopped."""
        if self._sorted is None:
            self._sorted = sorted(self._victims, key=lambda v: (-v.priority, v.lost, v.key))
        return self._sorted

    @property
    def by_end(self) -> list[Victim]:
        """In the order in which they should end by themselves."""
        if self._by_end is None:
            self._by_end = sorted(self.victims, key=lambda v: v.ends)
        return self._by_end


class MachineView:
    """A machine in one round: its room, its images and who is there."""

    __slots__ = (
        "_detail",
        "cpus",
        "detail",
        "free",
        "gpus",
        "images",
        "kept_for",
        "key",
        "name",
        "ram",
        "replicas",
        "slots",
        "spot",
        "stale",
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
        stale: int = 0,
        detail: Callable[[], MachineDetail] = MachineDetail,
        slots: int = constants.MACHINE_TASKS,
        replicas: int = 0,
    ) -> None:
        self.replicas = replicas  # of any standing services
        self.slots = slots  # how many more tasks its reports have room for
        self.name = name
        self.key = name.encode()
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.cpus, self.gpus, self.ram = size
        self.free = list(free)
        self.images = images
        self.stale = stale  # whole report intervals since the last report
        self.detail = detail
        self._detail: MachineDetail | None = None
        self.kept_for: float | None = None  # seconds until a gang that waits for it can start

    def look(self) -> MachineDetail:
        """Looked up once a round, and only if a decision depends on it."""
        if self._detail is None:
            self._detail = self.detail()
        return self._detail

    def room(self) -> list[float]:
        """Free room, and room that is being freed."""
        return [a + b for a, b in zip(self.free, self.look().coming, strict=True)]

    def fits(self, spec: JobSpec) -> int:
        """How many tasks of the job fit into the free room."""
        return min(fits_in(self.free, spec), self.slots)

    def take(self, spec: JobSpec, count: int) -> None:
        """Room for so many tasks is used; a negative count gives it back."""
        self.slots -= count
        self.replicas += spec.daemon * count
        self.free[0] -= spec.cpus * count
        self.free[1] -= spec.gpus * count
        self.free[2] -= spec.ram * count


class MachineGroup:
    """Machines of one type, zone and kind: what a job allows, it allows for all of them."""

    __slots__ = ("machines", "open", "spot", "type", "zone")

    def __init__(self, sample: MachineView) -> None:
        self.type, self.zone, self.spot = sample.type, sample.zone, sample.spot
        self.machines: list[MachineView] = []
        self.open: list[MachineView] = []  # with room for the smallest task that waits


@dataclass(frozen=True, slots=True)
class MovingReplica:
    """A replica that runs on a machine which is to be left."""

    task: int
    zone: str


@dataclass(frozen=True, slots=True)
class Move:
    """A replica is to be stopped, since room is booked for it on another machine."""

    job: str
    task: int
    machine: str


@dataclass(frozen=True, slots=True)
class TeamWork:
    """What of a team's work may be stopped for its own work of higher priority."""

    is_leaving: tuple[float, float] = (0.0, 0.0)  # CPUs and GPUs of what is being stopped already
    stoppable: Sequence[Sequence[Victim]] = ()  # each inner sequence is stopped as a whole


class JobView:
    """A job in one round: how many tasks wait, and what matters for their order."""

    __slots__ = (
        "avoid",
        "borrowed",
        "fetch_s",
        "has_old_attempts",
        "hosts",
        "is_canary",
        "is_starving",
        "latest_start",
        "moving",
        "pending",
        "reservations",
        "running_zones",
        "spec",
        "submitted",
        "urgent",
        "within_quota",
    )

    def __init__(
        self,
        spec: JobSpec,
        pending: int,
        within_quota: bool = False,
        latest_start: float = 0.0,
        running_zones: dict[str, int] | None = None,
        has_old_attempts: bool = False,
        urgent: bool = True,
        avoid: Iterable[str] = (),
        fetch_s: float = 0.0,
        is_starving: bool = False,
        is_canary: bool = False,
        hosts: Collection[str] = (),
        moving: Sequence[MovingReplica] = (),
        reservations: Mapping[str, int] | None = None,
        borrowed: bool = False,
    ) -> None:
        self.borrowed = borrowed  # another cell's: nobody is stopped for it, nothing is rented
        self.spec = spec
        self.pending = pending
        self.within_quota = within_quota  # within the team's guarantee
        self.latest_start = latest_start  # time of day; past means that the aim is missed
        self.running_zones = running_zones or {}
        self.fetch_s = fetch_s  # about what a machine without the image loses
        self.avoid = frozenset(avoid)  # machines on which it failed
        self.urgent = urgent  # an aim is lost unless it starts soon: worth stopping others
        self.is_starving = is_starving  # has waited so long that nothing may go before it any more
        self.hosts = hosts  # machines that have replicas of it already
        self.moving = moving  # replicas whose machines are to be left
        self.reservations = reservations or {}  # machine -> tasks in `todo` with room booked there
        self.is_canary = is_canary  # of a job that may be mistaken: nobody makes room for it
        self.has_old_attempts = has_old_attempts  # a gang with attempts that are not gone yet

    @property
    def may_preempt(self) -> bool:
        """Whether others are stopped and machines rented for it."""
        return not (self.is_canary or self.borrowed)


class Assignment:
    """Some tasks of a job are to start on a machine."""

    __slots__ = ("count", "job", "machine")

    def __init__(self, job: str, machine: str, count: int) -> None:
        self.job = job
        self.machine = machine
        self.count = count

    def __repr__(self) -> str:
        return f"Start({self.job}, {self.machine}, {self.count})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Assignment) and repr(self) == repr(other)

    __hash__ = None  # type: ignore[assignment]


class Plan:
    """What a round decided."""

    def __init__(self) -> None:
        self.assignments: list[Assignment] = []
        self.stops: list[tuple[str, int]] = []  # (job, task) to be stopped with time to save
        self.moves: list[Move] = []
        self.unplaced: list[tuple[JobView, int]] = []  # jobs that lack room, and for how many tasks
        self.free_capacity: dict[str, list[float]] = {}  # room left on each machine


def fits_in(free: Sequence[float], spec: JobSpec) -> int:
    """How many tasks of the job fit into so many CPUs, GPUs and GB."""
    count = spec.tasks
    if spec.cpus > 0:
        count = min(count, int((free[0] + EPS) / spec.cpus))
    if spec.gpus > 0:
        count = min(count, int((free[1] + EPS) / spec.gpus))
    if spec.ram > 0:
        count = min(count, int((free[2] + EPS) / spec.ram))
    return max(0, count)


class MachineKind(Protocol):
    """What a job may be particular about: machine type, zone, and spot or ordinary."""

    @property
    def type(self) -> str:
        """Machine type."""

    @property
    def zone(self) -> str:
        """Zone."""

    @property
    def spot(self) -> bool:
        """Whether the cloud may take it back at any time."""


def allowed(machine: MachineKind, spec: JobSpec) -> bool:
    """Whether the job may use such machines at all."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )
