"""API of the cloud provider: machine types, the machine list, provision and deletion requests.

===============  ==================================================
on the wire      in this program
===============  ==================================================
builds, build    machine types, type
label            name, of a machine type
vcpus            cpus
cards            gpus
ram_gb           ram
pull_gb_per_s    fetch_gb_per_s
rate             price
market_price     spot_price
wards, ward      zones, zone
halls, id        machines, name of a machine
endpoint         addr
standby          spot
standing         state, see `MachineState`
held_s           age_s
hire             name of a provision request
how_many         count
===============  ==================================================

Records of machine types in the state service have the names of the wire, so that controllers of
any version can read them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from urllib.parse import quote

import msgspec
from msgspec import Struct

from peathall.protocol.errors import decode_error

MACHINE_TYPES_PATH = "/machine_types"
MACHINES_PATH = "/hosts"
DELETE_MACHINES_PATH = "/hosts/delete"


class MachineType(Struct, frozen=True):
    """A machine type that the cloud provisions."""

    name: str
    cpus: float
    gpus: float
    ram: float  # GB
    cache_gb: float  # disk space of the image cache
    fetch_gb_per_s: float  # rate at which a machine downloads images
    price: float  # per hour
    spot_price: float  # per hour, at present
    startup_s: float  # usual startup time
    zones: list[str]  # that offer machines of this type


def decode_machine_type(raw: dict[str, Any]) -> MachineType:
    """Decode a machine type of the cloud's response, or of its record in the state service."""
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
    """Encode a machine type in the form of the cloud's response."""
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
    """Decode the cloud's response, or the record in the state service."""
    return [decode_machine_type(item) for item in raw["builds"]]


def encode_machine_types(machine_types: list[MachineType]) -> dict[str, Any]:
    """Encode the record of machine types, which has the form of the cloud's response."""
    return {"builds": [encode_machine_type(machine_type) for machine_type in machine_types]}


class MachineState(StrEnum):
    """State of a machine in the cloud's list; the values are those of the wire."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"  # stopped by itself; listed until it is deleted, but not charged
    UNKNOWN = "unknown"  # stands for any other value


_MACHINE_STATES = {state.value: state for state in MachineState}


class ListedMachine(Struct, frozen=True):
    """An entry of the cloud's machine list."""

    name: str
    addr: str  # host:port of its worker; empty if not known
    type: str
    zone: str
    spot: bool
    state: MachineState
    age_s: float  # time since it was provisioned


class MachinePage(Struct, frozen=True):
    """A page of the cloud's machine list."""

    machines: list[ListedMachine]
    more: bool  # another page follows


def machine_page_path(size: int, after: str) -> str:
    """Path and query of a page of at most `size` machines. The page begins after the machine
    `after`, or at the start of the list if `after` is empty."""
    path = f"{MACHINES_PATH}?most={size}"
    return f"{path}&after={quote(after)}" if after else path


def decode_listed_machine(raw: dict[str, Any]) -> ListedMachine:
    """Decode an entry of the machine list."""
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
    """Decode a page of the machine list."""
    machines = [decode_listed_machine(item) for item in raw["halls"]]
    return MachinePage(machines, bool(raw.get("more")))


def encode_provision_request(
    name: str, machine_type: str, zone: str, spot: bool, count: int
) -> dict[str, Any]:
    """The body of a provision request, which is idempotent: the cloud provisions once per name."""
    return {
        "hire": name,
        "build": machine_type,
        "ward": zone,
        "standby": spot,
        "how_many": count,
    }


def decode_provisioned_machines(raw: dict[str, Any]) -> list[str]:
    """Decode the names of the machines that a provision request has created."""
    return msgspec.convert(raw["halls"], list[str])


def encode_deletion(machines: list[str]) -> dict[str, Any]:
    """The body of a request to delete machines."""
    return {"halls": machines}


def is_capacity_error(raw: Any) -> bool:
    """Whether a 503 response with this body means that the cloud has no such machines left, rather
    than that the cloud is unavailable."""
    return "capacity" in decode_error(raw)
