"""The platform's settings file (TOML): its sections, their bounds, and the checks across sections.

Fields have the same names as in the file, except where `field(name=...)` gives the file's name. The
end of a name is the unit: `_s` seconds, `_ms` milliseconds, `_kb` KiB, `_mb` MiB, `rps` requests
per second.
Unknown fields in the file are ignored.
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
    """A setting is missing or invalid; the message is one line for the operator."""


class Peer(Struct, frozen=True):
    """Section `known`: another controller of this site."""

    name: Name = field(name="member")
    zone: str = field(name="location")
    addr: Address = field(name="endpoint")  # the `back` address in that controller's settings


class Services(Struct, frozen=True):
    """Section `services`: addresses of the cloud provider and of the state service."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """Section `params.teams`: the quota of a team. 0 is no guarantee, or no limit."""

    name: Name
    cpus: NotNegative = 0.0  # guaranteed
    cpus_max: NotNegative = 0.0  # limit
    gpus: NotNegative = 0.0  # guaranteed
    gpus_max: NotNegative = 0.0  # limit


class Objective(Struct, frozen=True):
    """Section `params.objectives`: a service-level objective for a class of jobs."""

    kind: str  # placement/ordering uses "wait", "finished" and "deadline" and ignores others
    class_name: str | None = field(name="class", default=None)  # of the jobs; None: no jobs
    within_s: float | None = None  # from submission to start (wait) or to the end (finished)
    share: float | None = None  # of the jobs that should meet the objective; read, but not used
    times: float | None = None  # factor on the job's own deadline_s (deadline)


class WorkerSettings(Struct, frozen=True):
    """Section `params.workers`: the workers' intervals and time limits."""

    report_s: Positive  # interval of a worker's heartbeats
    lease_s: Positive  # a worker without a response for this long kills its tasks
    gang_wait_s: Positive  # a task waits this long for all tasks of its gang to be ready
    gang_peer_s: Positive  # the tasks of a gang detect the loss of one of them within this time
    cancel_s: Positive  # no task of a job may run later than this after its cancellation

    @property
    def lease_expiry_s(self) -> float:
        """Seconds from the last response that may have renewed a worker's lease until the worker
        has certainly killed its tasks, at any clock drift up to CLOCK_DRIFT."""
        return self.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S


class NextLimits(Struct, frozen=True):
    """Section `params.state.next`: limits of the state service after a change that comes at an
    unannounced time. None: the limit does not change."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class StateSettings(Struct, frozen=True):
    """Section `params.state`: limits of the state service."""

    rps: Positive  # requests per second
    write_rps: Positive  # puts and deletes per second; a burst may use one second's worth
    value_kb: Positive  # size of a value
    txn_ops: Annotated[int, Meta(ge=4)]  # puts and deletes in one transaction
    next: NextLimits | None = None

    @property
    def max_operations(self) -> int:
        """Maximum number of puts and deletes in one transaction. Besides `txn_ops` the burst of the
        write rate limits it: a larger transaction would never be accepted."""
        return max(constants.MIN_TRANSACTION_OPS, min(self.txn_ops, int(self.write_rps)))

    @property
    def max_value_bytes(self) -> int:
        """Maximum size of a value, as counted by `codec.json_size`."""
        limit = int(self.value_kb * 1024 * constants.VALUE_SIZE_SHARE)
        return min(limit, constants.MAX_VALUE_BYTES)

    @property
    def max_conditions(self) -> int:
        """Maximum number of conditions in one transaction."""
        limit = constants.TXN_CONDITIONS_PER_OP * self.txn_ops
        return min(limit, constants.MAX_TXN_CONDITIONS)

    def lowest(self) -> StateSettings:
        """The lower of the present and the announced value of each limit: since the time of the
        change is not known, requests keep to both from the start."""
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
    """Section `params.cloud`: limits of the cloud provider."""

    rps: Positive  # requests per second
    list_lag_s: NotNegative  # maximum age of the information in the machine list


class MachineLimits(Struct, frozen=True):
    """Section `params.machine_limits`: resources that a controller may use on its own machine."""

    cpu_share: Positive = 1.0  # cores
    ram_mb: Positive = 1024.0
    fd_limit: Annotated[int, Meta(ge=32)] = 1024  # open files and sockets


class Params(Struct, frozen=True):
    """Section `params`: settings that all controllers of a site share."""

    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    teams: list[Team]
    size: Annotated[int, Meta(ge=1)] = 1  # number of controllers
    zones: list[str] = []
    clock_off_ms: NotNegative = 0.0  # offset of clocks; read, but not used
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
    """Check that names are unique, since controllers identify each other by name."""
    names = [settings.name, *(peer.name for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError("member: two controllers have the same name")


def _check_cancellation(workers: WorkerSettings) -> None:
    """Check that a cancellation has more time than a worker's lease: a partitioned machine keeps
    the tasks of a cancelled job until its lease expires."""
    if workers.cancel_s <= workers.lease_expiry_s:
        raise SettingsError(
            f"params.workers.cancel_s: {workers.cancel_s:g} must be more than"
            f" {workers.lease_expiry_s:g}, the longest that a machine cut off keeps its tasks"
            f" (lease_s {workers.lease_s:g})"
        )


def _check_write_rate(state: StateSettings) -> None:
    """Check that the burst of the write rate, one second's worth, has room for the largest
    indivisible transaction: otherwise that transaction would never be accepted."""
    if state.write_rps < constants.MIN_TRANSACTION_OPS:
        raise SettingsError(
            f"params.state.write_rps: {state.write_rps:g} must be at least"
            f" {constants.MIN_TRANSACTION_OPS}, what the largest indivisible transaction changes"
        )


def parse(text: str) -> Settings:
    """Parse and check the text of a settings file; SettingsError if it is not valid. The limits of
    the state service in the result are the lower of the present and the announced ones."""
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
    """Read, parse and check a settings file; SettingsError, which names the file, if it cannot be
    read or is not valid."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}") from None
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from None
