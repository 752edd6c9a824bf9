"""A transaction on its way to the state service, and the key that guards it."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.protocol.state_service import Delete, Put
from peathall.store.mutation import Mutation


class GuardKey:
    """The record that proves the right to write: the leader key, or that of a duty's holder.

    Every transaction is conditional on its version, which changes when the record is rewritten.
    """

    __slots__ = ("key", "lease", "value", "version")

    def __init__(self, key: str, value: Any, version: int, lease: int | None) -> None:
        self.key = key
        self.value = value
        self.version = version
        self.lease = lease


class Transaction(Struct):
    """The mutations of a batch as one transaction, and how its attempts went."""

    batch: list[Mutation]
    ops: list[Put | Delete]
    conditions: dict[str, int]  # key -> version; 0: no such record
    outcome_unknown: bool = False  # an attempt without a response may have been, or may yet be,
    # carried out
    refused: bool = False
    rate_refusals: int = 0

    @property
    def exceeds_rate(self) -> bool:
        """Whether it was refused for its rate so often that it must have more changes than the
        rate allows at all, and can be divided."""
        divisible = len(self.batch) > 1 or len(self.ops) > constants.MIN_TRANSACTION_OPS
        return divisible and self.rate_refusals >= constants.RATE_REFUSALS
