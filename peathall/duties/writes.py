"""The leader's side of duties that change the store alone: reclaiming and cleaning up.

What the leader would write when there is budget to spare goes to the holder of the duty instead,
whose commit is conditional on its own record, on the leader's, and on every record that it changes.
The action is the commit, so it needs no intent before it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from peathall import constants
from peathall.duties.delegate import Ask, WaitingReasons
from peathall.duties.model import (
    ActAnswer,
    ActRequest,
    Duty,
    HolderRecord,
    Outcome,
    StoredValue,
    StoreWork,
)
from peathall.leadership.election import LEADER_KEY
from peathall.store.client import ConflictError, Delete, InvalidTransactionError, Put
from peathall.store.mutation import Batch, Mutation, fail_mutations, partition_by_keys
from peathall.store.writer import Writer

log = logging.getLogger("peathall.duties")


class DelegatedWrites:
    """Changes on their way to the holder of one duty, one batch at a time."""

    def __init__(
        self,
        duty: Duty,
        term: int,
        writer: Writer,
        may_act: Callable[[], bool],
        holder: Callable[[Duty], HolderRecord | None],
        ask: Ask,
        waiting: WaitingReasons,
    ) -> None:
        self.duty = duty
        self.term = term
        self.writer = writer
        self.may_act = may_act
        self.holder = holder
        self.ask = ask
        self.waiting = waiting
        self.direct = False  # the leader writes by itself again
        self._offered: dict[str, Callable[[], Mutation | None]] = {}
        self._again: list[Mutation] = []  # made, and to be written with the next batch
        self._wake = asyncio.Event()
        self._number = 0

    def defer(self, name: str, make: Callable[[], Mutation | None], bounded: bool = False) -> None:
        """As the writer's: offered again under its name it is still written once."""
        if self.direct:
            self.writer.defer(name, make, bounded)
            return
        self._offered.setdefault(name, make)
        self._wake.set()

    def defer_delete(self, key: str) -> None:
        """Delete a record."""
        self.defer(f"drop {key}", lambda: Mutation({}, [Delete(key)]))

    async def run(self) -> None:
        """Hand over what is offered, until the term is over."""
        while True:
            if not (self._offered or self._again):
                self._wake.clear()
                await self._wake.wait()
            batch = self._take()
            if batch:
                await self._hand_over(batch)

    def act_directly(self) -> None:
        """Nobody holds the duty any more: what waits goes to the leader's writer."""
        self.direct = True
        for name, make in self._offered.items():
            self.writer.defer(name, make)
        self._offered.clear()

    def _take(self) -> list[Mutation]:
        batch = Batch(self.writer.limits)
        self._again = [change for change in self._again if not batch.add(change)]
        for name in list(self._offered):
            if self._again or batch.is_full:
                break
            change = self._offered.pop(name)()
            if change is not None and not batch.add(change):
                self._again.append(change)
        return batch.mutations

    def _request(self, batch: list[Mutation]) -> ActRequest:
        self._number += 1
        conditions: dict[str, int] = {}
        puts: list[StoredValue] = []
        drops: list[str] = []
        for change in batch:
            for op in change.ops:
                conditions[op.key] = self.writer.versions.get(op.key, 0)
                if isinstance(op, Put):
                    puts.append(StoredValue(op.key, op.value))
                else:
                    drops.append(op.key)
            conditions.update(change.conditions)
        work = StoreWork(f"w-{self.term}-{self._number}", conditions, puts, drops)
        return ActRequest(self.duty, 0, self.term, self.writer.guard.version, write=work)

    async def _hand_over(self, batch: list[Mutation]) -> None:
        """Until its fate is known. A try without an answer may have been carried out."""
        request, outcome_unknown = self._request(batch), False
        while True:
            if self.direct:
                if not (outcome_unknown and await self._was_applied(batch, request)):
                    self.writer.enqueue(batch)
                return
            answer = await self._ask(request)
            if answer.outcome is Outcome.DONE:
                self.waiting.clear(self.duty)
                self.writer.mark_applied(batch, answer.revision)
                return
            outcome_unknown = outcome_unknown or answer.outcome is Outcome.PENDING
            if answer.outcome in (Outcome.CONFLICT, Outcome.INVALID):
                if outcome_unknown and await self._was_applied(batch, request):
                    return
                if answer.outcome is Outcome.INVALID:
                    await self._give_up_invalid(batch, answer)
                    return
                if LEADER_KEY not in answer.failed:
                    self._split(batch, answer.failed)
                    return
                # Our record was written anew as a fence; or we are replaced, and the term ends.
                request = self._request(batch)
            self.waiting.note(self.duty, answer.why)
            await asyncio.sleep(constants.STORE_RETRY_S if outcome_unknown else constants.TICK_S)

    async def _ask(self, request: ActRequest) -> ActAnswer:
        holder = self.holder(self.duty)
        if holder is None:
            return ActAnswer(Outcome.REFUSED, why="nobody holds the duty")
        if not self.may_act():
            return ActAnswer(Outcome.REFUSED, why="our lease on the lead is not sure")
        return await self.ask(holder, request.meant_for(holder))

    async def _was_applied(self, batch: list[Mutation], request: ActRequest) -> bool:
        assert request.write is not None
        ops = [op for change in batch for op in change.ops]
        conditions = request.write.conditions | {LEADER_KEY: request.lead_version}
        revision = await self.writer.resolve_outcome(ops, conditions)
        if revision:
            self.writer.mark_applied(batch, revision)
        return revision > 0

    async def _give_up_invalid(self, batch: list[Mutation], answer: ActAnswer) -> None:
        log.error("the state service does not take a commit of %s: %s", self.duty.value, answer.why)
        if len(batch) == 1:
            fail_mutations(batch, InvalidTransactionError(answer.why))
            return
        for change in batch:
            await self._hand_over([change])

    def _split(self, batch: list[Mutation], failed: list[str]) -> None:
        """A record is not what we thought: fail its change, write the others."""
        bad, rest = partition_by_keys(batch, failed)
        fail_mutations(bad, ConflictError(failed))
        self._again[:0] = rest
