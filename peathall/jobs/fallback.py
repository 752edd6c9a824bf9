"""Users' requests at a controller that cannot reach the leader: straight to the store.

An accept is a create-if-absent and a query reads, so both are safe beside any
leader. A cancellation has to wait, since a leader answers from memory.
"""

from __future__ import annotations

from collections import OrderedDict

from peathall import constants as c
from peathall.jobs import records
from peathall.jobs.service import Answer, can_never_run
from peathall.settings import Params
from peathall.store.client import ConflictError, Put, StateClient
from peathall.wire import names
from peathall.wire.names import JobSpec, MachineType, Standing


class Fallback:
    """What this controller has read itself saves later reads: that a job was accepted, and
    how it ended, never change. While controllers can't reach one another, the polls of all
    users would otherwise use up the request budget, and accepts would wait behind them."""

    def __init__(self, store: StateClient, params: Params) -> None:
        self.store = store
        self.params = params
        self.types: dict[str, MachineType] = {}
        self.known: OrderedDict[str, Answer | None] = OrderedDict()  # id -> its end, if over

    def _learn(self, job_id: str, end: Answer | None) -> None:
        self.known[job_id] = end
        self.known.move_to_end(job_id)
        if len(self.known) > c.KNOWN_JOBS:
            self.known.popitem(last=False)

    async def query(self, job_id: str) -> Answer:
        end = self.known.get(job_id)
        if end is not None:
            return end
        accepted = job_id in self.known
        if not accepted:
            accepted = await self.store.get(records.JOB + job_id) is not None
        # `past` is read last: whoever moved the job there meanwhile may have told of its end.
        for prefix in (records.FATE, records.PAST) if accepted else (records.PAST,):
            record = await self.store.get(prefix + job_id)
            if record is not None:
                end = final(job_id, record.value)
                self._learn(job_id, end)
                return end
        if not accepted:
            return 404, None
        self._learn(job_id, None)
        return 200, names.job_status(job_id, Standing.QUEUED)

    async def accept(self, spec: JobSpec) -> Answer:
        if spec.id in self.known:
            return await self.query(spec.id)
        if self.types and can_never_run(spec, self.types, self.params) is None:
            try:
                await self.store.commit(
                    {records.JOB + spec.id: 0, records.PAST + spec.id: 0},
                    [Put(records.JOB + spec.id, names.spec_to_record(spec))],
                )
            except ConflictError:
                pass  # accepted before, perhaps over already
            else:
                self._learn(spec.id, None)
                return 201, names.job_status(spec.id, Standing.QUEUED)
        known = await self.query(spec.id)
        if known[0] == 200:
            return known
        why = can_never_run(spec, self.types, self.params) if self.types else None
        return (422, {"error": why}) if why is not None else (503, None)


def final(job_id: str, record: dict[str, object]) -> Answer:
    done = record.get("done", 0)
    standing = Standing(record["standing"])
    return 200, names.job_status(job_id, standing, done if isinstance(done, int) else 0)
