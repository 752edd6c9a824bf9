"""Jobs at the leader: accept, query, cancel, and their records."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from peathall import constants
from peathall.cluster.job import Job, JobPhase
from peathall.cluster.state import ClusterState
from peathall.config.platform import Params
from peathall.jobs import records
from peathall.jobs.archive import JobArchive
from peathall.jobs.background import BackgroundTasks
from peathall.jobs.remote import NoRemoteJobs, RemoteJobs
from peathall.protocol.cloud import MachineType
from peathall.protocol.jobs import (
    JobSpec,
    JobStatus,
    encode_job_status,
    spec_from_record,
    spec_to_record,
)
from peathall.store.client import (
    ConflictError,
    KeyValue,
    Put,
    SingleFlightRead,
    StoreClient,
    StoreError,
    WatchEvent,
)
from peathall.store.shared_records import SharedRecordWriter
from peathall.store.writer import DeferredWriter, Mutation, Writer

log = logging.getLogger("peathall.jobs")

JobResponse = tuple[int, dict[str, Any] | None]
RETRY_LATER: JobResponse = (503, None)


def rejection_reason(spec: JobSpec, types: dict[str, MachineType], params: Params) -> str | None:
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
    """The leader's answers to users, and the states of jobs that it stores."""

    def __init__(
        self,
        cluster: ClusterState,
        params: Params,
        store: StoreClient,
        writer: Writer,
        on_change: Callable[[], None],
        on_cancelled: Callable[[Job], None],
        wall: Callable[[], float],
        cleanup: DeferredWriter | None = None,
        remote: RemoteJobs | None = None,
    ) -> None:
        self.remote = remote or NoRemoteJobs()
        self.cleanup = cleanup or writer
        self.cluster = cluster
        self.params = params
        self.store = store
        self.writer = writer
        self.on_change = on_change
        self.on_cancelled = on_cancelled
        self.wall = wall
        self.block = records.block_tasks(params.state.value_kb)
        self.accepting: dict[str, asyncio.Future[str]] = {}
        self.new_jobs = SharedRecordWriter(writer, cluster.term, records.JOBS, "jobs")
        self.new_ends = SharedRecordWriter(writer, cluster.term, records.ENDS, "ends")
        self.external_jobs = SingleFlightRead(self._read_external_jobs)
        self.revision = 0  # up to which jobs accepted elsewhere are known
        self.background = BackgroundTasks()
        self.archive = JobArchive(
            cluster,
            params.state.changes_at_once,
            store,
            writer,
            self.new_jobs,
            self.background,
            self.cleanup,
        )

    # --- records -------------------------------------------------------------
    def load(self, live: list[KeyValue], done: list[KeyValue], revision: int) -> None:
        """After a take-over: all live jobs, their ends and their done tasks."""
        self.revision = revision
        for item in live:
            self.writer.versions[item.key] = item.version
        # Jobs before their ends, and records that hold several before their duplicates.
        for item in live:
            if item.key.startswith(records.JOBS):
                for record in item.value["jobs"]:
                    self.register(record, item.key)
        for item in live:
            if item.key.startswith(records.JOB):
                self.register(item.value, item.key)
        for item in live:
            if item.key.startswith(records.ENDS):
                self._load_ends(item)
        for item in done:
            self._load_done(item)

    def _load_ends(self, item: KeyValue) -> None:
        for entry in records.read_ends(item.value):
            if entry.job in self.cluster.jobs:
                self._apply_final_status(self.cluster.jobs[entry.job], entry.status, item.key)
        if item.key not in self.archive.ends_left:
            self.cleanup.defer_delete(item.key)

    def _load_done(self, item: KeyValue) -> None:
        self.writer.versions[item.key] = item.version
        job = self.cluster.jobs.get(item.key.removeprefix(records.DONE).rpartition("/")[0])
        if job is None:
            self.cleanup.defer_delete(item.key)
            return
        job.done_keys.add(item.key)
        for low, high in records.read_done(item.value).done:
            job.done.add(low, high)
            job.stored_done.add(low, high)
            job.pending.remove(low, high)

    def register(self, record: dict[str, Any], record_key: str) -> Job:
        """A job that stands in the store, whoever wrote it there."""
        spec = spec_from_record(record)
        job = self.cluster.jobs.get(spec.id)
        if job is None:
            now = asyncio.get_running_loop().time()
            age = max(0.0, self.wall() - spec.submitted)
            job = self.cluster.jobs[spec.id] = Job(spec, now - age)
            self.archive.add(job, record_key)
            self.cluster.last_submission_at = now
            self.on_change()
        elif job.record_key != record_key:
            self.archive.add_duplicate(job, record_key)
        return job

    def _apply_final_status(self, job: Job, status: JobStatus, end: str) -> None:
        if status is JobStatus.DONE:
            job.mark_all_done()
            job.enter(JobPhase.DONE)
        else:
            job.enter(JobPhase.CANCELLED)
        self.archive.add_end(job, end)

    def resume_unfinished(self) -> None:
        """After the rebuild: finish what an earlier leader left half done."""
        for job in list(self.cluster.jobs.values()):
            if job.phase is JobPhase.ACTIVE:
                if len(job.done) >= job.spec.tasks:
                    self.note_done(job)
            else:
                if job.phase is JobPhase.CANCELLED:
                    self.on_cancelled(job)
                self.archive.archive_if_over(job)

    # --- requests ------------------------------------------------------------
    async def accept(self, spec: JobSpec) -> JobResponse:
        """A submission; answered once the job is stored."""
        known = await self._known(spec.id)
        if known is not None:
            return known
        if not self.cluster.types:
            return RETRY_LATER
        why = rejection_reason(spec, self.cluster.types, self.params)
        if why is not None:
            # Whatever a repetition carries, a job that was accepted stays so: also one that
            # only the store knows of.
            return await self._read(spec.id) or (422, {"error": why})
        record = spec_to_record(spec)
        # Neither archived, nor accepted by another controller.
        absent = {records.PAST + spec.id: 0, records.JOB + spec.id: 0}
        absent |= self.remote.accept_conditions(spec.id)
        pending = self.accepting[spec.id] = self.new_jobs.add(record, absent)
        try:
            record_key = await pending
        except ConflictError:
            # Another controller accepted it, or it is over already.
            found = await self._read(spec.id)
            return found if found is not None else RETRY_LATER
        finally:
            self.accepting.pop(spec.id, None)
        self.register(record, record_key)
        return 201, encode_job_status(spec.id, JobStatus.QUEUED)

    def knows(self, job_id: str) -> bool:
        """Whether a user of this cell has submitted a job of that name, as far as memory tells."""
        job = self.cluster.jobs.get(job_id)
        own = job is not None and not job.borrowed
        return own or job_id in self.accepting or job_id in self.cluster.archived

    async def _known(self, job_id: str) -> JobResponse | None:
        pending = self.accepting.get(job_id)
        if pending is not None:
            await asyncio.wait([pending])
        job = self.cluster.jobs.get(job_id)
        if job is not None and job.finalizing is not None:
            # Its final state may be in the store already, where another controller
            # reads and tells it: an older answer from here would take that back.
            await asyncio.wait([job.finalizing])
            job = self.cluster.jobs.get(job_id)
        if job is not None:
            return 200, self.status(job)
        status = self.cluster.archived.get(job_id)
        if status is not None:
            return 200, encode_job_status(job_id, status)
        return None

    async def _read(self, job_id: str) -> JobResponse | None:
        """Ask the store itself; what is found there becomes known here."""
        await self.external_jobs.refresh()
        known = await self._known(job_id)
        if known is not None:
            return known
        past = await self.store.get(records.PAST + job_id)
        if past is None:
            return None
        final = records.read_final(past.value)
        self.cluster.note_archived(job_id, final.status)
        return 200, encode_job_status(job_id, final.status, final.done)

    async def query(self, job_id: str) -> JobResponse:
        """A poll for a job that memory alone can't answer."""
        known = await self._known(job_id) or await self._read(job_id)
        return known if known is not None else (404, None)

    def cached_response(self, job_id: str) -> JobResponse | None:
        """What can be told at once, from memory: nearly all questions are answered so."""
        job = self.cluster.jobs.get(job_id)
        return (200, self.status(job)) if job is not None and job.finalizing is None else None

    def status(self, job: Job) -> dict[str, Any]:
        """The job's state as told to its user."""
        done = job.spec.tasks if job.phase is JobPhase.DONE else len(job.stored_done)
        running = job.running if job.phase is JobPhase.ACTIVE else 0
        return encode_job_status(job.spec.id, job.status, done, running)

    async def cancel(self, job_id: str) -> JobResponse:
        """A cancellation; answered once it is stored."""
        if job_id not in self.cluster.jobs:
            known = await self._known(job_id) or await self._read(job_id)
            if known is None:
                return 404, None
            if job_id not in self.cluster.jobs:
                return known  # over for good
        job = self.cluster.jobs[job_id]
        await self._cancel(job)
        return (200, self.status(job)) if job.is_final else RETRY_LATER

    async def _cancel(self, job: Job) -> None:
        """Until it is stored; or until it turns out that a task may still be in another cell for
        too long, in which case it is tried again each second."""
        while not job.is_final:
            if job.finalizing is not None:
                await asyncio.wait([job.finalizing])
                continue
            # Its tasks end now, not once the answer of the store is here: that may be lost while
            # another controller has read the cancellation and told it, and as long as workers
            # are answered without the stop, their leases go on.
            job.enter(JobPhase.CANCELLING)
            self.on_cancelled(job)
            if not self.remote.may_confirm_cancel(job):
                return
            await self._settle(job, JobStatus.CANCELLED)

    # --- fates ---------------------------------------------------------------
    async def _settle(self, job: Job, status: JobStatus) -> None:
        """Store the final state; only then does anyone hear of it."""
        entry = records.EndEntry(job.spec.id, status, len(job.done))
        job.finalizing = self.new_ends.add(records.to_value(entry))
        try:
            end = await job.finalizing
        finally:
            job.finalizing = None
        self._apply_final_status(job, status, end)
        log.info("job %s is %s", job.spec.id, status.name.lower())
        self.archive.archive_if_over(job)
        self.on_change()

    def note_done(self, job: Job) -> None:
        """Some tasks were reported done: store that, then tell."""
        if job.write_pending or job.phase is not JobPhase.ACTIVE:
            return
        if len(job.done) >= job.spec.tasks:
            if job.borrowed:
                self.remote.finish_borrowed(job)
                return
            job.write_pending = True
            self.background.spawn(self._finish(job))
        else:
            self.writer.defer(
                records.DONE + job.spec.id, lambda: self._done_change(job), bounded=True
            )

    async def _finish(self, job: Job) -> None:
        try:
            while job.phase is JobPhase.ACTIVE:
                if job.finalizing is not None:
                    await asyncio.wait([job.finalizing])
                else:
                    await self._settle(job, JobStatus.DONE)
        finally:
            job.write_pending = False
        self.archive.archive_if_over(job)

    def _done_change(self, job: Job) -> Mutation | None:
        """The first block with news; the others follow, one by one."""
        news = job.done.first_outside(job.stored_done)
        gone = self.cluster.jobs.get(job.spec.id) is not job  # borrowed, and over
        if news is None or gone or job.phase is not JobPhase.ACTIVE:
            return None
        block = news // self.block
        record = records.done_record(job.done, block, self.block)
        key = records.done_key(job.spec.id, block, self.block)
        change = Mutation({}, [Put(key, records.to_value(record))])

        def stored() -> None:
            job.done_keys.add(key)
            for low, high in record.done:
                job.stored_done.add(low, high)
            if job.done.first_outside(job.stored_done) is not None:
                self.note_done(job)

        return change.then(stored)

    def review(self, job: Job) -> None:
        """Every second: an end that could not be stored must not be given up."""
        if job.is_final:
            self.archive.archive_if_over(job)
        elif job.phase is JobPhase.CANCELLING:
            if job.finalizing is None:
                self.background.spawn(self._cancel(job))
        elif len(job.done) >= job.spec.tasks:
            self.note_done(job)

    def _register_duplicate(self, item: KeyValue) -> None:
        """A job as another controller accepted it: new to us, or known in another record."""
        self.writer.versions[item.key] = item.version
        self.register(item.value, item.key)

    # --- following the store -------------------------------------------------
    async def follow(self) -> None:
        """Learn of jobs that other controllers accepted while they could not reach us."""
        while True:
            try:
                await self._take(await self.store.watch(records.JOB, self.revision))
            except StoreError as exc:
                log.debug("watching jobs: %s", exc)
                await asyncio.sleep(constants.STORE_RETRY_S)

    async def _read_external_jobs(self) -> None:
        await self._take(await self.store.changes_since(records.JOB, self.revision))

    async def _take(self, news: tuple[int, list[WatchEvent]] | None) -> None:
        if news is None:
            items, self.revision = await self.store.scan(records.JOB)
        else:
            revision, changes = news
            items = [KeyValue(x.key, x.value, x.version) for x in changes if not x.deleted]
            self.revision = max(self.revision, revision)
        for item in items:
            # Whoever wrote it made sure that it was not archived, and we alone archive.
            if item.key.removeprefix(records.JOB) not in self.cluster.archived:
                self._register_duplicate(item)

    def close(self) -> None:
        """The term is over."""
        self.new_jobs.close()
        self.new_ends.close()
        self.background.close()
