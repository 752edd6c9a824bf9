"""Commits a transaction, and resolves its outcome when the response is lost.

After an attempt without a response, the written records are read to find out whether it was
applied; if not, the transaction is repeated unchanged. If the transaction must be abandoned
because one of its conditions no longer holds, the guard key is rewritten first: otherwise the
attempt might be applied minutes later, when its conditions hold again, and its writes would go
unnoticed.
"""

from __future__ import annotations

import asyncio
import logging

from msgspec import Struct

from peathall import constants
from peathall.protocol.state_service import Delete, Put
from peathall.store.client import StoreClient
from peathall.store.errors import (
    ConflictError,
    InvalidTransactionError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RateLimitError,
    StoreError,
    UnattainableRateError,
)
from peathall.store.phase import WriterPhase, WriterState
from peathall.store.transaction import GuardKey, Transaction

log = logging.getLogger("peathall.store")


class Applied(Struct):
    """The transaction was applied at this revision."""

    revision: int
    attempt_pending: bool = False  # an earlier attempt got no response and may still be applied


class Rejected(Struct):
    """The service can never apply the transaction. No attempt is pending."""

    error: InvalidTransactionError


class Conflicted(Struct):
    """The conditions on these keys do not hold. No attempt is pending."""

    keys: list[str]


class Abandoned(Struct):
    """Leadership was lost, or the writer was stopped."""


CommitResult = Applied | Rejected | Conflicted | Abandoned


class TransactionCommitter:
    """Repeats a transaction until its outcome is known, and fences off unresolved attempts."""

    def __init__(self, store: StoreClient, guard: GuardKey, state: WriterState) -> None:
        self.store = store
        self.guard = guard
        self.state = state

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Repeat the transaction until its outcome is known, or leadership is lost."""
        while not self.state.is_stopped:
            try:
                revision = await self._attempt(transaction)
                return Applied(revision, transaction.outcome_unknown)
            except OutcomeUnknownError as exc:
                self._note_unknown_outcome(transaction, exc)
            except InvalidTransactionError as exc:
                log.error(
                    "commit of %d operations rejected as invalid: %s",
                    len(transaction.ops),
                    exc,
                )
                if transaction.outcome_unknown and not await self.fence():
                    return Abandoned()
                return Rejected(exc)
            except (StoreError, LeaseExpiredError) as exc:
                self._note_refusal(transaction, exc)
            except ConflictError as exc:
                return await self._resolve_conflict(transaction, exc)
            await asyncio.sleep(constants.STORE_RETRY_S)
        return Abandoned()

    async def _attempt(self, transaction: Transaction) -> int:
        """Commit once, unless an earlier attempt was applied; returns the revision."""
        ops, conditions = transaction.ops, transaction.conditions
        if transaction.outcome_unknown:
            revision = await self._find_applied(ops, conditions)
            if revision:
                return revision
        try:
            return await self.store.commit(conditions, ops)
        except RateLimitError as exc:
            transaction.rate_refusals += 1
            if transaction.exceeds_rate:
                raise UnattainableRateError(
                    f"more changes than its rate allows at all: {exc}"
                ) from None
            raise

    def _note_unknown_outcome(self, transaction: Transaction, error: OutcomeUnknownError) -> None:
        log.info(
            "outcome of a commit of %d operations unknown, reading its records: %s",
            len(transaction.ops),
            error,
        )
        transaction.outcome_unknown = True
        self.state.enter(WriterPhase.OUTCOME_UNKNOWN)

    @staticmethod
    def _note_refusal(transaction: Transaction, error: Exception) -> None:
        """Log the first refusal of the transaction."""
        if not transaction.refused:
            log.info(
                "commit of %d operations refused, repeating it: %s", len(transaction.ops), error
            )
        transaction.refused = True

    async def _resolve_conflict(
        self, transaction: Transaction, error: ConflictError
    ) -> CommitResult:
        if self.guard.key in error.failed:
            return Abandoned()
        if transaction.outcome_unknown:
            # The conflict may come from an earlier attempt of this transaction. Reading the records
            # is conclusive only now, after a later attempt got a conflict.
            revision = await self.resolve_outcome(transaction.ops, transaction.conditions)
            if revision:
                return Applied(revision)
            if not await self.fence():
                return Abandoned()
        return Conflicted(error.failed)

    async def _find_applied(self, ops: list[Put | Delete], conditions: dict[str, int]) -> int:
        """The revision at which an earlier attempt was applied; 0 if none was.

        All records that a transaction writes get the same revision, which is higher than those in
        its conditions. A single record proves nothing: another controller may have created an
        equal one. Other controllers do not delete these records, but may have created again those
        that the transaction deleted.
        """
        newest_condition = max(conditions.values())
        revisions = set()
        for op in ops:
            item = await self.store.get(op.key, prioritized=True)
            if isinstance(op, Put):
                if item is None or item.version <= newest_condition or item.value != op.value:
                    return 0
                revisions.add(item.version)
            elif item is not None and item.version <= newest_condition:
                return 0
        if len(revisions) > 1:
            return 0
        return revisions.pop() if revisions else newest_condition + 1

    async def resolve_outcome(self, ops: list[Put | Delete], conditions: dict[str, int]) -> int:
        """The revision at which a transaction with unknown outcome was applied; 0 if it was not,
        or if the writer was stopped. Repeats the reads until the state service responds."""
        while not self.state.is_stopped:
            try:
                return await self._find_applied(ops, conditions)
            except StoreError:
                await asyncio.sleep(constants.STORE_RETRY_S)
        return 0

    async def fence(self) -> bool:
        """Rewrite the guard key, so that no earlier attempt can be applied any more.

        False if leadership was lost or the writer was stopped.
        """
        guard = self.guard
        while not self.state.is_stopped:
            try:
                item = await self.store.get(guard.key, prioritized=True)
                # The same value with an unexpected version comes from an earlier rewrite whose
                # response was lost. Another value means that another controller owns the key.
                if item is None or item.value != guard.value:
                    return False
                rewritten = Put(guard.key, guard.value, guard.lease)
                guard.version = await self.store.commit({guard.key: item.version}, [rewritten])
                log.info(
                    "rewrote guard key %s, so that an earlier commit with unknown outcome cannot "
                    "be applied late",
                    guard.key,
                )
                return True
            except LeaseExpiredError:
                return False
            except (StoreError, ConflictError):
                await asyncio.sleep(constants.STORE_RETRY_S)
        return False
