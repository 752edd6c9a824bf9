"""Jobs at the leader: accept, query, cancel, and their records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from peathall import constants as c
from peathall.books import Books
from peathall.jobs import records
from peathall.jobs.model import Job, JobPhase
from peathall.settings import Params
from peathall.store.client import ConflictError, Drop, Item, Put, StateClient, StoreError
from peathall.store.writer import Change, DeposedError, Writer
from peathall.wire import names
from peathall.wire.names import JobSpec, MachineType, Standing

log = logging.getLogger("peathall.jobs")

Answer = tuple[int, dict[str, Any] | None]
NOT_NOW: Answer = (503, None)


def can_never_run(spec: JobSpec, types: dict[str, MachineType], params: Params) -> str | None:
    """Why a job can never run, or None. `types` must be known."""
    team = next((t for t in params.teams if t.name == spec.team), None)
    if team is None:
        return "unknown team"
    many = spec.tasks if spec.gang else 1
    for need, limit in ((spec.cpus, team.cpus_max), (spec.gpus, team.gpus_max)):
        if limit and need * many > limit + 1e-6:
            return "needs more than its team's limit"
    for kind in types.values():
        if spec.types is not None and kind.name not in spec.types:
            continue
        if spec.zone is not None and spec.zone not in kind.zones:
            continue
        if spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.ram <= kind.ram:
            break
    else:
        return "a task fits no allowed machine type"
    if spec.gang and spec.spread and spec.tasks > 1 and (spec.one_zone or spec.zone):
        return "all tasks in one zone and at most half of them there"
    return None


class Jobs:
    def __init__(
        self,
        books: Books,
        params: Params,
        store: StateClient,
        writer: Writer,
        on_change: Callable[[], None],
        on_cancelled: Callable[[Job], None],
        wall: Callable[[], float],
    ) -> None:
        self.books = books
        self.params = params
        self.store = store
        self.writer = writer
        self.on_change = on_change
        self.on_cancelled = on_cancelled
        self.wall = wall
        self.block = records.block_tasks(params.state.value_kb)
        self.accepting: dict[str, asyncio.Future[int]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    # --- records -------------------------------------------------------------
    def load(self, jobs: list[Item], fates: list[Item], done: list[Item]) -> None:
        for item in jobs:
            self.adopt(item)
        for item in fates:
            job = self.books.jobs.get(item.key.removeprefix(records.FATE))
            self.writer.versions[item.key] = item.version
            if job is not None:
                self._final(job, Standing(item.value["standing"]))
        for item in done:
            self.writer.versions[item.key] = item.version
            job = self.books.jobs.get(item.key.removeprefix(records.DONE).rpartition("/")[0])
            if job is None:
                # Left over from an archived job with many blocks.
                self.writer.submit([Drop(item.key)])
                continue
            for low, high in item.value["done"]:
                job.done.add(low, high)
                job.stored.add(low, high)
                job.todo.remove(low, high)

    def adopt(self, item: Item) -> Job:
        """A job that stands in the store, whoever wrote it there."""
        job_id = item.key.removeprefix(records.JOB)
        job = self.books.jobs.get(job_id)
        if job is None:
            spec = names.spec_from_record(item.value)
            now = asyncio.get_running_loop().time()
            job = self.books.jobs[job_id] = Job(spec, now - max(0.0, self.wall() - spec.submitted))
            self.writer.versions[item.key] = item.version
            self.books.last_arrival = now
            self.on_change()
        return job

    def _final(self, job: Job, standing: Standing) -> None:
        if standing is Standing.DONE:
            job.mark_all_done()
            job.enter(JobPhase.DONE)
        else:
            job.enter(JobPhase.CANCELLED)

    def resume(self) -> None:
        """After the rebuild: finish what an earlier leader left half done."""
        for job in list(self.books.jobs.values()):
            if job.phase is JobPhase.ACTIVE:
                if len(job.done) >= job.spec.tasks:
                    self.note_done(job)
            else:
                if job.phase is JobPhase.CANCELLED:
                    self.on_cancelled(job)
                self.archive_if_over(job)

    # --- requests ------------------------------------------------------------
    async def accept(self, spec: JobSpec) -> Answer:
        known = await self._known(spec.id)
        if known is not None:
            return known
        if not self.books.types:
            return NOT_NOW
        why = can_never_run(spec, self.books.types, self.params)
        if why is not None:
            return 422, {"error": why}
        record = names.spec_to_record(spec)
        put = Put(records.JOB + spec.id, record)
        pending = self.writer.submit([put], {records.PAST + spec.id: 0})
        self.accepting[spec.id] = pending
        try:
            version = await pending
        except ConflictError:
            # Another controller accepted it, or it is over already.
            found = await self._read(spec.id)
            return found if found is not None else NOT_NOW
        finally:
            self.accepting.pop(spec.id, None)
        self.adopt(Item(put.key, record, version))
        return 201, names.job_status(spec.id, Standing.QUEUED)

    async def _known(self, job_id: str) -> Answer | None:
        pending = self.accepting.get(job_id)
        if pending is not None:
            await asyncio.wait([pending])
        job = self.books.jobs.get(job_id)
        if job is not None and job.settling is not None:
            # Its final state may be in the store already, where another controller
            # reads and tells it: an older answer from here would take that back.
            await asyncio.wait([job.settling])
            job = self.books.jobs.get(job_id)
        if job is not None:
            return 200, self.status(job)
        standing = self.books.past.get(job_id)
        if standing is not None:
            return 200, names.job_status(job_id, standing)
        return None

    async def _read(self, job_id: str) -> Answer | None:
        """Ask the store itself; a job found there becomes known here."""
        item = await self.store.get(records.JOB + job_id)
        if item is not None:
            known = await self._known(job_id)
            if known is not None:
                return known
            past = await self.store.get(records.PAST + job_id)
            if past is None:
                return 200, self.status(self.adopt(item))
        else:
            past = await self.store.get(records.PAST + job_id)
        if past is None:
            return None
        standing = Standing(past.value["standing"])
        self.books.past[job_id] = standing
        return 200, names.job_status(job_id, standing, past.value.get("done", 0))

    async def query(self, job_id: str) -> Answer:
        known = await self._known(job_id) or await self._read(job_id)
        return known if known is not None else (404, None)

    def status(self, job: Job) -> dict[str, Any]:
        done = job.spec.tasks if job.phase is JobPhase.DONE else len(job.stored)
        running = job.running if job.phase is JobPhase.ACTIVE else 0
        return names.job_status(job.spec.id, job.standing, done, running)

    async def cancel(self, job_id: str) -> Answer:
        if job_id not in self.books.jobs:
            known = await self._known(job_id) or await self._read(job_id)
            if known is None:
                return 404, None
            if job_id not in self.books.jobs:
                return known  # over for good
        job = self.books.jobs[job_id]
        while job.phase is JobPhase.ACTIVE:
            if job.settling is not None:
                await asyncio.wait([job.settling])
                continue
            await self._settle(job, Standing.CANCELLED)
        return 200, self.status(job)

    # --- fates ---------------------------------------------------------------
    async def _settle(self, job: Job, standing: Standing) -> None:
        """Store the final state; only then does anyone hear of it."""
        record = records.final_record(standing, len(job.done))
        job.settling = self.writer.submit([Put(records.FATE + job.spec.id, record)])
        try:
            await job.settling
        except ConflictError:
            # Not what we thought stands there: learn it, and whoever asked tries again.
            found = await self.store.get(records.FATE + job.spec.id)
            self.writer.versions[records.FATE + job.spec.id] = found.version if found else 0
            raise
        finally:
            job.settling = None
        self._final(job, standing)
        log.info("job %s is %s", job.spec.id, standing.name.lower())
        if standing is Standing.CANCELLED:
            self.on_cancelled(job)
        self.archive_if_over(job)
        self.on_change()

    def note_done(self, job: Job) -> None:
        """Some tasks were reported done: store that, then tell."""
        if job.writing or job.phase is not JobPhase.ACTIVE:
            return
        if len(job.done) >= job.spec.tasks:
            job.writing = True
            self._spawn(self._finish(job))
        else:
            self.writer.offer(records.DONE + job.spec.id, lambda: self._done_change(job))

    async def _finish(self, job: Job) -> None:
        try:
            while job.phase is JobPhase.ACTIVE:
                if job.settling is not None:
                    await asyncio.wait([job.settling])
                else:
                    await self._settle(job, Standing.DONE)
        finally:
            job.writing = False
        self.archive_if_over(job)

    def _done_change(self, job: Job) -> Change | None:
        """The first block with news; the others follow, one by one."""
        news = job.done.first_outside(job.stored)
        if news is None or job.phase is not JobPhase.ACTIVE:
            return None
        block = news // self.block
        record = records.done_record(job.done, block, self.block)
        change = Change({}, [Put(records.done_key(job.spec.id, block), record)])

        def stored() -> None:
            for low, high in record["done"]:
                job.stored.add(low, high)
            if job.done.first_outside(job.stored) is not None:
                self.note_done(job)

        return change.then(stored)

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            if not isinstance(error, DeposedError):
                log.error("writing a record failed", exc_info=error)

    def look_after(self, job: Job) -> None:
        """Every second: an end that could not be stored must not be given up."""
        if job.phase is not JobPhase.ACTIVE:
            self.archive_if_over(job)
        elif len(job.done) >= job.spec.tasks:
            self.note_done(job)

    def archive_if_over(self, job: Job) -> None:
        if job.phase is JobPhase.ACTIVE or job.attempts or job.writing:
            return
        if self.books.jobs.get(job.spec.id) is job:
            self.writer.offer(records.PAST + job.spec.id, lambda: self._archive_change(job))

    def _archive_change(self, job: Job) -> Change | None:
        job_id = job.spec.id
        if job.attempts or job.writing or self.books.jobs.get(job_id) is not job:
            return None
        job.writing = True
        standing = job.standing
        ops: list[Put | Drop] = [
            Put(records.PAST + job_id, records.final_record(standing, len(job.done)))
        ]
        keys = [records.JOB + job_id, records.FATE + job_id]
        last = (job.spec.tasks - 1) // self.block
        keys += [records.done_key(job_id, block) for block in range(last + 1)]
        ops += [Drop(key) for key in keys if key in self.writer.versions]
        limit = self.params.state.txn_ops
        change = Change({}, ops[:limit])

        def archived() -> None:
            self.writer.versions.pop(records.PAST + job_id, None)  # never written again
            self.books.past[job_id] = standing
            self.books.jobs.pop(job_id, None)
            for op in ops[limit:]:
                self.writer.submit([op])

        return change.then(archived)

    # --- following the store -------------------------------------------------
    async def follow(self, revision: int) -> None:
        """Learn of jobs that other controllers accepted while they could not reach us."""
        while True:
            try:
                result = await self.store.watch(records.JOB, revision)
                if result is None:
                    items, revision = await self.store.scan(records.JOB)
                    for item in items:
                        await self._adopt_news(item)
                    continue
                revision, changes = result
                for change in changes:
                    if not change.deleted:
                        await self._adopt_news(Item(change.key, change.value, change.version))
            except StoreError as exc:
                log.debug("watching jobs: %s", exc)
                await asyncio.sleep(c.STORE_RETRY_S)

    async def _adopt_news(self, item: Item) -> None:
        job_id = item.key.removeprefix(records.JOB)
        if job_id not in self.books.jobs and job_id not in self.books.past:
            if job_id in self.accepting:
                return
            await self._read(job_id)

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
