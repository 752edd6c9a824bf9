"""The leader's one writer: group commit, one transaction in flight.

What arrives while a commit is under way goes into the next one, so batches widen
with the load. Every transaction is conditional on `lead`'s version and on the
versions of the records it touches. A commit without an answer is repeated
unchanged until its fate is known; nothing else is written in the meantime.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto

from peathall import constants as c
from peathall.settings import StateSettings
from peathall.store.client import (
    ConflictError,
    Drop,
    LeaseGoneError,
    Put,
    StateClient,
    StoreDoubtError,
    StoreError,
)
from peathall.wire.body import json_size

log = logging.getLogger("peathall.store")


class DeposedError(Exception):
    """`lead` is no longer ours; nothing was written."""


class Change:
    """Puts and drops that are written together, and what happens afterwards."""

    __slots__ = ("conditions", "done", "ops", "size")

    def __init__(self, conditions: dict[str, int], ops: list[Put | Drop]) -> None:
        self.conditions = conditions
        self.ops = ops
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        # Whoever does not wait for the result must not cause a warning.
        self.done.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.size = sum(json_size(op.to_wire()) for op in ops)

    def then(self, action: Callable[[], None]) -> Change:
        """`action` runs once the change is stored, and only then."""
        self.done.add_done_callback(lambda f: None if f.cancelled() or f.exception() else action())
        return self


class WriterPhase(Enum):
    IDLE = auto()
    COMMITTING = auto()
    IN_DOUBT = auto()  # no answer to a commit: repeat it, write nothing else
    STOPPED = auto()


class Writer:
    def __init__(
        self,
        store: StateClient,
        limits: StateSettings,
        lead: tuple[str, int],
        may_act: Callable[[], bool],
        on_deposed: Callable[[], None],
    ) -> None:
        self.store = store
        self.limits = limits
        self.lead = lead
        self.may_act = may_act
        self.on_deposed = on_deposed
        self.phase = WriterPhase.IDLE
        self.queue: list[Change] = []
        self.spare: dict[str, Callable[[], Change | None]] = {}  # see offer()
        self.wake = asyncio.Event()
        self.versions: dict[str, int] = {}

    def _enter(self, phase: WriterPhase) -> None:
        if self.phase is not WriterPhase.STOPPED:
            self.phase = phase

    def submit(
        self, ops: list[Put | Drop], conditions: dict[str, int] | None = None
    ) -> asyncio.Future[int]:
        """Queue a change; its future gives the revision, or ConflictError or DeposedError.

        Keys without a condition of their own are conditional on the version that
        this writer knows of them (0: never written).
        """
        change = Change(conditions or {}, ops)
        if self.phase is WriterPhase.STOPPED:
            change.done.set_exception(DeposedError())
        else:
            self.queue.append(change)
            self.wake.set()
        return change.done

    def offer(self, name: str, make: Callable[[], Change | None]) -> None:
        """What may wait: `make` is asked for its change once there is budget to spare.

        Offered again under its name before that, it is still written once, in its latest
        state: the busier the store, the fewer such writes, and they never delay an accept,
        an end or a round.
        """
        if self.phase is not WriterPhase.STOPPED and name not in self.spare:
            self.spare[name] = make
            self.wake.set()

    def offer_drop(self, key: str) -> None:
        self.offer(f"drop {key}", lambda: Change({}, [Drop(key)]))

    def stop(self) -> None:
        self._enter(WriterPhase.STOPPED)
        self.spare.clear()
        for change in self.queue:
            if not change.done.done():
                change.done.set_exception(DeposedError())
        self.queue.clear()
        self.wake.set()

    def _take(self) -> list[Change]:
        """The oldest changes that fit into one transaction and touch no key twice."""
        batch: list[Change] = []
        keys: set[str] = set()
        ops = size = checks = 0

        def add(change: Change) -> bool:
            nonlocal ops, size, checks, keys
            touched = {op.key for op in change.ops} | set(change.conditions)
            if batch and (
                ops + len(change.ops) > self.limits.txn_ops
                or size + change.size > c.TXN_BYTES
                or checks + len(touched) >= 4 * self.limits.txn_ops
                or touched & keys
            ):
                return False
            ops += len(change.ops)
            size += change.size
            checks += len(touched)
            keys |= touched
            batch.append(change)
            return True

        for change in self.queue:
            if not add(change):
                break
        del self.queue[: len(batch)]
        left = self.store.spare_writes() - ops if self.spare else 0
        for name in list(self.spare):
            if left < 1 or ops >= self.limits.txn_ops:
                break
            offered = self.spare.pop(name)()
            if offered is None:
                continue
            left -= len(offered.ops)
            if not add(offered):
                self.queue.append(offered)  # it was made, so it must be written
                break
        return batch

    async def run(self) -> None:
        while self.phase is not WriterPhase.STOPPED:
            if not self.queue and not self.spare:
                self.wake.clear()
                await self.wake.wait()
                continue
            if not self.may_act():
                # Stand still, do not forget: the lease may come back to life.
                await asyncio.sleep(c.STORE_RETRY_S)
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
            await asyncio.wait_for(self.wake.wait(), c.SPARE_WAIT_S)
        except TimeoutError:
            pass

    async def _commit(self, batch: list[Change]) -> None:
        conditions = {self.lead[0]: self.lead[1]}
        ops: list[Put | Drop] = []
        for change in batch:
            for op in change.ops:
                conditions[op.key] = self.versions.get(op.key, 0)
            conditions.update(change.conditions)
            ops += change.ops
        doubt = False
        while self.phase is not WriterPhase.STOPPED:
            try:
                revision = await self.store.commit(conditions, ops)
            except StoreDoubtError as exc:
                log.info("commit without an answer, repeating it: %s", exc)
                doubt = True
                self._enter(WriterPhase.IN_DOUBT)
                await asyncio.sleep(c.STORE_RETRY_S)
            except (StoreError, LeaseGoneError) as exc:
                log.debug("commit refused: %s", exc)
                await asyncio.sleep(c.STORE_RETRY_S)
            except ConflictError as exc:
                if self.lead[0] in exc.failed:
                    self._settle(batch, DeposedError())
                    self.on_deposed()
                    return
                if doubt:
                    applied = await self._was_applied(ops, conditions)
                    if applied is None:
                        continue
                    if applied:
                        self._applied(batch, applied)
                        return
                await self._split(batch, exc.failed)
                return
            else:
                self._applied(batch, revision)
                return
        self._settle(batch, DeposedError())

    async def _was_applied(self, ops: list[Put | Drop], conditions: dict[str, int]) -> int | None:
        """After a doubt: the revision at which our own earlier try went through, 0 if none did.

        All puts of a transaction share one revision. Looking at a single key is not
        enough: a follower may have created the very same job record meanwhile, which
        says nothing about the fates that were to be written beside it.
        """
        revisions = set()
        try:
            for op in ops:
                item = await self.store.get(op.key)
                if isinstance(op, Drop):
                    if item is not None:
                        return 0
                elif item is None or item.value != op.value or item.version == conditions[op.key]:
                    return 0
                else:
                    revisions.add(item.version)
        except StoreError:
            await asyncio.sleep(c.STORE_RETRY_S)
            return None
        if len(revisions) > 1:
            return 0
        return revisions.pop() if revisions else 1

    async def _split(self, batch: list[Change], failed: list[str]) -> None:
        """A record is not what we thought: fail its change, write the others."""
        bad = set(failed)
        rest = []
        for change in batch:
            if bad & ({op.key for op in change.ops} | set(change.conditions)):
                self._settle([change], ConflictError(failed))
            else:
                rest.append(change)
        self.queue[:0] = rest

    def _applied(self, batch: list[Change], revision: int) -> None:
        for change in batch:
            for op in change.ops:
                if isinstance(op, Put):
                    self.versions[op.key] = revision
                else:
                    self.versions.pop(op.key, None)
            if not change.done.done():
                change.done.set_result(revision)

    @staticmethod
    def _settle(batch: list[Change], error: Exception) -> None:
        for change in batch:
            if not change.done.done():
                change.done.set_exception(error)
