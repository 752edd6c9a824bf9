"""The leader's one writer: group commit, one transaction in flight.

What arrives while a commit is under way goes into the next one, so batches widen
with the load. Every transaction is conditional on `lead`'s version and on the
versions of the records it touches. After a commit without an answer nothing else
is written until its fate is known: a read tells whether it was carried out, and if
not, it is repeated unchanged. If it has to be given up, since a condition of it does
not hold any more, `lead` is written anew first: the try without an answer may still
be carried out minutes later, when its conditions may hold again, and no one would
know of what it wrote.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import Delete, Put, operation_to_wire
from peathall.store.client import StoreClient
from peathall.store.errors import (
    ConflictError,
    InvalidTransactionError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RateLimitError,
    StoreError,
)
from peathall.store.errors import LeadershipLostError as LeadershipLostError

log = logging.getLogger("peathall.store")


class Mutation:
    """Puts and drops that are written together, and what happens afterwards."""

    __slots__ = ("conditions", "done", "ops", "size")

    def __init__(self, conditions: dict[str, int], ops: list[Put | Delete]) -> None:
        self.conditions = conditions
        self.ops = ops
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Whoever does not wait for the result must not cause a warning.
        self.done.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.size = sum(json_size(operation_to_wire(op)) for op in ops)

    def then(self, action: Callable[[], None]) -> Mutation:
        """`action` runs once the change is stored, and only then."""
        self.done.add_done_callback(lambda f: None if f.cancelled() or f.exception() else action())
        return self


class DeferredWriter(Protocol):
    """Takes changes that may wait: the leader's writer, or the holder of a duty."""

    def defer(self, name: str, make: Callable[[], Mutation | None], bounded: bool = False) -> None:
        """`make` is asked for its change once there is room for it."""

    def defer_delete(self, key: str) -> None:
        """Delete a record."""


class GuardKey:
    """The record that shows that we lead; every transaction depends on its version."""

    __slots__ = ("key", "lease", "value", "version")

    def __init__(self, key: str, value: Any, version: int, lease: int | None) -> None:
        self.key = key
        self.value = value
        self.version = version
        self.lease = lease


class Batch:
    """Changes that fit into one transaction: its limits, and no key touched twice."""

    def __init__(self, limits: StateSettings) -> None:
        self.most_ops = limits.changes_at_once
        self.most_checks = constants.TXN_CONDITIONS * limits.txn_ops
        self.changes: list[Mutation] = []
        self.ops = 0
        self._size = 0
        self._checks = 0
        self._keys: set[str] = set()

    def add(self, change: Mutation) -> bool:
        """Take the change if it fits; the first one always does."""
        touched = {op.key for op in change.ops} | set(change.conditions)
        if self.changes and not self._fits(change, touched):
            return False
        self.changes.append(change)
        self.ops += len(change.ops)
        self._size += change.size
        self._checks += len(touched)
        self._keys |= touched
        return True

    def _fits(self, change: Mutation, touched: set[str]) -> bool:
        return (
            self.ops + len(change.ops) <= self.most_ops
            and self._size + change.size <= constants.TXN_BYTES
            and self._checks + len(touched) < self.most_checks
            and not touched & self._keys
        )


@dataclass(slots=True)
class Transaction:
    """A batch on its way to the store."""

    batch: list[Mutation]
    ops: list[Put | Delete]
    conditions: dict[str, int]  # key -> version
    outcome_unknown: bool = (
        False  # a try got no answer: it may have been, or may yet be, carried out
    )
    refused: bool = False
    rate_refusals: int = 0

    def note_refusal(self, error: Exception) -> None:
        """It is repeated, which is logged once."""
        if not self.refused:
            log.info("commit refused, repeating it: %s", error)
        self.refused = True

    @property
    def too_many_changes(self) -> bool:
        """Whether it has been refused for its rate for so long that it can only be its size."""
        divisible = len(self.batch) > 1 or len(self.ops) > constants.MIN_TRANSACTION_OPS
        return divisible and self.rate_refusals >= constants.RATE_REFUSALS


class WriterPhase(Enum):
    """What the one transaction in flight is doing."""

    IDLE = auto()
    COMMITTING = auto()
    OUTCOME_UNKNOWN = auto()  # no answer to a commit: repeat it, write nothing else
    STOPPED = auto()


class Writer:
    """All of a leader's writes, one transaction at a time."""

    def __init__(
        self,
        store: StoreClient,
        limits: StateSettings,
        guard: GuardKey,
        lease_is_valid: Callable[[], bool],
        on_leadership_lost: Callable[[], None],
        fence_unknown_outcomes: bool = False,
    ) -> None:
        self.fence_unknown_outcomes = fence_unknown_outcomes  # see _commit()
        self.store = store
        self.limits = limits
        self.value_limit = int(limits.value_kb * 1024 * constants.VALUE_FILL)  # bytes of a value
        self.guard = guard
        self.lease_is_valid = lease_is_valid
        self.on_leadership_lost = on_leadership_lost
        self.loop = asyncio.get_running_loop()
        self.phase = WriterPhase.IDLE
        self.queue: list[Mutation] = []
        self.first: dict[str, Callable[[], Mutation | None]] = {}  # see ask_first()
        self.spare: dict[str, Callable[[], Mutation | None]] = {}  # see offer()
        self.bounded: dict[str, float] = {}  # those that may not wait for long, and since when
        self.wake = asyncio.Event()
        self.versions: dict[str, int] = {}

    def _enter(self, phase: WriterPhase) -> None:
        if self.phase is not WriterPhase.STOPPED:
            self.phase = phase

    def submit(
        self, ops: list[Put | Delete], conditions: dict[str, int] | None = None
    ) -> asyncio.Future[int]:
        """Queue a change; its future gives the revision, or ConflictError or LeadershipLostError.

        Keys without a condition of their own are conditional on the version that
        this writer knows of them (0: never written).
        """
        change = Mutation(conditions or {}, ops)
        if self.phase is WriterPhase.STOPPED:
            change.done.set_exception(LeadershipLostError())
        else:
            self.queue.append(change)
            self.wake.set()
        return change.done

    def enqueue(self, changes: list[Mutation]) -> None:
        """Write changes that were made for somebody else."""
        self.queue += changes
        self.wake.set()

    def defer_to_next(self, name: str, make: Callable[[], Mutation | None]) -> None:
        """`make` is asked for its change when the next transaction is made up, before all
        others: what it gathers until then shares one record."""
        if self.phase is not WriterPhase.STOPPED:
            self.first[name] = make
            self.wake.set()

    def defer(self, name: str, make: Callable[[], Mutation | None], bounded: bool = False) -> None:
        """What may wait: `make` is asked for its change once there is budget to spare.

        Offered again under its name before that, it is still written once, in its latest
        state: the busier the store, the fewer such writes. What `must` be written in time
        goes out after some seconds, one with each transaction, budget or not.
        """
        if self.phase is not WriterPhase.STOPPED and name not in self.spare:
            self.spare[name] = make
            if bounded:
                self.bounded[name] = self.loop.time()
            self.wake.set()

    def defer_delete(self, key: str) -> None:
        """Delete a record once there is budget to spare."""
        self.defer(f"drop {key}", lambda: Mutation({}, [Delete(key)]))

    def stop(self) -> None:
        """The term is over: what still waits fails."""
        self._enter(WriterPhase.STOPPED)
        self.first.clear()
        self.spare.clear()
        for change in self.queue:
            if not change.done.done():
                change.done.set_exception(LeadershipLostError())
        self.queue.clear()
        self.wake.set()

    def _due(self) -> str | None:
        """What has waited for budget to spare for as long as it may."""
        name, since = next(iter(self.bounded.items()), ("", self.loop.time()))
        return name if self.loop.time() - since > constants.DEFERRED_MAX_WAIT_S else None

    def _take(self) -> list[Mutation]:
        """The oldest changes that fit into one transaction and touch no key twice."""
        batch = Batch(self.limits)
        self._take_first(batch)
        taken = 0
        for change in self.queue:
            if not batch.add(change):
                break
            taken += 1
        del self.queue[:taken]
        if self.spare:
            self._take_spare(batch)
        return batch.changes

    def _take_first(self, batch: Batch) -> None:
        for name in list(self.first):
            gathered = self.first.pop(name)()
            if gathered is not None and not batch.add(gathered):
                self.queue.insert(0, gathered)

    def _take_spare(self, batch: Batch) -> None:
        """What may wait, as far as there is budget to spare; or the one that is due."""
        left = self.store.spare_writes() - batch.ops
        due = self._due() if left < 1 else None
        for name in list(self.spare) if due is None else [due]:
            if batch.ops >= batch.most_ops or (left < 1 and due is None):
                return
            self.bounded.pop(name, None)
            offered = self.spare.pop(name)()
            if offered is None:
                continue
            left -= len(offered.ops)
            if not batch.add(offered):
                self.queue.append(offered)  # it was made, so it must be written
                return

    async def run(self) -> None:
        """Write what is queued, until stopped."""
        while self.phase is not WriterPhase.STOPPED:
            if not (self.queue or self.first or self.spare):
                self.wake.clear()
                await self.wake.wait()
                continue
            if not self.lease_is_valid():
                # Stand still, do not forget: the lease may come back to life.
                await asyncio.sleep(constants.STORE_RETRY_S)
                continue
            batch = self._take()
            if not batch:
                await self._rest()
                continue
            self._enter(WriterPhase.COMMITTING)
            await self._commit(batch)
            self._enter(WriterPhase.IDLE)

    async def _rest(self) -> None:
        """Only such writes wait as may, and there is no budget to spare."""
        self.wake.clear()
        try:
            await asyncio.wait_for(self.wake.wait(), constants.DEFERRED_POLL_S)
        except TimeoutError:
            pass

    async def _commit(self, batch: list[Mutation]) -> None:
        """Until its fate is known, or the lead is another's."""
        transaction = self._transaction(batch)
        while self.phase is not WriterPhase.STOPPED:
            try:
                if await self._complete(transaction, await self._try(transaction)):
                    return
                break
            except OutcomeUnknownError as exc:
                log.info("no answer to a commit, or to whether it was carried out: %s", exc)
                transaction.outcome_unknown = True
                self._enter(WriterPhase.OUTCOME_UNKNOWN)
                await asyncio.sleep(constants.STORE_RETRY_S)
            except InvalidTransactionError as exc:
                if await self._give_up_invalid(transaction, exc):
                    return
                break
            except (StoreError, LeaseExpiredError) as exc:
                transaction.note_refusal(exc)
                await asyncio.sleep(constants.STORE_RETRY_S)
            except ConflictError as exc:
                if await self._resolve_conflict(transaction, exc):
                    return
                break
        lost = self.phase is not WriterPhase.STOPPED
        self.fail(batch, LeadershipLostError())
        if lost:
            self.on_leadership_lost()

    async def _complete(self, transaction: Transaction, revision: int) -> bool:
        """It is carried out. False if the lead is lost."""
        self.mark_applied(transaction.batch, revision)
        # What it wrote may be dropped before an earlier try of it is carried out late, whose
        # conditions would then hold once more.
        return (
            not (transaction.outcome_unknown and self.fence_unknown_outcomes) or await self._fence()
        )

    def _transaction(self, batch: list[Mutation]) -> Transaction:
        conditions = {self.guard.key: self.guard.version}
        ops: list[Put | Delete] = []
        for change in batch:
            for op in change.ops:
                conditions[op.key] = self.versions.get(op.key, 0)
            conditions.update(change.conditions)
            ops += change.ops
        return Transaction(batch, ops, conditions)

    async def _try(self, transaction: Transaction) -> int:
        """The revision at which it is carried out, by now or by an earlier try."""
        ops, conditions = transaction.ops, transaction.conditions
        revision = await self._tried(ops, conditions) if transaction.outcome_unknown else 0
        try:
            return revision or await self.store.commit(conditions, ops)
        except RateLimitError as exc:
            transaction.rate_refusals += 1
            if transaction.too_many_changes:
                raise InvalidTransactionError(
                    f"more changes than its rate allows at all: {exc}"
                ) from None
            raise

    async def _give_up_invalid(
        self, transaction: Transaction, error: InvalidTransactionError
    ) -> bool:
        """Larger than is allowed, or more at once: repeating it would hold up all others for
        ever. Whichever change it is, the others go on without it. False if the lead is lost."""
        log.error("the state service does not take a commit: %s", error)
        if transaction.outcome_unknown and not await self._fence():
            return False
        batch = transaction.batch
        if len(batch) == 1:
            self.fail(batch, error)
            return True
        for change in batch:
            await self._commit([change])
        return True

    async def _resolve_conflict(self, transaction: Transaction, error: ConflictError) -> bool:
        """A condition does not hold. False if the lead is lost."""
        if self.guard.key in error.failed:
            return False
        if transaction.outcome_unknown:
            # Our own earlier try may be what changed the records: look once more, now that a
            # further one has been refused for good.
            mark_applied = await self.resolve_outcome(transaction.ops, transaction.conditions)
            if mark_applied:
                self.mark_applied(transaction.batch, mark_applied)
                return True
            if not await self._fence():
                return False
        await self._split(transaction.batch, error.failed)
        return True

    async def _tried(self, ops: list[Put | Delete], conditions: dict[str, int]) -> int:
        """After a doubt: the revision at which our own earlier try went through, 0 if none did.

        All that a transaction writes has one revision, newer than whatever it depended on.
        Looking at a single record is not enough: another controller may have created the very
        same one, which says nothing of what was to be written beside it. Nobody else drops
        anything, but others may have created anew what it dropped.
        """
        before = max(conditions.values())
        written = set()
        for op in ops:
            item = await self.store.get(op.key, prioritized=True)
            if isinstance(op, Put):
                if item is None or item.version <= before or item.value != op.value:
                    return 0
                written.add(item.version)
            elif item is not None and item.version <= before:
                return 0
        if len(written) > 1:
            return 0
        return written.pop() if written else before + 1

    async def resolve_outcome(self, ops: list[Put | Delete], conditions: dict[str, int]) -> int:
        """The revision at which a doubtful transaction went through; 0 if it did not."""
        while self.phase is not WriterPhase.STOPPED:
            try:
                return await self._tried(ops, conditions)
            except StoreError:
                await asyncio.sleep(constants.STORE_RETRY_S)
        return 0

    async def _fence(self) -> bool:
        """Write `lead` anew, so that no earlier try of ours can be carried out any more."""
        guard = self.guard
        while self.phase is not WriterPhase.STOPPED:
            try:
                item = await self.store.get(guard.key, prioritized=True)
                # A version that we don't know is our own doubtful try, or another's lead.
                if item is None or item.value != guard.value:
                    return False
                renewed = Put(guard.key, guard.value, guard.lease)
                guard.version = await self.store.commit({guard.key: item.version}, [renewed])
                log.info("wrote %s anew, since a commit without an answer was given up", guard.key)
                return True
            except LeaseExpiredError:
                return False
            except (StoreError, ConflictError):
                await asyncio.sleep(constants.STORE_RETRY_S)
        return False

    async def _split(self, batch: list[Mutation], failed: list[str]) -> None:
        """A record is not what we thought: fail its change, write the others."""
        bad, rest = self.partition(batch, failed)
        self.fail(bad, ConflictError(failed))
        self.queue[:0] = rest

    @staticmethod
    def partition(
        batch: list[Mutation], failed: list[str]
    ) -> tuple[list[Mutation], list[Mutation]]:
        """Those that depend on one of the keys, and the others."""
        bad: list[Mutation] = []
        rest: list[Mutation] = []
        for change in batch:
            touched = {op.key for op in change.ops} | set(change.conditions)
            (bad if touched & set(failed) else rest).append(change)
        return bad, rest

    def mark_applied(self, batch: list[Mutation], revision: int) -> None:
        """The changes are stored, at this revision."""
        for change in batch:
            for op in change.ops:
                if isinstance(op, Put):
                    self.versions[op.key] = revision
                else:
                    self.versions.pop(op.key, None)
            if not change.done.done():
                change.done.set_result(revision)

    @staticmethod
    def fail(batch: list[Mutation], error: Exception) -> None:
        """The changes have failed."""
        for change in batch:
            if not change.done.done():
                change.done.set_exception(error)
