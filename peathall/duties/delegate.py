"""The leader's side of scale-out and scale-in while duties are on: requests to the holders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peathall import constants
from peathall.autoscaling.actions import CloudError, NoCapacityError, ProvisionRequest
from peathall.duties.holders import Holders
from peathall.duties.model import (
    ActionRequest,
    ActionResult,
    Deletion,
    Duty,
    HolderRecord,
    Outcome,
)


class DelegatedCloud:
    """CloudActions by way of the duties' holders; without a holder they raise CloudError."""

    def __init__(self, term: int, leader_version: Callable[[], int], holders: Holders) -> None:
        """`leader_version`: version of the leader key, on which the holders' commits depend."""
        self._term = term
        self._leader_version = leader_version
        self._holders = holders
        self._number = 0  # of the latest deletion
        self._deletion: Deletion | None = None  # requested, and not answered yet
        self._concurrency = asyncio.Semaphore(constants.DUTY_ASKS_AT_ONCE)

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """Names of the machines that the holder of scale-out has provisioned; raises CloudError
        or NoCapacityError."""
        holder = self._holder(Duty.SCALE_OUT)
        result = await self._ask(
            holder,
            ActionRequest(
                Duty.SCALE_OUT, holder.token, self._term, self._leader_version(), provision=request
            ),
        )
        if result.outcome is Outcome.NO_CAPACITY:
            raise NoCapacityError
        return result.machines

    async def delete(self, machines: list[str], /) -> None:
        """Returns once the holder of scale-in has deleted them; raises CloudError. A request that
        was not answered yet goes first, under its own name."""
        waiting = set(machines)
        while self._deletion is not None or waiting:
            if self._deletion is None:
                self._number += 1
                # The term makes the name unique for good, as that of a provision request.
                name = f"d-{self._term}-{self._number}"
                self._deletion = Deletion(name, [m for m in machines if m in waiting])
            deletion = self._deletion
            holder = self._holder(Duty.SCALE_IN)
            await self._ask(
                holder,
                ActionRequest(
                    Duty.SCALE_IN,
                    holder.token,
                    self._term,
                    self._leader_version(),
                    deletion=deletion,
                ),
            )
            self._deletion = None
            waiting -= set(deletion.machines)

    def _holder(self, duty: Duty) -> HolderRecord:
        holder = self._holders.current(duty)
        if holder is None:
            self._holders.waiting.note(duty, "nobody holds the duty")
            raise CloudError(f"duty {duty.value} waits: no controller holds it", sent=False)
        return holder

    async def _ask(self, holder: HolderRecord, request: ActionRequest) -> ActionResult:
        async with self._concurrency:
            result = await self._holders.ask(holder, request)
        if result.outcome in (Outcome.DONE, Outcome.NO_CAPACITY):
            self._holders.waiting.clear(request.duty)
            return result
        self._holders.waiting.note(request.duty, f"{holder.member}: {result.why}")
        # What is refused now may have been committed when it was requested before: only PENDING
        # tells of this request that it may be carried out.
        sent = result.outcome is Outcome.PENDING
        raise CloudError(
            f"duty {request.duty.value}: {request.name} is not done by its holder "
            f"{holder.member}: {result.why}",
            sent,
        )
