"""The platform's settings file (TOML): its sections, their bounds, and the checks across sections.

Field names are those of the file, or have theirs as the encoded name. Names in `_s` are seconds, in
`_ms` milliseconds, in `_kb` and `_mb` KiB and MiB; `rps` is requests per second. What the file has
beyond these fields is ignored.
"""

from __future__ import annotations

import os
import tomllib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from peathall import constants
from peathall.config.types import Address, Name, NotNegative, Positive


class SettingsError(Exception):
    """A setting is missing or wrong; the message is one clear line."""


class Peer(Struct, frozen=True):
    """Section `known`: another controller of this site."""

    name: Name = field(name="member")
    zone: str = field(name="location")
    addr: Address = field(name="endpoint")  # its `back`


class Services(Struct, frozen=True):
    """Section `services`: addresses of the cloud and of the state service."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """Section `params.teams`: the quota of a team. 0 means nothing guaranteed, or no limit."""

    name: Name
    cpus: NotNegative = 0.0  # guaranteed
    cpus_max: NotNegative = 0.0  # limit
    gpus: NotNegative = 0.0  # guaranteed
    gpus_max: NotNegative = 0.0  # limit


class Objective(Struct, frozen=True):
    """Section `params.objectives`: a service-level objective for a class of jobs."""

    kind: str  # "wait", "finished" and "deadline" have an effect on placement (placement/ordering)
    class_name: str | None = field(name="class", default=None)  # of the jobs; without it, of none
    within_s: float | None = None  # from submission to start (wait) or to the end (finished)
    share: float | None = None  # of the jobs that should meet it; not used here
    times: float | None = None  # the job's own deadline may take so many times as long


class WorkerSettings(Struct, frozen=True):
    """Section `params.workers`: times that the workers keep to."""

    report_s: Positive  # interval of a worker's heartbeats
    lease_s: Positive  # without a response for so long, a worker kills its tasks
    gang_wait_s: Positive  # a task waits so long for its gang to become complete
    gang_peer_s: Positive  # within which the tasks of a gang notice that one of them is gone
    cancel_s: Positive  # within which no task of a cancelled job may run any more

    @property
    def lease_expiry_s(self) -> float:
        """Time after the last response that may have renewed a worker's lease until it certainly
        has no tasks any more, whatever the drift of its clock; s."""
        return self.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S


class NextLimits(Struct, frozen=True):
    """Section `params.state.next`: limits that the state service will have from a moment on that
    is not announced; None: unchanged."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class StateSettings(Struct, frozen=True):
    """Section `params.state`: limits of the state service."""

    rps: Positive  # requests per second
    write_rps: Positive  # puts and deletes per second; a burst is worth one second
    value_kb: Positive  # size of a value
    txn_ops: Annotated[int, Meta(ge=4)]  # puts and deletes in one transaction
    next: NextLimits | None = None

    @property
    def max_operations(self) -> int:
        """Largest number of puts and deletes in one transaction: the service takes no more of them,
        and never accepts more than its rate limit's burst, which is worth one second."""
        return max(constants.MIN_TRANSACTION_OPS, min(self.txn_ops, int(self.write_rps)))

    def lowest(self) -> StateSettings:
        """The limits that are kept now and after the announced change, since its moment is not
        known: of each limit the lower value."""
        if self.next is None:
            return self
        announced = msgspec.structs.asdict(self.next)
        lowest = {
            limit: min(value, getattr(self, limit))
            for limit, value in announced.items()
            if value is not None
        }
        return msgspec.structs.replace(self, next=None, **lowest)


class CloudSettings(Struct, frozen=True):
    """Section `params.cloud`: limits of the cloud."""

    rps: Positive  # requests per second
    list_lag_s: NotNegative  # the machine list may be so much out of date


class MachineLimits(Struct, frozen=True):
    """Section `params.machine_limits`: what a controller may use of the machine that it runs on."""

    cpu_share: Positive = 1.0  # cores
    ram_mb: Positive = 1024.0
    fd_limit: Annotated[int, Meta(ge=32)] = 1024  # open files and sockets


class Params(Struct, frozen=True):
    """Section `params`: what all controllers of a site have in common."""

    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    teams: list[Team]
    size: Annotated[int, Meta(ge=1)] = 1  # number of controllers
    zones: list[str] = []
    clock_off_ms: NotNegative = 0.0  # of clocks; read, but not used here
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(Struct, frozen=True):
    """The whole settings file of one controller."""

    name: Name = field(name="member")
    zone: str = field(name="location")
    listen: Address = field(name="api_addr")  # for users and workers
    peer_listen: Address = field(name="back")  # for other controllers
    services: Services
    params: Params
    peers: list[Peer] = field(name="known", default=[])


def split_addr(addr: str) -> tuple[str, int]:
    """Host and port of an `Address`."""
    host, _, port = addr.rpartition(":")
    return host, int(port)


def _check_names(settings: Settings) -> None:
    """Controllers find each other by name."""
    names = [settings.name, *(peer.name for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError("member: two controllers have the same name")


def _check_cancellation(workers: WorkerSettings) -> None:
    """A machine that no controller can reach keeps the tasks of a cancelled job until its lease
    expires: a cancellation must have more time than that."""
    if workers.cancel_s <= workers.lease_expiry_s:
        raise SettingsError(
            f"params.workers.cancel_s: {workers.cancel_s:g} must be more than"
            f" {workers.lease_expiry_s:g}, the longest that a machine cut off keeps its tasks"
            f" (lease_s {workers.lease_s:g})"
        )


def _check_write_rate(state: StateSettings) -> None:
    """A transaction of more operations than the rate limit's burst would never be accepted."""
    if state.write_rps < constants.MIN_TRANSACTION_OPS:
        raise SettingsError(
            f"params.state.write_rps: {state.write_rps:g} must be at least"
            f" {constants.MIN_TRANSACTION_OPS}, what the largest indivisible transaction changes"
        )


def parse(text: str) -> Settings:
    """Settings from the text of their file, with the lowest of present and announced limits of the
    state service; SettingsError if they are not valid."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f"not TOML: {exc}") from None
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as exc:
        raise SettingsError(str(exc).replace("\n", " ")) from None
    state = settings.params.state.lowest()
    _check_names(settings)
    _check_cancellation(settings.params.workers)
    _check_write_rate(state)
    params = msgspec.structs.replace(settings.params, state=state)
    return msgspec.structs.replace(settings, params=params)


def load(path: str | os.PathLike[str]) -> Settings:
    """Settings from their file; SettingsError, which names the file, if it cannot be read or is not
    valid."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}") from None
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from None
