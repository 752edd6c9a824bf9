"""Users' requests at a controller that cannot reach the leader: straight to the store.

An accept is a create-if-absent and a query reads, so both are safe beside any
leader. A cancellation has to wait, since a leader answers from memory.
"""

from __future__ import annotations

from peathall.jobs import records
from peathall.jobs.service import Answer, can_never_run
from peathall.settings import Params
from peathall.store.client import ConflictError, Put, StateClient
from peathall.wire import names
from peathall.wire.names import JobSpec, MachineType, Standing


async def query(store: StateClient, job_id: str) -> Answer:
    job = await store.get(records.JOB + job_id)
    if job is not None:
        fate = await store.get(records.FATE + job_id)
        if fate is not None:
            return final(job_id, fate.value)
    # Read last: whoever moved the job here meanwhile may have told of its end.
    past = await store.get(records.PAST + job_id)
    if past is not None:
        return final(job_id, past.value)
    if job is None:
        return 404, None
    return 200, names.job_status(job_id, Standing.QUEUED)


def final(job_id: str, record: dict[str, object]) -> Answer:
    done = record.get("done", 0)
    standing = Standing(record["standing"])
    return 200, names.job_status(job_id, standing, done if isinstance(done, int) else 0)


async def accept(
    store: StateClient, spec: JobSpec, types: dict[str, MachineType], params: Params
) -> Answer:
    known = await query(store, spec.id)
    if known[0] == 200:
        return known
    if not types:
        return 503, None
    why = can_never_run(spec, types, params)
    if why is not None:
        return 422, {"error": why}
    try:
        await store.commit(
            {records.JOB + spec.id: 0, records.PAST + spec.id: 0},
            [Put(records.JOB + spec.id, names.spec_to_record(spec))],
        )
    except ConflictError:
        known = await query(store, spec.id)
        return known if known[0] == 200 else (503, None)
    return 201, names.job_status(spec.id, Standing.QUEUED)
