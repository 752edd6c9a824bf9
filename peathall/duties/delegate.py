"""The leader's side: what is to be done at the cloud goes to the holders of these duties."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from peathall import constants
from peathall.autoscaling.actions import CloudError, NoCapacityError, ProvisionRequest
from peathall.duties.model import ActAnswer, ActRequest, Deletion, Duty, HolderRecord, Outcome

log = logging.getLogger("peathall.duties")

# Asks a holder; NoAnswerError is answered as PENDING by who provides it.
Ask = Callable[[HolderRecord, ActRequest], Awaitable[ActAnswer]]


class WaitingReasons:
    """Why work waits, by duty, as it was last found out."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._found: dict[Duty, tuple[str, float]] = {}

    def note(self, duty: Duty, why: str) -> None:
        """It waits, and this is why."""
        self._found[duty] = (why, self._loop.time())

    def clear(self, duty: Duty) -> None:
        """It waits no longer."""
        self._found.pop(duty, None)

    def lately(self) -> dict[str, str]:
        """Reasons that were found out lately: what waits is tried again every second."""
        now = self._loop.time()
        return {
            duty.value: why
            for duty, (why, at) in self._found.items()
            if now - at < constants.DUTY_WAITING_S
        }


class DelegatedCloud:
    """Rents and deletes by way of the holders; what has no holder waits."""

    def __init__(
        self,
        term: int,
        lead_version: Callable[[], int],
        holder: Callable[[Duty], HolderRecord | None],
        ask: Ask,
    ) -> None:
        self.term = term
        self.lead_version = lead_version
        self.holder = holder
        self.ask = ask
        self.waiting = WaitingReasons()
        self._number = 0
        self._deletion: Deletion | None = None  # without an answer yet
        self._turn = asyncio.Semaphore(constants.DUTY_ASKS_AT_ONCE)

    async def provision(self, rental: ProvisionRequest) -> list[str]:
        """Machines rented by the holder of renting."""
        holder = self._holder(Duty.RENTING)
        request = ActRequest(
            Duty.RENTING, holder.token, self.term, self.lead_version(), rental=rental
        )
        answer = await self._asked(holder, request)
        if answer.outcome is Outcome.NO_CAPACITY:
            raise NoCapacityError
        return answer.machines

    async def delete(self, machines: list[str]) -> None:
        """Deleted by the holder of returning; an earlier request without an answer goes first."""
        waiting = set(machines)
        while self._deletion is not None or waiting:
            if self._deletion is None:
                self._number += 1
                # The term makes the name unique for good, as a rental's.
                name = f"d-{self.term}-{self._number}"
                self._deletion = Deletion(name, [m for m in machines if m in waiting])
            deletion = self._deletion
            holder = self._holder(Duty.RETURNING)
            request = ActRequest(
                Duty.RETURNING, holder.token, self.term, self.lead_version(), deletion=deletion
            )
            await self._asked(holder, request)
            self._deletion = None
            waiting -= set(deletion.machines)

    def _holder(self, duty: Duty) -> HolderRecord:
        holder = self.holder(duty)
        if holder is None:
            self.waiting.note(duty, "nobody holds the duty")
            raise CloudError(f"{duty.value} waits: nobody holds the duty", sent=False)
        return holder

    async def _asked(self, holder: HolderRecord, request: ActRequest) -> ActAnswer:
        async with self._turn:
            answer = await self.ask(holder, request)
        if answer.outcome in (Outcome.DONE, Outcome.NO_CAPACITY):
            self.waiting.clear(request.duty)
            return answer
        self.waiting.note(request.duty, f"{holder.member}: {answer.why}")
        # What was refused was perhaps committed when it was asked for before.
        sent = answer.outcome is Outcome.PENDING
        raise CloudError(f"{request.duty.value} waits for {holder.member}: {answer.why}", sent)
