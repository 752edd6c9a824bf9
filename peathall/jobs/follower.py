"""Users' requests at a controller that cannot reach the leader: straight to the store.

An accept is a create-if-absent and a query reads, so both are safe beside any
leader. A cancellation has to wait, since a leader answers from memory.
"""

from __future__ import annotations

from collections import OrderedDict

from peathall import constants
from peathall.cells.model import BORROWED
from peathall.config.platform import Params
from peathall.jobs import records
from peathall.jobs.live_index import LiveJobIndex
from peathall.jobs.service import RETRY_LATER, JobResponse, rejection_reason
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import JobSpec, JobStatus, encode_job_status, spec_to_record
from peathall.store.client import ConflictError, Put, StoreClient


class FollowerService:
    """While controllers can't reach one another, the polls of all users come here. What is
    not archived is known from `live`; how an archived job ended never changes, so that what
    was read of it saves later reads."""

    def __init__(self, store: StoreClient, params: Params, cells: bool = False) -> None:
        self.cells = cells  # jobs of other cells may stand in the store as well
        self.store = store
        self.params = params
        self.live = LiveJobIndex(store)
        self.types: dict[str, MachineType] = {}
        self.final_responses: OrderedDict[str, JobResponse] = OrderedDict()

    def _learn(self, job_id: str, end: JobResponse) -> JobResponse:
        self.final_responses[job_id] = end
        self.final_responses.move_to_end(job_id)
        if len(self.final_responses) > constants.REMEMBERED_JOBS:
            self.final_responses.popitem(last=False)
        return end

    async def query(self, job_id: str) -> JobResponse:
        """Answer a poll from the store."""
        end = self.final_responses.get(job_id)
        if end is not None:
            return end
        await self.live.refresh()
        return await self._known(job_id) or (404, None)

    async def _known(self, job_id: str) -> JobResponse | None:
        """As `live` has it just now, and else from what is archived. Whoever archives a job
        takes it out of `live` in the same commit, so what stands there is not over yet."""
        if job_id in self.live.held:
            end = self.live.ends.get(job_id)
            if end is not None:
                return self._learn(job_id, final(job_id, end))
            return 200, encode_job_status(job_id, JobStatus.QUEUED)
        past = await self.store.get(records.PAST + job_id)
        if past is None:
            borrowed = self.cells and await self.store.get(BORROWED + job_id) is not None
            return RETRY_LATER if borrowed else None  # its home is asked by the leader
        return self._learn(job_id, final(job_id, records.read_final(past.value)))

    async def accept(self, spec: JobSpec) -> JobResponse:
        """Create the job in the store, if it is not known there."""
        if spec.id in self.final_responses:
            return self.final_responses[spec.id]
        await self.live.refresh()
        if spec.id not in self.live.held:
            if not self.types:
                return await self._known(spec.id) or RETRY_LATER
            why = rejection_reason(spec, self.types, self.params)
            if why is not None:
                return await self._known(spec.id) or (422, {"error": why})
            try:
                absent = [records.JOB, records.PAST, *([BORROWED] if self.cells else [])]
                await self.store.commit(
                    {key + spec.id: 0 for key in absent},
                    [Put(records.JOB + spec.id, spec_to_record(spec))],
                )
                return 201, encode_job_status(spec.id, JobStatus.QUEUED)
            except ConflictError:
                await self.live.refresh()  # accepted before, perhaps over already
        return await self._known(spec.id) or RETRY_LATER


def final(job_id: str, end: records.FinalRecord) -> JobResponse:
    """The answer for a job that is over."""
    return 200, encode_job_status(job_id, end.status, end.done)
