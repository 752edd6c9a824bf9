"""The cloud operations of autoscaling, their errors, and the routing to whoever executes them."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct


class CloudError(Exception):
    """A cloud request failed; `sent` tells whether the cloud may nevertheless execute it."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class RejectedRequestError(CloudError):
    """The cloud can't execute the request, now or later: it must not be repeated."""

    def __init__(self, why: str) -> None:
        super().__init__(why, sent=False)


class NoCapacityError(Exception):
    """The cloud has no machines of the requested type, zone and pricing (spot or on-demand) now."""


class ProvisionRequest(Struct, frozen=True):
    """A request for machines, idempotent: a repeat with the same `request` provisions nothing more.

    The field names appear in stored records and in messages to the holder of a duty.
    """

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class CloudActions(Protocol):
    """Provisions and deletes machines: the cloud client, or the delegation to duty holders."""

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """Return the names of the provisioned machines; raises CloudError or NoCapacityError."""

    async def delete(self, machines: list[str], /) -> None:
        """Return once the machines and everything on them are gone; raises CloudError."""


class ActionRouter:
    """Routes requests to the duty holders while duties are on, else directly to the cloud."""

    def __init__(self, direct: CloudActions, delegated: CloudActions | None) -> None:
        self._direct = direct
        self._current = direct if delegated is None else delegated

    def act_directly(self) -> None:
        """Send all requests directly to the cloud from now on, since duties are off."""
        self._current = self._direct

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """As CloudActions.provision."""
        return await self._current.provision(request)

    async def delete(self, machines: list[str], /) -> None:
        """As CloudActions.delete."""
        await self._current.delete(machines)
