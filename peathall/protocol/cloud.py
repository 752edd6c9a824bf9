"""Machine types and the machine list of the cloud.

protocol -> here: label name, vcpus/cards/ram_gb cpus/gpus/ram, pull_gb_per_s fetch_gb_per_s,
rate price, market_price spot_price, startup_s boot_s, wards zones, endpoint addr, build type,
ward zone, standby spot, standing state, held_s age_s.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct


class MachineType(Struct, frozen=True):
    """A type of machine that the cloud rents."""

    name: str
    cpus: float
    gpus: float
    ram: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]


def machine_type_from_wire(raw: dict[str, Any]) -> MachineType:
    """A machine type as the cloud describes it."""
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
        boot_s=float(raw.get("startup_s") or 60.0),
        zones=[str(z) for z in raw.get("wards") or []],
    )


def machine_type_to_wire(kind: MachineType) -> dict[str, Any]:
    """A machine type as the cloud describes it: so it is stored, for any version to read."""
    return {
        "label": kind.name,
        "vcpus": kind.cpus,
        "cards": kind.gpus,
        "ram_gb": kind.ram,
        "cache_gb": kind.cache_gb,
        "pull_gb_per_s": kind.fetch_gb_per_s,
        "rate": kind.price,
        "market_price": kind.spot_price,
        "startup_s": kind.boot_s,
        "wards": kind.zones,
    }


class ListedMachine(Struct, frozen=True):
    """A machine of the cloud's list."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str  # starting, running, failed
    age_s: float


def listed_from_wire(raw: dict[str, Any]) -> ListedMachine:
    """A machine as the list describes it."""
    return ListedMachine(
        name=str(raw["id"]),
        addr=str(raw.get("endpoint") or ""),
        type=str(raw.get("build") or ""),
        zone=str(raw.get("ward") or ""),
        spot=bool(raw.get("standby")),
        state=str(raw.get("standing")),
        age_s=float(raw.get("held_s") or 0.0),
    )
