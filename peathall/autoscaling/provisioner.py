"""Sends provision requests, repeats those without a response, remembers capacity errors."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.autoscaling.actions import (
    CloudActions,
    CloudError,
    NoCapacityError,
    ProvisionRequest,
    RejectedRequestError,
)
from peathall.autoscaling.scale_out import MachineOffer, OfferKey
from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState

log = logging.getLogger("peathall.autoscaling")


class PendingProvision(Struct, frozen=True):
    """A provision request for `count` machines of one kind; its name is never reused."""

    name: str
    offer: MachineOffer
    count: int

    def request(self) -> ProvisionRequest:
        """The request in the form in which it is sent."""
        offer = self.offer
        return ProvisionRequest(self.name, offer.type.name, offer.zone, offer.spot, self.count)


class Provisioner:
    """Provisions machines, and adds them to the cluster."""

    def __init__(
        self, cluster: ClusterState, actions: CloudActions, is_active: Callable[[], bool]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._cluster = cluster
        self._actions = actions
        self._is_active = is_active
        self._last_number = 0  # of the latest request of this term
        self.unanswered: list[PendingProvision] = []  # sent, and perhaps executed
        # Machine kind -> time until which it is not requested again after a capacity error.
        self.capacity_errors: dict[OfferKey, float] = {}

    def is_available(self, offer: MachineOffer, now: float) -> bool:
        """Whether the cloud has returned no capacity error for this kind recently."""
        return self.capacity_errors.get(offer.key, -1e9) < now

    def has_capacity_errors(self, now: float) -> bool:
        """Whether the cloud has recently provisioned less than was requested."""
        return any(until > now for until in self.capacity_errors.values())

    async def repeat_unanswered(self) -> None:
        """Repeat requests without a response, under their original names; raises CloudError."""
        await self._run_all([self._provision(entry) for entry in self.unanswered])

    async def provision(self, machines: list[tuple[MachineOffer, int]]) -> None:
        """Request the given number of machines of each kind; raises CloudError."""
        requests = []
        for offer, count in machines:
            for part in range(0, count, constants.MAX_PROVISION_COUNT):
                self._last_number += 1
                # The term keeps the name unique across leaders.
                name = f"r-{self._cluster.term}-{self._last_number}"
                size = min(count - part, constants.MAX_PROVISION_COUNT)
                requests.append(self._provision(PendingProvision(name, offer, size)))
        await self._run_all(requests)

    @staticmethod
    async def _run_all(requests: list[Coroutine[Any, Any, None]]) -> None:
        """Run all requests concurrently, since hundreds of machines can be needed at once. Raises
        the first error, after all requests have ended."""
        for result in await asyncio.gather(*requests, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    async def _provision(self, entry: PendingProvision) -> None:
        if not self._is_active():
            return
        try:
            names = await self._actions.provision(entry.request())
        except NoCapacityError:
            self._remove_unanswered(entry)
            self._note_capacity_error(entry.offer)
            return
        except RejectedRequestError:
            # Repeated for ever, it would hold up all other requests.
            self._remove_unanswered(entry)
            self._note_capacity_error(entry.offer)
            raise
        except CloudError as exc:
            if exc.sent and entry not in self.unanswered:
                self.unanswered.append(entry)
            raise
        self._remove_unanswered(entry)
        if len(names) < entry.count:
            self._note_capacity_error(entry.offer)
        log.info(
            "provision request %s: %d of %d %smachines of type %s in zone %s provisioned",
            entry.name,
            len(names),
            entry.count,
            "spot " if entry.offer.spot else "",
            entry.offer.type.name,
            entry.offer.zone,
        )
        self._add_machines(names, entry.offer)

    def _remove_unanswered(self, entry: PendingProvision) -> None:
        if entry in self.unanswered:
            self.unanswered.remove(entry)

    def _note_capacity_error(self, offer: MachineOffer) -> None:
        self.capacity_errors[offer.key] = self._loop.time() + constants.CAPACITY_ERROR_BACKOFF_S

    def _add_machines(self, names: list[str], offer: MachineOffer) -> None:
        now = self._loop.time()
        for name in names:
            if not self._cluster.was_deleted(name):
                machine = self._cluster.machine(
                    name, offer.type.name, offer.zone, offer.spot, MachinePhase.STARTING, now
                )
                machine.created_at = now
                machine.listed_by_cloud = True
