"""What to rent and what to return; pure decisions."""

from __future__ import annotations

from msgspec import Struct

from peathall.placement.planner import EPS, JobView, fits_in
from peathall.wire.names import JobSpec, MachineType


class Offer(Struct, frozen=True):
    """One kind of machine that the cloud might rent."""

    type: MachineType
    zone: str
    spot: bool

    @property
    def price(self) -> float:
        return self.type.spot_price if self.spot else self.type.price

    @property
    def key(self) -> tuple[str, str, bool]:
        return (self.type.name, self.zone, self.spot)


class Bin:
    """A machine that is on its way, as room for work that waits."""

    __slots__ = ("free", "offer")

    def __init__(self, offer: Offer, free: list[float] | None = None) -> None:
        self.offer = offer
        self.free = free or [offer.type.cpus, offer.type.gpus, offer.type.ram]

    def put(self, spec: JobSpec, count: int) -> None:
        self.free[0] -= spec.cpus * count
        self.free[1] -= spec.gpus * count
        self.free[2] -= spec.ram * count


def suits(offer: Offer, spec: JobSpec) -> bool:
    kind = offer.type
    return (
        (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or offer.zone == spec.zone)
        and (spec.spot or not offer.spot)
        and spec.cpus <= kind.cpus + EPS
        and spec.gpus <= kind.gpus + EPS
        and spec.ram <= kind.ram + EPS
    )


def all_offers(types: list[MachineType]) -> list[Offer]:
    return [Offer(t, zone, spot) for t in types for zone in t.zones for spot in (True, False)]


def per_task(offer: Offer, spec: JobSpec, count: int) -> float:
    """Price for each task placed, if `count` tasks wait."""
    room = fits_in([offer.type.cpus, offer.type.gpus, offer.type.ram], spec)
    return offer.price / max(1, min(room, count))


def plan_rentals(
    short: list[tuple[JobView, int]],
    coming: list[Offer],
    offers: list[Offer],
) -> list[tuple[Offer, int]]:
    """New machines for the tasks that neither have room nor find it on machines coming up.

    `offers` leaves out what the cloud has just refused. Jobs come in their order of
    importance.
    """
    bins = [Bin(offer) for offer in coming]
    rent: dict[tuple[str, str, bool], int] = {}
    for job, count in short:
        spec = job.spec
        usable = [o for o in offers if suits(o, spec)]
        if spec.gang and spec.one_zone:
            zones = list(dict.fromkeys([b.offer.zone for b in bins] + [o.zone for o in usable]))
            if not zones:
                continue

            def room_in(zone: str, spec: JobSpec = spec) -> int:
                return sum(
                    fits_in(b.free, spec)
                    for b in bins
                    if b.offer.zone == zone and suits(b.offer, spec)
                )

            home = max(
                zones, key=lambda z: (min(room_in(z), count), any(o.zone == z for o in usable))
            )
            usable = [o for o in usable if o.zone == home]
            mine = [b for b in bins if b.offer.zone == home]
        else:
            mine = list(bins)
        for held in mine:
            if count <= 0:
                break
            if suits(held.offer, spec):
                fit = min(fits_in(held.free, spec), count)
                held.put(spec, fit)
                count -= fit
        while count > 0 and usable:
            offer = min(usable, key=lambda o: (per_task(o, spec, count), o.spot, o.key))
            fresh = Bin(offer)
            fit = min(fits_in(fresh.free, spec), count)
            if fit <= 0:
                break
            fresh.put(spec, fit)
            bins.append(fresh)
            rent[offer.key] = rent.get(offer.key, 0) + 1
            count -= fit
    by_key = {offer.key: offer for offer in offers}
    return [(by_key[key], count) for key, count in rent.items()]
