"""How the leader delegates duties that only write to the state service: compaction and cleanup.

Writes that the leader would defer until its rate limit has spare capacity go to the holder of the
duty instead. The holder's commit is conditional on the holder's record, on the leader key, and on
every record that it changes. The commit is the whole action, so it needs no intent.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.duties.holder_client import HolderClient
from peathall.duties.model import (
    ActionRequest,
    ActionResult,
    Duty,
    Outcome,
    StoredValue,
    StoreTransaction,
)
from peathall.leadership.records import LEADER_KEY
from peathall.protocol.state_service import Delete, Put
from peathall.store.errors import ConflictError, InvalidTransactionError
from peathall.store.mutation import Batch, Mutation, fail_mutations, partition_by_keys
from peathall.store.writer import Writer

log = logging.getLogger("peathall.duties")


class DelegatedWrites:
    """Deferred writes of one duty, sent to its holder one batch at a time."""

    def __init__(
        self,
        duty: Duty,
        term: int,
        writer: Writer,
        may_act: Callable[[], bool],
        holder_client: HolderClient,
    ) -> None:
        """`may_act`: whether the leader's lease is still valid by its own clock."""
        self.duty = duty
        self.term = term
        self.writer = writer
        self.may_act = may_act
        self.holder_client = holder_client
        self.direct = False  # whether the leader commits these writes itself, since duties are off
        self._deferred: dict[str, Callable[[], Mutation | None]] = {}
        self._carried_over: list[Mutation] = []  # created already, to be sent in the next batch
        self._wake = asyncio.Event()
        self._request_count = 0

    def defer(self, name: str, make: Callable[[], Mutation | None], bounded: bool = False) -> None:
        """Like the writer's `defer`: a write deferred twice under the same name is written once."""
        if self.direct:
            self.writer.defer(name, make, bounded)
            return
        self._deferred.setdefault(name, make)
        self._wake.set()

    def defer_delete(self, key: str) -> None:
        """Delete a record when there is spare capacity."""
        self.defer(f"drop {key}", lambda: Mutation({}, [Delete(key)]))

    async def run(self) -> None:
        """Send deferred writes to the holder, until cancelled at the end of the term."""
        while True:
            if not (self._deferred or self._carried_over):
                self._wake.clear()
                await self._wake.wait()
            batch = self._next_batch()
            if batch:
                await self._commit(batch)

    def act_directly(self) -> None:
        """Duties are off: pass the deferred writes to the leader's own writer."""
        self.direct = True
        for name, make in self._deferred.items():
            self.writer.defer(name, make)
        self._deferred.clear()

    def _next_batch(self) -> list[Mutation]:
        batch = Batch(self.writer.limits)
        self._carried_over = [
            mutation for mutation in self._carried_over if not batch.add(mutation)
        ]
        for name in list(self._deferred):
            if self._carried_over or batch.is_full:
                break
            mutation = self._deferred.pop(name)()
            if mutation is not None and not batch.add(mutation):
                self._carried_over.append(mutation)
        return batch.mutations

    def _build_request(self, batch: list[Mutation]) -> ActionRequest:
        self._request_count += 1
        conditions: dict[str, int] = {}
        puts: list[StoredValue] = []
        deletes: list[str] = []
        for mutation in batch:
            for op in mutation.ops:
                conditions[op.key] = self.writer.versions.get(op.key, 0)
                if isinstance(op, Put):
                    puts.append(StoredValue(op.key, op.value))
                else:
                    deletes.append(op.key)
            conditions.update(mutation.conditions)
        name = f"w-{self.term}-{self._request_count}"
        transaction = StoreTransaction(name, conditions, puts, deletes)
        return ActionRequest(self.duty, 0, self.term, self.writer.guard.version, write=transaction)

    async def _commit(self, batch: list[Mutation]) -> None:
        """Send a batch to the holder, and repeat the request until its outcome is known: a request
        without a response may have been committed."""
        request, outcome_unknown = self._build_request(batch), False
        while True:
            if self.direct:
                if not (outcome_unknown and await self._was_applied(batch, request)):
                    self.writer.enqueue(batch)
                return
            result = await self._request_commit(request)
            if result.outcome is Outcome.DONE:
                self.holder_client.wait_reasons.clear(self.duty)
                self.writer.mark_applied(batch, result.revision)
                return
            outcome_unknown = outcome_unknown or result.outcome is Outcome.PENDING
            if result.outcome in (Outcome.CONFLICT, Outcome.INVALID):
                if outcome_unknown and await self._was_applied(batch, request):
                    return
                if result.outcome is Outcome.INVALID:
                    await self._fail_invalid(batch, result)
                    return
                if LEADER_KEY not in result.failed:
                    self._split(batch, result.failed)
                    return
                # This leader rewrote the leader key to fence off an earlier transaction, or another
                # controller leads and this term is about to end.
                request = self._build_request(batch)
            self.holder_client.wait_reasons.note(self.duty, result.why)
            await asyncio.sleep(constants.STORE_RETRY_S if outcome_unknown else constants.TICK_S)

    async def _request_commit(self, request: ActionRequest) -> ActionResult:
        holder = self.holder_client.current(self.duty)
        if holder is None:
            return ActionResult(Outcome.REFUSED, why="nobody holds the duty")
        if not self.may_act():
            return ActionResult(Outcome.REFUSED, why="our lease on the lead is not sure")
        return await self.holder_client.send_request(holder, request.addressed_to(holder))

    async def _was_applied(self, batch: list[Mutation], request: ActionRequest) -> bool:
        """Whether a request of unknown outcome was committed; if so, mark the batch as applied."""
        assert request.write is not None
        ops = [op for mutation in batch for op in mutation.ops]
        conditions = request.write.conditions | {LEADER_KEY: request.leader_version}
        revision = await self.writer.resolve_outcome(ops, conditions)
        if revision:
            self.writer.mark_applied(batch, revision)
        return revision > 0

    async def _fail_invalid(self, batch: list[Mutation], result: ActionResult) -> None:
        log.error(
            "duty %s: the state service rejected a transaction as invalid: %s",
            self.duty.value,
            result.why,
        )
        if len(batch) == 1:
            self.writer.note_rejected(batch[0])
            fail_mutations(batch, InvalidTransactionError(result.why))
            return
        for mutation in batch:
            await self._commit([mutation])

    def _split(self, batch: list[Mutation], failed: list[str]) -> None:
        """Fail the mutations that touch a key whose condition failed, and send the others again."""
        bad, rest = partition_by_keys(batch, failed)
        fail_mutations(bad, ConflictError(failed))
        self._carried_over[:0] = rest
