"""What a holder does: commit an action, carry it out, then store that it is finished.

A commit is conditional on the holder's record and on that of the leader who asked. What an earlier
holder committed and did not finish is adopted and finished first; names make repeats harmless.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from peathall import constants
from peathall.autoscaling.actions import CloudActions, CloudError, NoCapacityError
from peathall.config.platform import StateSettings
from peathall.duties.claim import DutyClaim, Tenure
from peathall.duties.model import (
    ActAnswer,
    ActRecord,
    ActRequest,
    Duty,
    Outcome,
    to_value,
)
from peathall.leadership.election import LEADER_KEY
from peathall.store.client import (
    ConflictError,
    Delete,
    InvalidTransactionError,
    Put,
    StoreClient,
    StoreError,
)
from peathall.store.writer import LeadershipLostError, Writer

log = logging.getLogger("peathall.duties")


# Called between the steps of an action, with the step and the action's name; tests stop a holder
# there.
Checkpoint = Callable[[str, str], Awaitable[None]]


async def no_checkpoint(step: str, name: str) -> None:
    """Outside tests nothing happens between the steps."""


class DutyExecutor:
    """The actions of one tenure."""

    def __init__(
        self,
        duty: Duty,
        claim: DutyClaim,
        tenure: Tenure,
        store: StoreClient,
        limits: StateSettings,
        cloud: CloudActions,
        checkpoint: Checkpoint = no_checkpoint,
    ) -> None:
        self.duty = duty
        self.claim = claim
        self.tenure = tenure
        self.store = store
        self.cloud = cloud
        self.checkpoint = checkpoint
        self.writer = Writer(
            store, limits, tenure.record, claim.may_act, claim.lost, fence_unknown_outcomes=True
        )
        self.adopted = asyncio.Event()
        self.acts: dict[str, asyncio.Task[ActAnswer]] = {}  # under way, by name
        self.results: OrderedDict[str, ActAnswer] = OrderedDict()  # of the latest

    async def run(self) -> None:
        """Adopt what is unfinished, then serve until the tenure is over."""
        writing = asyncio.create_task(self.writer.run())
        try:
            await self._adopt()
            self.adopted.set()
            await writing
        finally:
            self.writer.stop()
            writing.cancel()
            for act in self.acts.values():
                act.cancel()
            await asyncio.gather(writing, *self.acts.values(), return_exceptions=True)

    async def _adopt(self) -> None:
        while True:
            try:
                items, _ = await self.store.scan(self.duty.act_prefix)
                break
            except StoreError as exc:
                log.info("reading unfinished actions of %s: %s", self.duty.value, exc)
                await asyncio.sleep(constants.STORE_RETRY_S)
        for item in items:
            name = item.key.removeprefix(self.duty.act_prefix)
            record = msgspec.convert(item.value, ActRecord)
            self.writer.versions[item.key] = item.version
            log.info("adopting %s %s of token %d", self.duty.value, name, record.token)
            self._begin(name, self._finish(name, record))
        while self.acts:
            await asyncio.wait(self.acts.values())
            await asyncio.sleep(0)

    def _begin(self, name: str, work: Coroutine[Any, Any, ActAnswer]) -> None:
        task = self.acts[name] = asyncio.create_task(work)
        task.add_done_callback(lambda done: self._ended(name, done))

    def _ended(self, name: str, done: asyncio.Task[ActAnswer]) -> None:
        del self.acts[name]
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            if not isinstance(error, LeadershipLostError):
                log.error("%s %s failed", self.duty.value, name, exc_info=error)
            return
        if done.result().outcome is Outcome.REFUSED:
            return  # nothing was committed: asked for again, it may be
        self.results[name] = done.result()
        if len(self.results) > constants.DUTY_RESULTS_KEPT:
            self.results.popitem(last=False)

    async def perform(self, request: ActRequest) -> ActAnswer:
        """Carry an order out; PENDING if that takes longer than the one who asked waits."""
        if request.token != self.tenure.holder.token:
            return ActAnswer(Outcome.REFUSED, why="another token holds the duty")
        known = self.results.get(request.name)
        if known is not None:
            return known
        if request.name not in self.acts:
            if not self.adopted.is_set():
                return ActAnswer(Outcome.REFUSED, why="finishing what an earlier holder began")
            if not self.claim.may_begin():
                return ActAnswer(Outcome.REFUSED, why="its lease is not sure now")
            if len(self.acts) >= constants.DUTY_ACTS_MOST:
                return ActAnswer(Outcome.REFUSED, why="too many actions are unfinished")
            store_only = request.write is not None
            work = self._write(request) if store_only else self._commit(request)
            self._begin(request.name, work)
        act = self.acts[request.name]
        done, _ = await asyncio.wait([act], timeout=constants.DUTY_WAIT_S)
        if not done or act.cancelled() or act.exception() is not None:
            return ActAnswer(Outcome.PENDING, why="committed or under way, not finished")
        return act.result()

    async def _write(self, request: ActRequest) -> ActAnswer:
        """A change of the store alone: its commit is the action."""
        work = request.write
        assert work is not None
        ops: list[Put | Delete] = [Put(put.key, put.value) for put in work.puts]
        ops += [Delete(key) for key in work.drops]
        conditions = work.conditions | {LEADER_KEY: request.lead_version}
        try:
            revision = await self.writer.submit(ops, conditions)
        except ConflictError as exc:
            return ActAnswer(Outcome.CONFLICT, why=str(exc), failed=exc.failed)
        except InvalidTransactionError as exc:
            return ActAnswer(Outcome.INVALID, why=str(exc))
        for op in ops:
            self.writer.versions.pop(op.key, None)  # whoever asks names the versions
        return ActAnswer(Outcome.DONE, revision=revision)

    async def _commit(self, request: ActRequest) -> ActAnswer:
        key = self.duty.act_prefix + request.name
        token = self.tenure.holder.token
        record = ActRecord(token, request.term, request.rental, request.deletion)
        conditions = {key: 0, LEADER_KEY: request.lead_version}
        try:
            await self.writer.submit([Put(key, to_value(record))], conditions)
        except ConflictError as exc:
            why = "its leader is replaced" if LEADER_KEY in exc.failed else "its name is in use"
            return ActAnswer(Outcome.REFUSED, why=why)
        except StoreError as exc:
            return ActAnswer(Outcome.REFUSED, why=str(exc))
        await self.checkpoint("committed", request.name)
        return await self._finish(request.name, record)

    async def _finish(self, name: str, record: ActRecord) -> ActAnswer:
        """The side effect, repeated until it has an answer, and then the outcome."""
        while (answer := await self._carry_out(record)) is None:
            await asyncio.sleep(constants.TICK_S)
        await self.checkpoint("carried out", name)
        await self.writer.submit([Delete(self.duty.act_prefix + name)])
        return answer

    async def _carry_out(self, record: ActRecord) -> ActAnswer | None:
        if not self.claim.may_act():
            return None  # the lease may come back to life
        try:
            if record.rental is not None:
                return ActAnswer(Outcome.DONE, await self.cloud.provision(record.rental))
            if record.deletion is not None:
                await self.cloud.delete(record.deletion.machines)
            return ActAnswer(Outcome.DONE)
        except NoCapacityError:
            return ActAnswer(Outcome.NO_CAPACITY)
        except CloudError as exc:
            log.info("%s: %s", self.duty.value, exc)
            return None
