"""What is done at the cloud on the leader's decision, and who does it."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct


class CloudError(Exception):
    """The cloud gave no useful answer. `sent` tells whether the request may be carried out."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class NoCapacityError(Exception):
    """Nothing of this type, zone and kind is to be had now."""


class ProvisionRequest(Struct, frozen=True):
    """Machines to be rented; repeated under its name it rents nothing more."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class CloudActions(Protocol):
    """Rents and deletes: the cloud's client itself, or the holders of these duties."""

    async def provision(self, rental: ProvisionRequest) -> list[str]:
        """The machines rented; CloudError, or NoCapacityError."""

    async def delete(self, machines: list[str]) -> None:
        """Once this returns, the machines and everything on them are gone."""
