"""How a holder performs an action: commit the intent, carry it out, delete the intent.

The commit is conditional on the holder's record and on the leader key of the leader that requested
the action. A new holder first finishes the actions that an earlier holder left unfinished. Actions
are idempotent, since the cloud and the state service recognise them by name.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from peathall import constants
from peathall.async_tasks import end_tasks
from peathall.autoscaling.actions import (
    CloudActions,
    CloudError,
    NoCapacityError,
    RejectedRequestError,
)
from peathall.config.platform import StateSettings
from peathall.duties.claim import DutyClaim, Ownership
from peathall.duties.model import (
    ActionIntent,
    ActionRequest,
    ActionResult,
    Duty,
    Outcome,
)
from peathall.leadership.records import LEADER_KEY
from peathall.protocol.codec import struct_to_builtins
from peathall.protocol.state_service import Delete, Put
from peathall.store.client import StoreClient
from peathall.store.errors import (
    ConflictError,
    InvalidTransactionError,
    LeadershipLostError,
    StoreError,
)
from peathall.store.writer import Writer

log = logging.getLogger("peathall.duties")


# Called between the steps of an action with the step and the name of the action, so that tests can
# stop a holder there.
Checkpoint = Callable[[str, str], Awaitable[None]]


async def no_checkpoint(step: str, name: str) -> None:
    """The checkpoint outside tests: does nothing."""


class DutyExecutor:
    """Performs the actions of a duty during one ownership of it."""

    def __init__(
        self,
        duty: Duty,
        claim: DutyClaim,
        ownership: Ownership,
        store: StoreClient,
        limits: StateSettings,
        cloud: CloudActions,
        checkpoint: Checkpoint = no_checkpoint,
    ) -> None:
        self.duty = duty
        self.claim = claim
        self.ownership = ownership
        self.store = store
        self.cloud = cloud
        self.checkpoint = checkpoint
        self.writer = Writer(
            store,
            limits,
            ownership.record,
            claim.may_act,
            claim.on_ownership_lost,
            fence_unknown_outcomes=True,
        )
        self.ready = asyncio.Event()  # set once the actions of earlier holders are finished
        self.actions: dict[str, asyncio.Task[ActionResult]] = {}  # in progress, by name
        self.results: OrderedDict[str, ActionResult] = OrderedDict()  # latest results, by name

    async def run(self) -> None:
        """Finish the actions of earlier holders, then accept requests until the ownership ends."""
        writing = asyncio.create_task(self.writer.run())
        try:
            await self._finish_earlier_actions()
            self.ready.set()
            await writing
        finally:
            self.writer.stop()
            await end_tasks([writing, *self.actions.values()], f"duty {self.duty.value}")

    async def _finish_earlier_actions(self) -> None:
        while True:
            try:
                items, _ = await self.store.scan(self.duty.action_prefix)
                break
            except StoreError as exc:
                log.info(
                    "duty %s: reading unfinished actions failed, retrying: %s",
                    self.duty.value,
                    exc,
                )
                await asyncio.sleep(constants.STORE_RETRY_S)
        for item in items:
            name = item.key.removeprefix(self.duty.action_prefix)
            intent = msgspec.convert(item.value, ActionIntent)
            self.writer.versions[item.key] = item.version
            log.info(
                "duty %s: finishing action %s of an earlier holder with fencing token %d",
                self.duty.value,
                name,
                intent.token,
            )
            self._start(name, self._finish(name, intent))
        while self.actions:
            await asyncio.wait(self.actions.values())
            await asyncio.sleep(0)

    def _start(self, name: str, work: Coroutine[Any, Any, ActionResult]) -> None:
        task = self.actions[name] = asyncio.create_task(work)
        task.add_done_callback(lambda done: self._on_action_done(name, done))

    def _on_action_done(self, name: str, done: asyncio.Task[ActionResult]) -> None:
        del self.actions[name]
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            if not isinstance(error, LeadershipLostError):
                log.error("duty %s: action %s failed", self.duty.value, name, exc_info=error)
            return
        if done.result().outcome is Outcome.REFUSED:
            return  # not kept: nothing was committed, so a repeated request may succeed
        self.results[name] = done.result()
        if len(self.results) > constants.DUTY_RESULTS_KEPT:
            self.results.popitem(last=False)

    async def perform(self, request: ActionRequest) -> ActionResult:
        """Carry out a request; PENDING if that takes longer than the leader waits."""
        if request.token != self.ownership.holder.token:
            return ActionResult(Outcome.REFUSED, why="another token holds the duty")
        known = self.results.get(request.name)
        if known is not None:
            return known
        if request.name not in self.actions:
            if not self.ready.is_set():
                return ActionResult(Outcome.REFUSED, why="finishing what an earlier holder began")
            if not self.claim.may_begin():
                return ActionResult(Outcome.REFUSED, why="its lease is not sure now")
            if len(self.actions) >= constants.DUTY_MAX_ACTIONS:
                return ActionResult(Outcome.REFUSED, why="too many actions are unfinished")
            work = self._write(request) if request.write is not None else self._commit(request)
            self._start(request.name, work)
        action = self.actions[request.name]
        done, _ = await asyncio.wait([action], timeout=constants.DUTY_RESPONSE_S)
        if not done or action.cancelled() or action.exception() is not None:
            return ActionResult(Outcome.PENDING, why="committed or under way, not finished")
        return action.result()

    async def _write(self, request: ActionRequest) -> ActionResult:
        """Commit a transaction in the state service, which is the action and needs no intent."""
        transaction = request.write
        assert transaction is not None
        ops: list[Put | Delete] = [Put(put.key, put.value) for put in transaction.puts]
        ops += [Delete(key) for key in transaction.deletes]
        conditions = transaction.conditions | {LEADER_KEY: request.leader_version}
        try:
            revision = await self.writer.submit(ops, conditions)
        except ConflictError as exc:
            return ActionResult(Outcome.CONFLICT, why=str(exc), failed=exc.failed)
        except InvalidTransactionError as exc:
            return ActionResult(Outcome.INVALID, why=str(exc))
        for op in ops:
            self.writer.versions.pop(op.key, None)  # the leader's requests state the versions
        return ActionResult(Outcome.DONE, revision=revision)

    async def _commit(self, request: ActionRequest) -> ActionResult:
        """Perform an action on the cloud; its intent comes first, so a new holder can finish it."""
        key = self.duty.action_prefix + request.name
        token = self.ownership.holder.token
        intent = ActionIntent(token, request.term, request.provision, request.deletion)
        conditions = {key: 0, LEADER_KEY: request.leader_version}
        try:
            await self.writer.submit([Put(key, struct_to_builtins(intent))], conditions)
        except ConflictError as exc:
            why = "its leader is replaced" if LEADER_KEY in exc.failed else "its name is in use"
            return ActionResult(Outcome.REFUSED, why=why)
        except InvalidTransactionError as exc:
            return ActionResult(Outcome.INVALID, why=str(exc))
        except StoreError as exc:
            return ActionResult(Outcome.REFUSED, why=str(exc))
        await self.checkpoint("committed", request.name)
        return await self._finish(request.name, intent)

    async def _finish(self, name: str, intent: ActionIntent) -> ActionResult:
        """Carry out the action, retried until the cloud responds, then delete the intent."""
        while (result := await self._carry_out(intent)) is None:
            await asyncio.sleep(constants.TICK_S)
        await self.checkpoint("carried out", name)
        await self.writer.submit([Delete(self.duty.action_prefix + name)])
        return result

    async def _carry_out(self, intent: ActionIntent) -> ActionResult | None:
        """One attempt to carry out the action; None if it has to be repeated."""
        if not self.claim.may_act():
            return None  # the lease may still exist in the state service: a renewal makes it valid
        try:
            if intent.provision is not None:
                return ActionResult(Outcome.DONE, await self.cloud.provision(intent.provision))
            if intent.deletion is not None:
                await self.cloud.delete(intent.deletion.machines)
            return ActionResult(Outcome.DONE)
        except NoCapacityError:
            return ActionResult(Outcome.NO_CAPACITY)
        except RejectedRequestError as exc:
            log.warning("duty %s: %s", self.duty.value, exc)
            return ActionResult(Outcome.NO_CAPACITY)
        except CloudError as exc:
            log.info("duty %s: a cloud request failed, retrying: %s", self.duty.value, exc)
            return None
