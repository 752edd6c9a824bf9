"""A transaction being committed, and the guard key that every transaction is conditional on."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.protocol.state_service import Delete, Put
from peathall.store.mutation import Mutation


class GuardKey:
    """The record that proves the right to write: the leader record, or that of a duty's holder.

    Every transaction is conditional on its version, so rewriting the record fences off earlier
    transactions.
    """

    __slots__ = ("key", "lease", "value", "version")

    def __init__(self, key: str, value: Any, version: int, lease: int | None) -> None:
        self.key = key
        self.value = value
        self.version = version
        self.lease = lease


class Transaction(Struct):
    """The mutations of a batch as one transaction, and the state of the attempts to commit it."""

    batch: list[Mutation]
    ops: list[Put | Delete]
    conditions: dict[str, int]  # key -> version; 0: no such record
    # An attempt got no response: it may have been applied, or may still be.
    outcome_unknown: bool = False
    refused: bool = False  # an attempt was refused, and that is logged
    rate_refusals: int = 0  # attempts that exceeded the rate limit

    @property
    def exceeds_rate(self) -> bool:
        """Whether it can be divided, and exceeded the rate limit so often that it must have more
        operations than a full burst."""
        divisible = len(self.batch) > 1 or len(self.ops) > constants.MIN_TRANSACTION_OPS
        return divisible and self.rate_refusals >= constants.MAX_RATE_REFUSALS
