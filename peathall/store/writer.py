"""Writer of the leader or of a duty holder: group commit with one transaction in flight.

Mutations that arrive during a commit go into the next transaction, so batches grow with the load.
Every transaction is conditional on the versions of the guard key, of the records that it writes,
and of those that its mutations name as conditions. After a commit with unknown outcome nothing else
is written until the outcome is known (see `committer`).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.async_tasks import wait_until_set
from peathall.config.platform import StateSettings
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import Delete, Put
from peathall.store.client import StoreClient
from peathall.store.committer import (
    Abandoned,
    Applied,
    Conflicted,
    Rejected,
    TransactionCommitter,
)
from peathall.store.deferred_writes import DeferredWrites, MutationFactory
from peathall.store.errors import ConflictError, LeadershipLostError, UnattainableRateError
from peathall.store.mutation import Batch, Mutation, fail_mutations, partition_by_keys
from peathall.store.phase import WriterPhase, WriterState
from peathall.store.transaction import GuardKey, Transaction

log = logging.getLogger("peathall.store")


class Writer:
    """Queues mutations and commits them in batches, one transaction at a time.

    `lease_is_valid` tells whether a commit may be sent now; `on_leadership_lost` is called when
    another controller owns the guard key. With `fence_unknown_outcomes` the guard key is rewritten
    after every commit that had an attempt without a response, even if it was applied in the end:
    once its records are deleted, the conditions of that attempt could hold again, and it could be
    applied late.
    """

    def __init__(
        self,
        store: StoreClient,
        limits: StateSettings,
        guard: GuardKey,
        lease_is_valid: Callable[[], bool],
        on_leadership_lost: Callable[[], None],
        fence_unknown_outcomes: bool = False,
    ) -> None:
        self.store = store
        self.limits = limits
        # Bytes of a value, as counted by `json_size`. Lowered when the service rejects a smaller
        # one, so callers read it whenever they plan a write.
        self.value_limit = limits.max_value_bytes
        self.guard = guard
        self.lease_is_valid = lease_is_valid
        self.on_leadership_lost = on_leadership_lost
        self.fence_unknown_outcomes = fence_unknown_outcomes
        self.loop = asyncio.get_running_loop()
        self.queue: list[Mutation] = []
        self.next_factories: dict[str, MutationFactory] = {}  # for the next transaction, by name
        self.deferred = DeferredWrites()
        self.wake = asyncio.Event()
        self.versions: dict[str, int] = {}  # key -> version as last read or written
        self._state = WriterState()
        self._committer = TransactionCommitter(store, guard, self._state)

    @property
    def phase(self) -> WriterPhase:
        """State of the transaction in flight."""
        return self._state.phase

    @property
    def has_pending_writes(self) -> bool:
        """Whether any mutation waits for a transaction."""
        return bool(self.queue or self.next_factories or self.deferred)

    def submit(
        self, ops: list[Put | Delete], conditions: dict[str, int] | None = None
    ) -> asyncio.Future[int]:
        """Queue a mutation. The future yields the revision, or raises ConflictError,
        InvalidTransactionError or LeadershipLostError.

        Written keys that `conditions` does not name must have the version that this writer last
        saw (0: none).
        """
        mutation = Mutation(conditions or {}, ops)
        if self._state.is_stopped:
            mutation.done.set_exception(LeadershipLostError())
        else:
            self.queue.append(mutation)
            self.wake.set()
        return mutation.done

    def enqueue(self, mutations: list[Mutation]) -> None:
        """Queue mutations that the caller has created."""
        self.queue += mutations
        self.wake.set()

    def defer_to_next_transaction(self, name: str, make: MutationFactory) -> None:
        """Add the mutation that `make` returns when the next transaction is assembled, before all
        others. Entries collected until then can share one record."""
        if not self._state.is_stopped:
            self.next_factories[name] = make
            self.wake.set()

    def defer(self, name: str, make: MutationFactory, bounded: bool = False) -> None:
        """Write the mutation that `make` returns once the write rate limit has spare capacity.

        Writes deferred under the same name before that are written once, in the latest state, so
        a busy state service gets fewer of them. A `bounded` write that has waited for
        DEFERRED_MAX_WAIT_S is written in any case, at most one per transaction.
        """
        if not self._state.is_stopped and name not in self.deferred:
            self.deferred.add(name, make, bounded, self.loop.time())
            self.wake.set()

    def defer_delete(self, key: str) -> None:
        """Delete a record once the write rate limit has spare capacity."""
        self.defer(f"drop {key}", lambda: Mutation({}, [Delete(key)]))

    def stop(self) -> None:
        """Stop for good; queued mutations fail with LeadershipLostError."""
        self._state.enter(WriterPhase.STOPPED)
        self.next_factories.clear()
        self.deferred.clear()
        fail_mutations(self.queue, LeadershipLostError())
        self.queue.clear()
        self.wake.set()

    async def run(self) -> None:
        """Commit queued mutations until the writer is stopped."""
        while not self._state.is_stopped:
            if not self.has_pending_writes:
                self.wake.clear()
                await self.wake.wait()
                continue
            if not self.lease_is_valid():
                # Queued mutations stay, since the lease may still be renewed.
                await asyncio.sleep(constants.STORE_RETRY_S)
                continue
            batch = self._next_batch()
            if not batch:
                await self._wait_for_capacity()
                continue
            self._state.enter(WriterPhase.COMMITTING)
            await self._commit(batch)
            self._state.enter(WriterPhase.IDLE)

    async def _wait_for_capacity(self) -> None:
        """Wait before the next attempt, when only deferred writes are left and none may be sent."""
        self.wake.clear()
        await wait_until_set(self.wake, constants.DEFERRED_POLL_S)

    def _next_batch(self) -> list[Mutation]:
        """Take the oldest mutations that fit into one transaction without a key in common, and
        deferred writes as far as the rate limit has spare capacity."""
        batch = Batch(self.limits)
        for name in list(self.next_factories):
            mutation = self.next_factories.pop(name)()
            if mutation is not None and not batch.add(mutation):
                self.queue.insert(0, mutation)
        taken = 0
        for mutation in self.queue:
            if not batch.add(mutation):
                break
            taken += 1
        del self.queue[:taken]
        if self.deferred:
            spare_ops = self.store.spare_writes() - batch.op_count
            left_over = self.deferred.move_to(batch, spare_ops, self.loop.time())
            if left_over is not None:
                self.queue.append(left_over)
        return batch.mutations

    def _transaction(self, batch: list[Mutation]) -> Transaction:
        conditions = {self.guard.key: self.guard.version}
        ops: list[Put | Delete] = []
        for mutation in batch:
            for op in mutation.ops:
                conditions[op.key] = self.versions.get(op.key, 0)
            conditions.update(mutation.conditions)
            ops += mutation.ops
        return Transaction(batch, ops, conditions)

    async def _commit(self, batch: list[Mutation]) -> None:
        """Commit the batch and set the results of its mutations."""
        match await self._committer.commit(self._transaction(batch)):
            case Applied(revision, attempt_pending):
                self.mark_applied(batch, revision)
                if not (attempt_pending and self.fence_unknown_outcomes):
                    return
                if await self._committer.fence():
                    return
                self._abandon(batch)
            case Rejected(error):
                await self._commit_one_by_one(batch, error)
            case Conflicted(keys):
                # Only mutations that touch the changed records fail; the others are queued again.
                conflicting, others = partition_by_keys(batch, keys)
                fail_mutations(conflicting, ConflictError(keys))
                self.queue[:0] = others
            case Abandoned():
                self._abandon(batch)

    async def _commit_one_by_one(self, batch: list[Mutation], error: Exception) -> None:
        """Commit each mutation of a rejected batch on its own, so that only those fail that cause
        the rejection. Repeating the batch would block all later ones."""
        if len(batch) == 1:
            if not isinstance(error, UnattainableRateError):
                self.note_rejected(batch[0])
            fail_mutations(batch, error)
            return
        for mutation in batch:
            await self._commit([mutation])

    def note_rejected(self, mutation: Mutation) -> None:
        """The service never accepts this mutation. If a value of it may be too large, lower the
        limit of a value: the service may have lowered its limit without announcing that."""
        values = [op.value for op in mutation.ops if isinstance(op, Put)]
        largest = max(map(json_size, values), default=0)
        limit = max(constants.MIN_VALUE_LIMIT_BYTES, largest // 2)
        if largest > constants.MIN_VALUE_LIMIT_BYTES and limit < self.value_limit:
            log.error(
                "a value of %d bytes was rejected: values have at most %d bytes from now on",
                largest,
                limit,
            )
            self.value_limit = limit

    def _abandon(self, batch: list[Mutation]) -> None:
        fail_mutations(batch, LeadershipLostError())
        if not self._state.is_stopped:
            self.on_leadership_lost()

    async def resolve_outcome(self, ops: list[Put | Delete], conditions: dict[str, int]) -> int:
        """The revision at which a transaction sent by another controller was applied; 0 if it was
        not."""
        return await self._committer.resolve_outcome(ops, conditions)

    def mark_applied(self, batch: list[Mutation], revision: int) -> None:
        """Set the results of mutations stored at this revision, and record the new versions."""
        for mutation in batch:
            for op in mutation.ops:
                if isinstance(op, Put):
                    self.versions[op.key] = revision
                else:
                    self.versions.pop(op.key, None)
            if not mutation.done.done():
                mutation.done.set_result(revision)
