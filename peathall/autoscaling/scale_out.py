"""Scale-out planning: which machines to provision for unplaced tasks. Pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from msgspec import Struct

from peathall.cluster.machine import Machine
from peathall.placement.bin_packing import EPS, fitting_tasks
from peathall.placement.views import JobView
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec


class OfferKey(NamedTuple):
    """Identifies a kind of machine."""

    type: str
    zone: str
    spot: bool


class MachineOffer(Struct, frozen=True):
    """A kind of machine that can be provisioned: a type, in a zone, spot or on-demand."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """Present price per hour."""
        return self.type.spot_price if self.spot else self.type.price

    @property
    def key(self) -> OfferKey:
        """Hashable identity of the kind; MachineOffer itself is not hashable."""
        return OfferKey(self.type.name, self.zone, self.spot)


class Bin:
    """A machine in bin packing: its kind, and its free capacity."""

    __slots__ = ("free", "offer")

    def __init__(self, offer: MachineOffer, free: list[float] | None = None) -> None:
        self.offer = offer
        self.free = free or [offer.type.cpus, offer.type.gpus, offer.type.ram]

    def put(self, spec: JobSpec, count: int) -> None:
        """Subtract the capacity for `count` tasks of the job."""
        self.free[0] -= spec.cpus * count
        self.free[1] -= spec.gpus * count
        self.free[2] -= spec.ram * count


def suits(offer: MachineOffer, spec: JobSpec) -> bool:
    """Whether a task of the job is allowed on this kind of machine, and fits on an empty one."""
    machine_type = offer.type
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or offer.zone == spec.zone)
        and (spec.spot or not offer.spot)
        and spec.cpus <= machine_type.cpus + EPS
        and spec.gpus <= machine_type.gpus + EPS
        and spec.ram <= machine_type.ram + EPS
    )


def offer_of(machine: Machine, types: Mapping[str, MachineType]) -> MachineOffer | None:
    """The kind of a machine; None if its type is unknown."""
    machine_type = types.get(machine.type)
    return MachineOffer(machine_type, machine.zone, machine.spot) if machine_type else None


def all_offers(types: list[MachineType]) -> list[MachineOffer]:
    """Every kind of machine that the cloud offers, whether or not it has capacity."""
    return [
        MachineOffer(t, zone, spot) for t in types for zone in t.zones for spot in (True, False)
    ]


def price_per_task(offer: MachineOffer, spec: JobSpec, count: int) -> float:
    """Price per hour and task on a new machine, if `count` tasks wait."""
    fit = fitting_tasks([offer.type.cpus, offer.type.gpus, offer.type.ram], spec)
    return offer.price / max(1, min(fit, count))


def plan_scale_out(
    unplaced: list[tuple[JobView, int]],
    starting: list[Bin],
    free: list[Bin],
    offers: list[MachineOffer],
) -> list[tuple[MachineOffer, int]]:
    """The machines to provision, by kind, for unplaced tasks that do not fit into `starting`.

    `unplaced`: jobs with their number of unplaced tasks, the most important job first.
    `starting`: capacity of machines that will soon be up.
    `free`: capacity that the placement round left on machines that are up. It only influences the
    choice of a zone: by the time that new machines are up, other tasks will have taken it.
    `offers`: the kinds of machine for which the cloud has returned no recent capacity error.
    """
    bins = list(starting)
    needed: dict[OfferKey, int] = {}
    for job, count in unplaced:
        spec = job.spec
        usable = [o for o in offers if suits(o, spec)]
        suitable = [b for b in bins if suits(b.offer, spec)]
        if spec.one_zone:
            suitable_free = [b for b in free if suits(b.offer, spec)]
            zone = next(iter(job.running_zones), None) or best_zone(
                spec, count, suitable + suitable_free, usable
            )
            usable = [o for o in usable if o.zone == zone]
            suitable = [b for b in suitable if b.offer.zone == zone]
        zones = dict(job.running_zones)
        count -= _fill_bins(spec, count, zones, suitable)
        for new in _new_machines(spec, count, zones, usable):
            bins.append(new)
            needed[new.offer.key] = needed.get(new.offer.key, 0) + 1
    by_key = {offer.key: offer for offer in offers}
    return [(by_key[key], count) for key, count in needed.items()]


def _fill_bins(spec: JobSpec, count: int, zones: dict[str, int], bins: list[Bin]) -> int:
    """Put up to `count` tasks into the bins and add them to `zones`; returns their number."""
    placed = 0
    for item in bins:
        allowed = zone_allowance(spec, zones, item.offer.zone)
        fit = min(fitting_tasks(item.free, spec), count - placed, allowed)
        if fit > 0:
            item.put(spec, fit)
            zones[item.offer.zone] = zones.get(item.offer.zone, 0) + fit
            placed += fit
    return placed


def _new_machines(
    spec: JobSpec, count: int, zones: dict[str, int], offers: list[MachineOffer]
) -> list[Bin]:
    """The cheapest new machines for `count` tasks, or for as many as `offers` and the spread over
    zones allow."""
    machines = []
    while count > 0:
        allowed = [o for o in offers if zone_allowance(spec, zones, o.zone) > 0]
        if not allowed:
            break
        offer = min(allowed, key=lambda o: (price_per_task(o, spec, count), o.spot, o.key))
        new = Bin(offer)
        fit = min(fitting_tasks(new.free, spec), count, zone_allowance(spec, zones, offer.zone))
        new.put(spec, fit)
        zones[offer.zone] = zones.get(offer.zone, 0) + fit
        machines.append(new)
        count -= fit
    return machines


def zone_allowance(spec: JobSpec, zones: dict[str, int], zone: str) -> int:
    """How many more tasks of the job may go into the zone; `zones` maps zones to their tasks."""
    if not spec.spread:
        return spec.tasks
    return (spec.tasks + 1) // 2 - zones.get(zone, 0)


def best_zone(spec: JobSpec, count: int, bins: list[Bin], offers: list[MachineOffer]) -> str | None:
    """The zone for all tasks of a job: preferably one where all of them fit once machines are
    provisioned there, and among those the one where most fit already. In a zone with too little
    capacity and no machines to provision, the job would wait for ever."""
    zones = list(dict.fromkeys([b.offer.zone for b in bins] + [o.zone for o in offers]))
    if len(zones) < 2:
        return next(iter(zones), None)

    def rank(zone: str) -> tuple[bool, int, bool]:
        fits = sum(fitting_tasks(b.free, spec) for b in bins if b.offer.zone == zone)
        more = any(o.zone == zone for o in offers)
        return more or fits >= count, min(fits, count), more

    return max(zones, key=rank, default=None)
