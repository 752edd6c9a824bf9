"""The cloud's interface: machine types, the machine list, provision and deletion requests.

===============  ==================================================
protocol         here
===============  ==================================================
builds, build    machine types, type
label            name, of a machine type
vcpus            cpus
cards            gpus
ram_gb           ram
pull_gb_per_s    fetch_gb_per_s
rate             price
market_price     spot_price
startup_s        boot_s
wards, ward      zones, zone
halls, id        machines, name of a machine
endpoint         addr
standby          spot
standing         state, see `MachineState`
held_s           age_s
hire             name of a provision request
how_many         count
===============  ==================================================

Machine types are stored in the state service in the protocol's spelling, for any version to read.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from urllib.parse import quote

from msgspec import Struct

from peathall.protocol.errors import decode_error

MACHINE_TYPES_PATH = "/machine_types"
MACHINES_PATH = "/hosts"
DELETE_MACHINES_PATH = "/hosts/delete"


class MachineType(Struct, frozen=True):
    """A type of machine that the cloud provisions."""

    name: str
    cpus: float
    gpus: float
    ram: float  # GB
    cache_gb: float  # disk for images
    fetch_gb_per_s: float  # rate at which a machine downloads images
    price: float  # per hour
    spot_price: float  # per hour, as it is now
    startup_s: float  # usual startup time
    zones: list[str]  # those that have machines of this type


def decode_machine_type(raw: dict[str, Any]) -> MachineType:
    """A machine type as the cloud, or the record of it, describes it."""
    price = float(raw.get("rate") or 0.0)
    return MachineType(
        name=str(raw["label"]),
        cpus=float(raw["vcpus"]),
        gpus=float(raw.get("cards") or 0.0),
        ram=float(raw["ram_gb"]),
        cache_gb=float(raw.get("cache_gb") or 0.0),
        fetch_gb_per_s=float(raw.get("pull_gb_per_s") or 1.0),
        price=price,
        spot_price=float(raw.get("market_price") or price),
        startup_s=float(raw.get("startup_s") or 60.0),
        zones=[str(zone) for zone in raw.get("wards") or []],
    )


def encode_machine_type(machine_type: MachineType) -> dict[str, Any]:
    """A machine type as the cloud describes it."""
    return {
        "label": machine_type.name,
        "vcpus": machine_type.cpus,
        "cards": machine_type.gpus,
        "ram_gb": machine_type.ram,
        "cache_gb": machine_type.cache_gb,
        "pull_gb_per_s": machine_type.fetch_gb_per_s,
        "rate": machine_type.price,
        "market_price": machine_type.spot_price,
        "startup_s": machine_type.startup_s,
        "wards": machine_type.zones,
    }


def decode_machine_types(raw: dict[str, Any]) -> list[MachineType]:
    """The machine types in the cloud's response, or in the record of them."""
    return [decode_machine_type(item) for item in raw["builds"]]


def encode_machine_types(machine_types: list[MachineType]) -> dict[str, Any]:
    """The record of machine types, in the form of the cloud's response."""
    return {"builds": [encode_machine_type(machine_type) for machine_type in machine_types]}


class MachineState(StrEnum):
    """State of a machine in the cloud's list; the values are the protocol's words."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"  # stopped by itself; listed until it is deleted, but not charged
    UNKNOWN = "unknown"  # ours, for a word that is not known


_MACHINE_STATES = {state.value: state for state in MachineState}


class ListedMachine(Struct, frozen=True):
    """A machine of the cloud's list."""

    name: str
    addr: str  # host:port of its worker; empty if it is not known
    type: str
    zone: str
    spot: bool
    state: MachineState
    age_s: float  # since it was provisioned


class MachinePage(Struct, frozen=True):
    """A part of the cloud's machine list."""

    machines: list[ListedMachine]
    more: bool  # machines follow after the last of these


def machine_page_path(size: int, after: str) -> str:
    """Path and query of a page of at most `size` machines that follow the machine `after`; the
    first page is after the empty name."""
    path = f"{MACHINES_PATH}?most={size}"
    return f"{path}&after={quote(after)}" if after else path


def decode_listed_machine(raw: dict[str, Any]) -> ListedMachine:
    """A machine as the list describes it."""
    return ListedMachine(
        name=str(raw["id"]),
        addr=str(raw.get("endpoint") or ""),
        type=str(raw.get("build") or ""),
        zone=str(raw.get("ward") or ""),
        spot=bool(raw.get("standby")),
        state=_MACHINE_STATES.get(str(raw.get("standing")), MachineState.UNKNOWN),
        age_s=float(raw.get("held_s") or 0.0),
    )


def decode_machine_page(raw: dict[str, Any]) -> MachinePage:
    """A page of the machine list."""
    machines = [decode_listed_machine(item) for item in raw["halls"]]
    return MachinePage(machines, bool(raw.get("more")))


def encode_provision_request(
    name: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """The body of a request for machines; one repeated under its name provisions nothing more."""
    return {
        "hire": name,
        "build": machine_type,
        "ward": zone,
        "standby": spot,
        "how_many": count,
    }


def decode_provisioned_machines(raw: dict[str, Any]) -> list[str]:
    """The names of the machines that a provision request gave."""
    return [str(name) for name in raw["halls"]]


def encode_deletion(machines: list[str]) -> dict[str, Any]:
    """The body of a request to delete machines."""
    return {"halls": machines}


def is_capacity_error(raw: Any) -> bool:
    """Whether the body of a 503 says that the cloud has no such machines left, rather than that it
    failed."""
    return "capacity" in decode_error(raw)
