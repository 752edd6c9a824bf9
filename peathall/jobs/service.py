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
from peathall.store.client import Change as StoreChange
from peathall.store.client import (
    ConflictError,
    Drop,
    Item,
    Put,
    SharedRead,
    StateClient,
    StoreError,
)
from peathall.store.writer import Change, DeposedError, Gather, Writer
from peathall.wire import names
from peathall.wire.body import json_size
from peathall.wire.names import JobSpec, MachineType, Standing

log = logging.getLogger("peathall.jobs")

Answer = tuple[int, dict[str, Any] | None]
NOT_NOW: Answer = (503, None)


def can_never_run(spec: JobSpec, types: dict[str, MachineType], params: Params) -> str | None:
    """Why a job can never run, or None. `types` must be known."""
    team = next((t for t in params.teams if t.name == spec.team), None)
    if team is None:
        return "unknown team"
    # Independent tasks can run one after another; those of a gang and replicas run together.
    many = spec.tasks if spec.gang or spec.daemon else 1
    for need, limit in ((spec.cpus, team.cpus_max), (spec.gpus, team.gpus_max)):
        if limit and need * many > limit + 1e-6:
            return "needs more than its team's limit"
    fitting = [
        kind
        for kind in types.values()
        if (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
        and (spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.ram <= kind.ram)
    ]
    if not fitting:
        return "a task fits no allowed machine type"
    zones = {zone for kind in fitting for zone in kind.zones if spec.zone in (None, zone)}
    together = (spec.gang or spec.daemon) and spec.spread and spec.tasks > 1
    if together and (spec.one_zone or len(zones) == 1):
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
        self.accepting: dict[str, asyncio.Future[str]] = {}
        self.new_jobs = Gather(writer, books.term, records.JOBS, "jobs")
        self.new_ends = Gather(writer, books.term, records.ENDS, "ends")
        self.news = SharedRead(self._read_news)
        self.revision = 0  # up to which jobs accepted elsewhere are known
        self.homes: dict[str, dict[str, None]] = {}  # record -> its jobs that are not archived
        self.ends_left: dict[str, set[str]] = {}  # record of final states -> the same
        self.archiving: set[str] = set()  # records that are being written without some jobs
        self.dividing: set[str] = set()  # records that have become too large, see _divide()
        self.twins: dict[str, str] = {}  # job -> a second record that holds it, to be trimmed
        self.tasks: set[asyncio.Task[None]] = set()

    # --- records -------------------------------------------------------------
    def load(self, live: list[Item], done: list[Item], revision: int) -> None:
        self.revision = revision
        for item in live:
            self.writer.versions[item.key] = item.version
        # Jobs before their ends, and records that hold several before their twins.
        for item in live:
            if item.key.startswith(records.JOBS):
                for record in item.value["jobs"]:
                    self.adopt(record, item.key)
        for item in live:
            if item.key.startswith(records.JOB):
                self.adopt(item.value, item.key)
        for item in live:
            if item.key.startswith(records.ENDS):
                for job_id, standing, _ in item.value["ends"]:
                    if job_id in self.books.jobs:
                        self._final(self.books.jobs[job_id], Standing(standing), item.key)
                if item.key not in self.ends_left:
                    self.writer.offer_drop(item.key)
        for item in done:
            self.writer.versions[item.key] = item.version
            job = self.books.jobs.get(item.key.removeprefix(records.DONE).rpartition("/")[0])
            if job is None:
                self.writer.offer_drop(item.key)
                continue
            job.done_keys.add(item.key)
            for low, high in item.value["done"]:
                job.done.add(low, high)
                job.stored.add(low, high)
                job.todo.remove(low, high)

    def adopt(self, record: dict[str, Any], home: str) -> Job:
        """A job that stands in the store, whoever wrote it there."""
        spec = names.spec_from_record(record)
        job = self.books.jobs.get(spec.id)
        if job is None:
            now = asyncio.get_running_loop().time()
            job = self.books.jobs[spec.id] = Job(spec, now - max(0.0, self.wall() - spec.submitted))
            job.home = home
            self.homes.setdefault(home, {})[spec.id] = None
            self.books.last_arrival = now
            self.on_change()
        elif job.home != home:
            # Accepted here and, while no answer of ours got through, elsewhere as well: the
            # record that holds it alone goes; of two that hold others too, one is written anew.
            shared = not home.startswith(records.JOB)
            twin = job.home if shared and job.home.startswith(records.JOB) else home
            if twin == job.home:
                del self.homes[job.home]
                job.home = home
                self.homes.setdefault(home, {})[spec.id] = None
            self.twins[spec.id] = twin
            self.writer.offer(f"twin {twin}", lambda: self._trim(twin))
        return job

    def _divide(self, home: str, here: list[Job]) -> None:
        """A record from a time of larger values can't be written as it is any more: most of its
        jobs get records of their own first, and then it is written without them. Until then they
        stand in two, which harms nobody, whoever leads."""
        if home in self.dividing:
            return
        self.dividing.add(home)
        limit = self.writer.value_limit - json_size({"jobs": []})
        sizes = [json_size(names.spec_to_record(job.spec)) + 1 for job in here]
        # One that no record can hold any more stays where it is until it is over.
        room = limit - sum(size for size in sizes if size > limit)
        moving = []
        for job, size in zip(here, sizes, strict=True):
            if size <= room:
                room -= size
            elif size <= limit:
                moving.append(job)
        self._spawn(self._move(home, moving))

    async def _move(self, home: str, jobs: list[Job]) -> None:
        try:
            entries = [self.new_jobs.add(names.spec_to_record(job.spec)) for job in jobs]
            for job, stored in zip(jobs, entries, strict=True):
                key = await stored
                del self.homes[home][job.spec.id]
                job.home = key
                self.homes.setdefault(key, {})[job.spec.id] = None
                self.twins[job.spec.id] = home
            self.writer.offer(f"twin {home}", lambda: self._trim(home))
        finally:
            self.dividing.discard(home)

    def _trim(self, key: str) -> Change | None:
        """A record without the jobs that have their home elsewhere."""
        if key in self.archiving:
            return None  # written without them anyway; offered again once that is done
        rest = [names.spec_to_record(self.books.jobs[i].spec) for i in self.homes.get(key, ())]
        if rest and json_size({"jobs": rest}) > self.writer.value_limit:
            return None  # offered again when one of them is archived
        change = Change({}, [Put(key, {"jobs": rest}) if rest else Drop(key)])
        return change.then(lambda: self._trimmed(key))

    def _trimmed(self, key: str) -> None:
        for job_id in [job_id for job_id, twin in self.twins.items() if twin == key]:
            del self.twins[job_id]
            if job_id in self.books.jobs:
                self.archive_if_over(self.books.jobs[job_id])

    def _final(self, job: Job, standing: Standing, end: str) -> None:
        if standing is Standing.DONE:
            job.mark_all_done()
            job.enter(JobPhase.DONE)
        else:
            job.enter(JobPhase.CANCELLED)
        job.end = end
        self.ends_left.setdefault(end, set()).add(job.spec.id)

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
            # Whatever a repetition carries, a job that was accepted stays so: also one that
            # only the store knows of.
            return await self._read(spec.id) or (422, {"error": why})
        record = names.spec_to_record(spec)
        # Neither archived, nor accepted by another controller.
        absent = {records.PAST + spec.id: 0, records.JOB + spec.id: 0}
        pending = self.accepting[spec.id] = self.new_jobs.add(record, absent)
        try:
            home = await pending
        except ConflictError:
            # Another controller accepted it, or it is over already.
            found = await self._read(spec.id)
            return found if found is not None else NOT_NOW
        finally:
            self.accepting.pop(spec.id, None)
        self.adopt(record, home)
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
        """Ask the store itself; what is found there becomes known here."""
        await self.news.fresh()
        known = await self._known(job_id)
        if known is not None:
            return known
        past = await self.store.get(records.PAST + job_id)
        if past is None:
            return None
        standing = Standing(past.value["standing"])
        self._remember(job_id, standing)
        return 200, names.job_status(job_id, standing, past.value.get("done", 0))

    def _remember(self, job_id: str, standing: Standing) -> None:
        self.books.past[job_id] = standing
        if len(self.books.past) > c.KNOWN_JOBS:
            del self.books.past[next(iter(self.books.past))]

    async def query(self, job_id: str) -> Answer:
        known = await self._known(job_id) or await self._read(job_id)
        return known if known is not None else (404, None)

    def told(self, job_id: str) -> Answer | None:
        """What can be told at once, from memory: nearly all questions are answered so."""
        job = self.books.jobs.get(job_id)
        return (200, self.status(job)) if job is not None and job.settling is None else None

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
        await self._cancel(job)
        return 200, self.status(job)

    async def _cancel(self, job: Job) -> None:
        while not job.over:
            if job.settling is not None:
                await asyncio.wait([job.settling])
                continue
            # Its tasks end now, not once the answer of the store is here: that may be lost while
            # another controller has read the cancellation and told it, and as long as workers
            # are answered without the stop, their leases go on.
            job.enter(JobPhase.CANCELLING)
            self.on_cancelled(job)
            await self._settle(job, Standing.CANCELLED)

    # --- fates ---------------------------------------------------------------
    async def _settle(self, job: Job, standing: Standing) -> None:
        """Store the final state; only then does anyone hear of it."""
        entry = [job.spec.id, standing.value, len(job.done)]
        job.settling = self.new_ends.add(entry)
        try:
            end = await job.settling
        finally:
            job.settling = None
        self._final(job, standing, end)
        log.info("job %s is %s", job.spec.id, standing.name.lower())
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
            self.writer.offer(records.DONE + job.spec.id, lambda: self._done_change(job), must=True)

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
        key = records.done_key(job.spec.id, block, self.block)
        change = Change({}, [Put(key, record)])

        def stored() -> None:
            job.done_keys.add(key)
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
        if job.over:
            self.archive_if_over(job)
        elif job.phase is JobPhase.CANCELLING:
            if job.settling is None:
                self._spawn(self._cancel(job))
        elif len(job.done) >= job.spec.tasks:
            self.note_done(job)

    def archive_if_over(self, job: Job) -> None:
        if self._can_go(job) and self.books.jobs.get(job.spec.id) is job:
            self.writer.offer(job.home, lambda: self._archive_change(job.home))

    def _can_go(self, job: Job) -> bool:
        """Whether it may be archived: while a second record holds it, or is about to, a new leader
        that reads that one would bring it back to life."""
        alone = job.spec.id not in self.twins and job.home not in self.dividing
        return job.over and not job.attempts and not job.writing and alone

    def _archive_change(self, home: str) -> Change | None:
        """Some of a record's jobs that are over, and the record without them."""
        if home in self.archiving:
            return None  # looked after again once that is done
        here = [self.books.jobs[job_id] for job_id in self.homes.get(home, ())]
        over: list[Job] = []
        ops_left = self.params.state.txn_ops - 1  # one is for the record itself
        for job in filter(self._can_go, here):
            twin = records.JOB + job.spec.id
            ops_left -= 1 + (twin in self.writer.versions and twin != home)
            if ops_left < 0 or len(over) == c.ARCHIVE_AT_ONCE:
                break
            over.append(job)
        if not over:
            return None
        rest = [names.spec_to_record(job.spec) for job in here if job not in over]
        if rest and json_size({"jobs": rest}) > self.writer.value_limit:
            self._divide(home, here)
            return None  # looked after again once what is left of the record fits
        ops: list[Put | Drop] = [
            Put(records.PAST + job.spec.id, records.final_record(job.standing, len(job.done)))
            for job in over
        ]
        ops.append(Put(home, {"jobs": rest}) if rest else Drop(home))
        # Another controller may have accepted it as well: that record would bring the job back
        # to life after it has been archived. One that we don't know of fails the change.
        keys = [records.JOB + job.spec.id for job in over]
        twins = {key: 0 for key in keys if key not in self.writer.versions}
        ops += [Drop(key) for key in keys if key in self.writer.versions and key != home]
        self.archiving.add(home)
        for job in over:
            job.writing = True
        change = Change(twins, ops)
        change.done.add_done_callback(lambda done: self._archived(home, over, done))
        return change

    def _archived(self, home: str, over: list[Job], done: asyncio.Future[int]) -> None:
        self.archiving.discard(home)
        if home in self.twins.values():
            self.writer.offer(f"twin {home}", lambda: self._trim(home))
        for job in over:
            job.writing = False
        if done.cancelled() or done.exception() is not None:
            for job in over:
                self._spawn(self._find_twin(job.spec.id))
            return
        for job in over:
            job_id = job.spec.id
            self.writer.versions.pop(records.PAST + job_id, None)  # never written again
            self._remember(job_id, job.standing)
            del self.books.jobs[job_id]
            del self.homes[home][job_id]
            self.ends_left[job.end].discard(job_id)
            if not self.ends_left[job.end]:
                del self.ends_left[job.end]
                self.writer.offer_drop(job.end)
            for key in job.done_keys:
                self.writer.offer_drop(key)
        if not self.homes[home]:
            del self.homes[home]

    async def _find_twin(self, job_id: str) -> None:
        """Archiving it failed: learn what stands in the store before it is tried again."""
        try:
            for key in (records.JOB + job_id, records.PAST + job_id):
                item = await self.store.get(key)
                if item is None:
                    self.writer.versions.pop(key, None)
                else:
                    self.writer.versions[key] = item.version
        except StoreError as exc:
            log.debug("reading the records of %s: %s", job_id, exc)

    def _twin(self, item: Item) -> None:
        """A job as another controller accepted it: new to us, or known in another record."""
        self.writer.versions[item.key] = item.version
        self.adopt(item.value, item.key)

    # --- following the store -------------------------------------------------
    async def follow(self) -> None:
        """Learn of jobs that other controllers accepted while they could not reach us."""
        while True:
            try:
                await self._take(await self.store.watch(records.JOB, self.revision))
            except StoreError as exc:
                log.debug("watching jobs: %s", exc)
                await asyncio.sleep(c.STORE_RETRY_S)

    async def _read_news(self) -> None:
        await self._take(await self.store.news(records.JOB, self.revision))

    async def _take(self, news: tuple[int, list[StoreChange]] | None) -> None:
        if news is None:
            items, self.revision = await self.store.scan(records.JOB)
        else:
            revision, changes = news
            items = [Item(x.key, x.value, x.version) for x in changes if not x.deleted]
            self.revision = max(self.revision, revision)
        for item in items:
            # Whoever wrote it made sure that it was not archived, and we alone archive.
            if item.key.removeprefix(records.JOB) not in self.books.past:
                self._twin(item)

    def close(self) -> None:
        self.new_jobs.close()
        self.new_ends.close()
        for task in list(self.tasks):
            task.cancel()
