"""What to rent and what to return; pure decisions."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from peathall.cluster.machine import Machine
from peathall.placement.views import EPS, JobView, fits_in
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec


class MachineOffer(Struct, frozen=True):
    """One kind of machine that the cloud might rent."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        """Of an hour, now."""
        return self.type.spot_price if self.spot else self.type.price

    @property
    def key(self) -> tuple[str, str, bool]:
        """By which refusals are remembered."""
        return (self.type.name, self.zone, self.spot)


class Bin:
    """A machine that is on its way, as room for work that waits."""

    __slots__ = ("free", "offer")

    def __init__(self, offer: MachineOffer, free: list[float] | None = None) -> None:
        self.offer = offer
        self.free = free or [offer.type.cpus, offer.type.gpus, offer.type.ram]

    def put(self, spec: JobSpec, count: int) -> None:
        """Take room for so many tasks of the job."""
        self.free[0] -= spec.cpus * count
        self.free[1] -= spec.gpus * count
        self.free[2] -= spec.ram * count


def suits(offer: MachineOffer, spec: JobSpec) -> bool:
    """Whether a task of the job may run on such a machine, and fits."""
    kind = offer.type
    return (
        (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or offer.zone == spec.zone)
        and (spec.spot or not offer.spot)
        and spec.cpus <= kind.cpus + EPS
        and spec.gpus <= kind.gpus + EPS
        and spec.ram <= kind.ram + EPS
    )


def offer_of(machine: Machine, types: Mapping[str, MachineType]) -> MachineOffer | None:
    """The offer under which such a machine is rented, if its type is known."""
    size = types.get(machine.type)
    return MachineOffer(size, machine.zone, machine.spot) if size else None


def all_offers(types: list[MachineType]) -> list[MachineOffer]:
    """Every kind of machine that the cloud might have."""
    return [
        MachineOffer(t, zone, spot) for t in types for zone in t.zones for spot in (True, False)
    ]


def per_task(offer: MachineOffer, spec: JobSpec, count: int) -> float:
    """Price for each task placed, if `count` tasks wait."""
    room = fits_in([offer.type.cpus, offer.type.gpus, offer.type.ram], spec)
    return offer.price / max(1, min(room, count))


def plan_scale_out(
    short: list[tuple[JobView, int]],
    coming: list[Bin],
    left: list[Bin],
    offers: list[MachineOffer],
) -> list[tuple[MachineOffer, int]]:
    """New machines for the tasks that neither have room nor find it in `coming`.

    `coming` is room on machines that are on their way; `left` what the round left over
    on those that are up. It speaks for a zone, but is not counted on: by the time that
    new machines are up, others have filled it. `offers` leaves out what the cloud has
    just refused. Jobs come in their order of importance.
    """
    bins = list(coming)
    provision: dict[tuple[str, str, bool], int] = {}
    for job, count in short:
        spec = job.spec
        usable = [o for o in offers if suits(o, spec)]
        mine = [b for b in bins if suits(b.offer, spec)]
        if spec.one_zone:
            beside = [b for b in left if suits(b.offer, spec)]
            zone = next(iter(job.running_zones), None) or roomiest_zone(
                spec, count, mine + beside, usable
            )
            usable = [o for o in usable if o.zone == zone]
            mine = [b for b in mine if b.offer.zone == zone]
        zones = dict(job.running_zones)
        for held in mine:
            fit = min(fits_in(held.free, spec), count, zone_room(spec, zones, held.offer.zone))
            if fit > 0:
                held.put(spec, fit)
                zones[held.offer.zone] = zones.get(held.offer.zone, 0) + fit
                count -= fit
        while count > 0:
            open_offers = [o for o in usable if zone_room(spec, zones, o.zone) > 0]
            if not open_offers:
                break
            offer = min(open_offers, key=lambda o: (per_task(o, spec, count), o.spot, o.key))
            fresh = Bin(offer)
            fit = min(fits_in(fresh.free, spec), count, zone_room(spec, zones, offer.zone))
            fresh.put(spec, fit)
            bins.append(fresh)
            zones[offer.zone] = zones.get(offer.zone, 0) + fit
            provision[offer.key] = provision.get(offer.key, 0) + 1
            count -= fit
    by_key = {offer.key: offer for offer in offers}
    return [(by_key[key], count) for key, count in provision.items()]


def zone_room(spec: JobSpec, zones: dict[str, int], zone: str) -> int:
    """How many tasks of the job may still go into the zone."""
    if not spec.spread:
        return spec.tasks
    return (spec.tasks + 1) // 2 - zones.get(zone, 0)


def roomiest_zone(
    spec: JobSpec, count: int, bins: list[Bin], offers: list[MachineOffer]
) -> str | None:
    """The zone for all tasks: where most find room already, among those where all will: room that
    is too small in a zone that has nothing more to rent would be waited for in vain."""
    zones = list(dict.fromkeys([b.offer.zone for b in bins] + [o.zone for o in offers]))
    if len(zones) < 2:
        return next(iter(zones), None)

    def room(zone: str) -> tuple[bool, int, bool]:
        fits = sum(fits_in(b.free, spec) for b in bins if b.offer.zone == zone)
        more = any(o.zone == zone for o in offers)
        return more or fits >= count, min(fits, count), more

    return max(zones, key=room, default=None)
