"""The leader's side of duties that only write to the state service: compaction and cleanup.

What the leader would write when its rate limit has capacity to spare goes to the holder of the duty
instead. The holder's commit is conditional on its own record, on the leader key, and on every
record that it changes. The action is the commit, so it needs no intent before it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.duties.holders import Holders
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
    """Deferred writes of one duty: they are sent to its holder, one batch at a time."""

    def __init__(
        self,
        duty: Duty,
        term: int,
        writer: Writer,
        may_act: Callable[[], bool],
        holders: Holders,
    ) -> None:
        """`may_act`: whether the leader is sure of its lease."""
        self.duty = duty
        self.term = term
        self.writer = writer
        self.may_act = may_act
        self.holders = holders
        self.direct = False  # the leader writes by itself again
        self._deferred: dict[str, Callable[[], Mutation | None]] = {}
        self._again: list[Mutation] = []  # made already, and to be part of the next batch
        self._wake = asyncio.Event()
        self._number = 0

    def defer(self, name: str, make: Callable[[], Mutation | None], bounded: bool = False) -> None:
        """As the writer's `defer`: deferred again under its name it is still written once."""
        if self.direct:
            self.writer.defer(name, make, bounded)
            return
        self._deferred.setdefault(name, make)
        self._wake.set()

    def defer_delete(self, key: str) -> None:
        """Delete a record, when there is capacity to spare."""
        self.defer(f"drop {key}", lambda: Mutation({}, [Delete(key)]))

    async def run(self) -> None:
        """Send what is deferred to the holder, until cancelled at the end of the term."""
        while True:
            if not (self._deferred or self._again):
                self._wake.clear()
                await self._wake.wait()
            batch = self._take()
            if batch:
                await self._send(batch)

    def act_directly(self) -> None:
        """Duties are off: what waits goes to the leader's writer."""
        self.direct = True
        for name, make in self._deferred.items():
            self.writer.defer(name, make)
        self._deferred.clear()

    def _take(self) -> list[Mutation]:
        batch = Batch(self.writer.limits)
        self._again = [change for change in self._again if not batch.add(change)]
        for name in list(self._deferred):
            if self._again or batch.is_full:
                break
            change = self._deferred.pop(name)()
            if change is not None and not batch.add(change):
                self._again.append(change)
        return batch.mutations

    def _request(self, batch: list[Mutation]) -> ActionRequest:
        self._number += 1
        conditions: dict[str, int] = {}
        puts: list[StoredValue] = []
        deletes: list[str] = []
        for change in batch:
            for op in change.ops:
                conditions[op.key] = self.writer.versions.get(op.key, 0)
                if isinstance(op, Put):
                    puts.append(StoredValue(op.key, op.value))
                else:
                    deletes.append(op.key)
            conditions.update(change.conditions)
        name = f"w-{self.term}-{self._number}"
        transaction = StoreTransaction(name, conditions, puts, deletes)
        return ActionRequest(self.duty, 0, self.term, self.writer.guard.version, write=transaction)

    async def _send(self, batch: list[Mutation]) -> None:
        """Repeat the batch until its outcome is known: an unanswered request may be carried out."""
        request, outcome_unknown = self._request(batch), False
        while True:
            if self.direct:
                if not (outcome_unknown and await self._was_applied(batch, request)):
                    self.writer.enqueue(batch)
                return
            result = await self._ask(request)
            if result.outcome is Outcome.DONE:
                self.holders.waiting.clear(self.duty)
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
                # The leader key was written anew as a fence; or another controller leads, and
                # the term ends.
                request = self._request(batch)
            self.holders.waiting.note(self.duty, result.why)
            await asyncio.sleep(constants.STORE_RETRY_S if outcome_unknown else constants.TICK_S)

    async def _ask(self, request: ActionRequest) -> ActionResult:
        holder = self.holders.current(self.duty)
        if holder is None:
            return ActionResult(Outcome.REFUSED, why="nobody holds the duty")
        if not self.may_act():
            return ActionResult(Outcome.REFUSED, why="our lease on the lead is not sure")
        return await self.holders.ask(holder, request.addressed_to(holder))

    async def _was_applied(self, batch: list[Mutation], request: ActionRequest) -> bool:
        """Find out whether a request of unknown outcome was committed; marks it if so."""
        assert request.write is not None
        ops = [op for change in batch for op in change.ops]
        conditions = request.write.conditions | {LEADER_KEY: request.leader_version}
        revision = await self.writer.resolve_outcome(ops, conditions)
        if revision:
            self.writer.mark_applied(batch, revision)
        return revision > 0

    async def _fail_invalid(self, batch: list[Mutation], result: ActionResult) -> None:
        log.error("duty %s: the state service rejects a commit: %s", self.duty.value, result.why)
        if len(batch) == 1:
            fail_mutations(batch, InvalidTransactionError(result.why))
            return
        for change in batch:
            await self._send([change])

    def _split(self, batch: list[Mutation], failed: list[str]) -> None:
        """Conditions did not hold: fail the mutations with them, send the others again."""
        bad, rest = partition_by_keys(batch, failed)
        fail_mutations(bad, ConflictError(failed))
        self._again[:0] = rest
