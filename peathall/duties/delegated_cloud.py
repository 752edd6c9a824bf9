"""How the leader provisions and deletes machines while duties are on: requests to the holders."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from peathall import constants
from peathall.autoscaling.actions import CloudError, NoCapacityError, ProvisionRequest
from peathall.duties.holder_client import HolderClient
from peathall.duties.model import (
    ActionIntent,
    ActionRequest,
    ActionResult,
    Deletion,
    Duty,
    HolderRecord,
    Outcome,
)
from peathall.protocol.codec import json_size, struct_to_builtins

MAX_TOKEN = 2**64 - 1  # the longest fencing token


class InvalidIntentError(CloudError):
    """The state service can never store the intent of this request, which was not carried out."""


class DelegatedCloud:
    """Cloud actions that the holders of the duties carry out; CloudError if there is no holder."""

    def __init__(
        self,
        term: int,
        leader_version: Callable[[], int],
        holder_client: HolderClient,
        value_limit: Callable[[], int],
    ) -> None:
        """`leader_version`: version of the leader key, a condition of the holders' commits.
        `value_limit`: bytes per record, as counted by `json_size`."""
        self._term = term
        self._leader_version = leader_version
        self._holder_client = holder_client
        self._value_limit = value_limit
        self._rejected_limit = sys.maxsize  # half of the bytes of the latest rejected intent
        self._deletion_count = 0  # numbers the deletions of this term
        self._deletion: Deletion | None = None  # requested and not known to be done
        self._concurrency = asyncio.Semaphore(constants.DUTY_MAX_CONCURRENT_REQUESTS)

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """Have the holder of scale-out provision machines; returns their names.

        Raises CloudError or NoCapacityError.
        """
        holder = self._holder(Duty.SCALE_OUT)
        result = await self._send_request(
            holder,
            ActionRequest(
                Duty.SCALE_OUT, holder.token, self._term, self._leader_version(), provision=request
            ),
        )
        if result.outcome is Outcome.NO_CAPACITY:
            raise NoCapacityError
        return result.machines

    async def delete(self, machines: list[str], /) -> None:
        """Have the holder of scale-in delete the machines; returns once they are deleted.

        The machines are divided between as many deletions as the size of an intent requires. An
        earlier deletion that is not known to be done is repeated first, under its own name.
        Raises CloudError.
        """
        waiting = set(machines)
        while self._deletion is not None or waiting:
            if self._deletion is None:
                self._deletion = self._next_deletion([m for m in machines if m in waiting])
            deletion = self._deletion
            try:
                await self._send_deletion(deletion)
            except InvalidIntentError:
                self._deletion = None  # a repetition would be rejected as well
                if len(deletion.machines) == 1:
                    raise
                self._rejected_limit = self._intent_bytes(deletion) // 2
                continue
            self._deletion = None
            waiting -= set(deletion.machines)

    def _next_deletion(self, machines: list[str]) -> Deletion:
        """A deletion of as many of the machines as its intent has room for, at least one."""
        self._deletion_count += 1
        # The term makes the name unique among all deletions, of earlier terms as well.
        name = f"d-{self._term}-{self._deletion_count}"
        limit = min(self._value_limit(), self._rejected_limit)
        size = self._intent_bytes(Deletion(name, []))
        chosen: list[str] = []
        for machine in machines:
            size += json_size(machine) + 1  # with the comma
            if chosen and size > limit:
                break
            chosen.append(machine)
        return Deletion(name, chosen)

    def _intent_bytes(self, deletion: Deletion) -> int:
        """Size of the record in which the holder stores the intent of the deletion."""
        intent = ActionIntent(MAX_TOKEN, self._term, deletion=deletion)
        return json_size(struct_to_builtins(intent))

    async def _send_deletion(self, deletion: Deletion) -> None:
        holder = self._holder(Duty.SCALE_IN)
        await self._send_request(
            holder,
            ActionRequest(
                Duty.SCALE_IN,
                holder.token,
                self._term,
                self._leader_version(),
                deletion=deletion,
            ),
        )

    def _holder(self, duty: Duty) -> HolderRecord:
        holder = self._holder_client.current(duty)
        if holder is None:
            self._holder_client.wait_reasons.note(duty, "nobody holds the duty")
            raise CloudError(f"duty {duty.value} waits: no controller holds it", sent=False)
        return holder

    async def _send_request(self, holder: HolderRecord, request: ActionRequest) -> ActionResult:
        async with self._concurrency:
            result = await self._holder_client.send_request(holder, request)
        if result.outcome in (Outcome.DONE, Outcome.NO_CAPACITY):
            self._holder_client.wait_reasons.clear(request.duty)
            return result
        self._holder_client.wait_reasons.note(request.duty, f"{holder.member}: {result.why}")
        why = (
            f"duty {request.duty.value}: {request.name} is not done by its holder "
            f"{holder.member}: {result.why}"
        )
        if result.outcome is Outcome.INVALID:
            raise InvalidIntentError(why, sent=False)
        # Only PENDING means that this request may have been committed. After REFUSED, an earlier
        # request under the same name may still have been.
        raise CloudError(why, sent=result.outcome is Outcome.PENDING)
