"""The changes that autoscaling makes at the cloud, their errors, and who carries them out."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct


class CloudError(Exception):
    """The cloud gave no usable answer; `sent` tells whether the request may be carried out."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class NoCapacityError(Exception):
    """The cloud has no machines of this type, zone and kind (spot or ordinary) at present."""


class ProvisionRequest(Struct, frozen=True):
    """A request for machines; repeating it under its name provisions nothing more.

    It is stored, and sent to the holder of a duty, under these field names.
    """

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class CloudActions(Protocol):
    """Provisions and deletes machines: the cloud's client, or the way to the duties' holders."""

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """Names of the machines provisioned; raises CloudError or NoCapacityError."""

    async def delete(self, machines: list[str], /) -> None:
        """Once this returns, the machines and everything on them are gone; raises CloudError."""


class ActionRouter:
    """Sends the changes to the duties' holders while duties are on, else directly to the cloud."""

    def __init__(self, direct: CloudActions, delegated: CloudActions | None) -> None:
        self._direct = direct
        self._current = direct if delegated is None else delegated

    def act_directly(self) -> None:
        """Duties are off from now on: the leader calls the cloud itself."""
        self._current = self._direct

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """As CloudActions.provision."""
        return await self._current.provision(request)

    async def delete(self, machines: list[str], /) -> None:
        """As CloudActions.delete."""
        await self._current.delete(machines)
