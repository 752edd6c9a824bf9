"""The platform's settings file (TOML) and the operators' own (protobuf text format)."""

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
    """Another controller."""

    name: Name = field(name="member")
    zone: str = field(name="location")
    addr: Address = field(name="endpoint")


class Services(Struct, frozen=True):
    """Addresses of the cloud and of the state service."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """A team's guarantee and limit; 0 means none."""

    name: Name
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class Objective(Struct, frozen=True):
    """An aim for a class of jobs."""

    kind: str
    class_name: str | None = field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerSettings(Struct, frozen=True):
    """Times that the workers keep to."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive

    @property
    def lease_expiry_s(self) -> float:
        """So long after the last answer that may have renewed its lease, a worker surely has no
        tasks any more, however its clock runs."""
        return self.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S


class NextLimits(Struct, frozen=True):
    """What the state service will allow from some moment on, without notice."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class StateSettings(Struct, frozen=True):
    """Limits of the state service."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    next: NextLimits | None = None

    @property
    def changes_at_once(self) -> int:
        """Puts and drops in one transaction: the service takes no more of them, and refuses for
        ever what is more than a burst, which is worth one second."""
        return max(constants.MIN_TRANSACTION_OPS, min(self.txn_ops, int(self.write_rps)))

    def least(self) -> StateSettings:
        """What holds now and will hold later: the moment of the change is not told."""
        if self.next is None:
            return self
        told = {k: v for k, v in msgspec.structs.asdict(self.next).items() if v is not None}
        return msgspec.structs.replace(
            self, next=None, **{k: min(v, getattr(self, k)) for k, v in told.items()}
        )


class CloudSettings(Struct, frozen=True):
    """Limits of the cloud."""

    rps: Positive
    list_lag_s: NotNegative


class Limits(Struct, frozen=True):
    """Of the machine that a controller runs on."""

    cpu_share: Positive = 1.0
    ram_mb: Positive = 1024.0
    fd_limit: Annotated[int, Meta(ge=32)] = 1024


class Params(Struct, frozen=True):
    """What all controllers of a site have in common."""

    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    teams: list[Team]
    size: Annotated[int, Meta(ge=1)] = 1
    zones: list[str] = []
    clock_off_ms: NotNegative = 0.0
    objectives: list[Objective] = []
    machine_limits: Limits = Limits()


class Settings(Struct, frozen=True):
    """The platform's settings file."""

    name: Name = field(name="member")
    zone: str = field(name="location")
    listen: Address = field(name="api_addr")
    peer_listen: Address = field(name="back")
    services: Services
    params: Params
    peers: list[Peer] = field(name="known", default=[])


def split_addr(addr: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = addr.rpartition(":")
    return host, int(port)


def parse(text: str) -> Settings:
    """Settings from the text of their file, checked."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f"not TOML: {exc}") from None
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as exc:
        raise SettingsError(str(exc).replace("\n", " ")) from None
    names = [settings.name, *(peer.name for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError("member: two controllers have the same name")
    workers = settings.params.workers
    if workers.cancel_s <= workers.lease_expiry_s:
        # A machine that hears nobody keeps the tasks of a cancelled job until its lease ends.
        raise SettingsError(
            f"params.workers.cancel_s: {workers.cancel_s:g} must be more than"
            f" {workers.lease_expiry_s:g}, the longest that a machine cut off keeps its tasks"
            f" (lease_s {workers.lease_s:g})"
        )
    state = settings.params.state.least()
    if state.write_rps < constants.MIN_TRANSACTION_OPS:
        raise SettingsError(
            f"params.state.write_rps: {state.write_rps:g} must be at least"
            f" {constants.MIN_TRANSACTION_OPS}, what the largest indivisible transaction changes"
        )
    params = msgspec.structs.replace(settings.params, state=state)
    return msgspec.structs.replace(settings, params=params)


def load(path: str | os.PathLike[str]) -> Settings:
    """Settings from their file, checked."""
    try:
        with open(path, encoding="utf-8") as handle:
            return parse(handle.read())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}") from None
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from None
