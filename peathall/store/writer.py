"""The writer of a leader or of a duty's holder: group commit, one transaction in flight.

Mutations that arrive while a commit is under way go into the next transaction, so batches grow
with the load. Every transaction is conditional on the version of the guard key and on those of
the records that it touches. After a commit with unknown outcome nothing else is written until
the outcome is known (see `committer`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.protocol.state_service import Delete, Put
from peathall.store.client import StoreClient
from peathall.store.committer import (
    Abandoned,
    Applied,
    Conflicted,
    Rejected,
    TransactionCommitter,
)
from peathall.store.deferred_writes import DeferredWrites, MutationMaker
from peathall.store.errors import ConflictError, LeadershipLostError
from peathall.store.mutation import Batch, Mutation, fail_mutations, partition_by_keys
from peathall.store.phase import WriterPhase, WriterState
from peathall.store.transaction import GuardKey, Transaction


class Writer:
    """Queues mutations and commits them in batches, one transaction at a time.

    `lease_is_valid` tells whether a commit may be sent now; `on_leadership_lost` is called when
    the guard key is found to be another controller's. With `fence_unknown_outcomes` the guard
    key is rewritten after every commit whose outcome was unknown for some time, even if it was
    carried out in the end: what it wrote may be deleted before an earlier attempt of it is
    carried out late, whose conditions would then hold once more.
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
        self.value_limit = int(limits.value_kb * 1024 * constants.VALUE_FILL)  # bytes of a value
        self.guard = guard
        self.lease_is_valid = lease_is_valid
        self.on_leadership_lost = on_leadership_lost
        self.fence_unknown_outcomes = fence_unknown_outcomes
        self.loop = asyncio.get_running_loop()
        self.queue: list[Mutation] = []
        self.next_makers: dict[str, MutationMaker] = {}  # see defer_to_next()
        self.deferred = DeferredWrites()
        self.wake = asyncio.Event()
        self.versions: dict[str, int] = {}  # of the records as last read or written
        self._state = WriterState()
        self._committer = TransactionCommitter(store, guard, self._state)

    @property
    def phase(self) -> WriterPhase:
        """What the transaction in flight is doing."""
        return self._state.phase

    @property
    def has_pending_writes(self) -> bool:
        """Whether anything waits for a transaction."""
        return bool(self.queue or self.next_makers or self.deferred)

    def submit(
        self, ops: list[Put | Delete], conditions: dict[str, int] | None = None
    ) -> asyncio.Future[int]:
        """Queue a mutation. Its future gives the revision, or ConflictError,
        InvalidTransactionError or LeadershipLostError.

        Keys without a condition of their own are conditional on the version that this writer
        knows of them (0: never written).
        """
        mutation = Mutation(conditions or {}, ops)
        if self._state.is_stopped:
            mutation.done.set_exception(LeadershipLostError())
        else:
            self.queue.append(mutation)
            self.wake.set()
        return mutation.done

    def enqueue(self, mutations: list[Mutation]) -> None:
        """Queue mutations that were made elsewhere."""
        self.queue += mutations
        self.wake.set()

    def defer_to_next(self, name: str, make: MutationMaker) -> None:
        """Call `make` for its mutation when the next transaction is put together, before all
        others: what it collects until then can share one record."""
        if not self._state.is_stopped:
            self.next_makers[name] = make
            self.wake.set()

    def defer(self, name: str, make: MutationMaker, bounded: bool = False) -> None:
        """Call `make` for its mutation once the rate limit has capacity to spare.

        Deferred again under the same name before that, it is still written once, in its latest
        state: the busier the state service, the fewer such writes. A `bounded` write that has
        waited for DEFERRED_MAX_WAIT_S is written anyway, one with each transaction.
        """
        if not self._state.is_stopped and name not in self.deferred:
            self.deferred.add(name, make, bounded, self.loop.time())
            self.wake.set()

    def defer_delete(self, key: str) -> None:
        """Delete a record once the rate limit has capacity to spare."""
        self.defer(f"drop {key}", lambda: Mutation({}, [Delete(key)]))

    def stop(self) -> None:
        """End the writer for good: what is queued fails with LeadershipLostError."""
        self._state.enter(WriterPhase.STOPPED)
        self.next_makers.clear()
        self.deferred.clear()
        fail_mutations(self.queue, LeadershipLostError())
        self.queue.clear()
        self.wake.set()

    async def run(self) -> None:
        """Write what is queued, until stopped."""
        while not self._state.is_stopped:
            if not self.has_pending_writes:
                self.wake.clear()
                await self.wake.wait()
                continue
            if not self.lease_is_valid():
                # The lease may yet be renewed, so what is queued stays.
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
        """Only deferred writes are left, and the rate limit has no capacity to spare."""
        self.wake.clear()
        try:
            await asyncio.wait_for(self.wake.wait(), constants.DEFERRED_POLL_S)
        except TimeoutError:
            pass

    def _next_batch(self) -> list[Mutation]:
        """The oldest mutations that fit into one transaction and touch no key twice, and deferred
        writes if there is capacity for them."""
        batch = Batch(self.limits)
        for name in list(self.next_makers):
            mutation = self.next_makers.pop(name)()
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
        """Commit the batch, and settle its mutations."""
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
                # A record is not as this writer knew it: only what depends on it fails.
                conflicting, others = partition_by_keys(batch, keys)
                fail_mutations(conflicting, ConflictError(keys))
                self.queue[:0] = others
            case Abandoned():
                self._abandon(batch)

    async def _commit_one_by_one(self, batch: list[Mutation], error: Exception) -> None:
        """After a rejection: repeating the batch would block all later ones. Whichever
        mutation is the cause, the others are committed without it."""
        if len(batch) == 1:
            fail_mutations(batch, error)
            return
        for mutation in batch:
            await self._commit([mutation])

    def _abandon(self, batch: list[Mutation]) -> None:
        fail_mutations(batch, LeadershipLostError())
        if not self._state.is_stopped:
            self.on_leadership_lost()

    async def resolve_outcome(self, ops: list[Put | Delete], conditions: dict[str, int]) -> int:
        """The revision at which a transaction that another controller sent was carried out; 0 if
        it was not."""
        return await self._committer.resolve_outcome(ops, conditions)

    def mark_applied(self, batch: list[Mutation], revision: int) -> None:
        """Settle mutations that were stored at this revision, and note the versions."""
        for mutation in batch:
            for op in mutation.ops:
                if isinstance(op, Put):
                    self.versions[op.key] = revision
                else:
                    self.versions.pop(op.key, None)
            if not mutation.done.done():
                mutation.done.set_result(revision)
