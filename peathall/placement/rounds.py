"""Records of rounds: the intent to start tasks, stored before any start command is sent.

    round/TERM-N   {"a": [[job, attempt number, machine, task ranges], ...]}

A record stays until none of its attempts can exist any more. A record that names many more attempts
than still exist is compacted, so that the stored data is bounded by the number of live attempts.
Scattered tasks take more bytes than consecutive ones: a record is not compacted as long as the
compacted one would exceed the limit of a value.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from functools import partial
from itertools import groupby

from msgspec import Struct

from peathall import constants
from peathall.cluster.job import Attempt, AttemptPhase
from peathall.cluster.machine import MachinePhase
from peathall.cluster.ranges import Ranges
from peathall.cluster.state import ClusterState
from peathall.placement.plan import Assignment
from peathall.placement.round_entries import RoundEntry, from_record, split_entries, to_record
from peathall.protocol.codec import json_size
from peathall.protocol.state_service import KeyValue, Put
from peathall.store.deferred_writes import DeferredWriter
from peathall.store.mutation import Mutation
from peathall.store.writer import Writer

ROUND_PREFIX = "round/"


class RecordPart(Struct):
    """One of the records in which a round is stored."""

    key: str
    attempts: list[Attempt]  # named by the record
    stored: asyncio.Future[int]  # completes once the record is stored; fails with a `StoreError`

    def shares_gang_with(self, later: RecordPart) -> bool:
        """Whether a gang too large for one record continues in the later part."""
        last = self.attempts[-1].job
        return last.spec.gang and later.attempts[0].job is last


def group_by_gang(parts: list[RecordPart]) -> Iterator[list[RecordPart]]:
    """Group the parts, in order, so that parts that share a gang are together: the gang starts only
    once all of them are stored."""
    group: list[RecordPart] = []
    for part in parts:
        if group and not group[-1].shares_gang_with(part):
            yield group
            group = []
        group.append(part)
    if group:
        yield group


class RecordSize(Struct):
    """The number of attempts that a stored record names."""

    attempts: int
    since: float  # monotonic time at which it was written, read, or too large to be compacted


class RoundRecords:
    """Writes, reads, compacts and deletes the records of rounds."""

    def __init__(
        self, cluster: ClusterState, writer: Writer, compaction_writer: DeferredWriter | None = None
    ) -> None:
        self.cluster = cluster
        self.writer = writer
        self.compaction_writer = compaction_writer or writer  # writer for compaction and deletion
        self._record_count = 0
        self._sizes: dict[str, RecordSize] = {}

    def load(self, items: list[KeyValue], now: float) -> Iterator[None]:
        """Allocate all attempts that may still exist, from the records found after a failover. The
        caller may run other coroutines at each yield."""
        for item in items:
            self.writer.versions[item.key] = item.version
            entries = from_record(item.value)
            named = sum(high - low for entry in entries for low, high in entry.tasks)
            self._sizes[item.key] = RecordSize(named, now)
            for entry in entries:
                self._restore_attempts(entry, item.key, now)
            yield
        for item in items:
            if item.key not in self.cluster.rounds:
                self.delete(item.key)

    def _restore_attempts(self, entry: RoundEntry, key: str, now: float) -> None:
        """Allocate the attempts of an entry that was read from a record."""
        job = self.cluster.jobs.get(entry.job)
        if job is None:
            return  # the job is archived, which happens only after all its attempts are gone
        machine = self.cluster.machine(entry.machine, "", "", False, MachinePhase.RECOVERED, now)
        for task in Ranges(entry.tasks):
            if task in job.done:
                continue  # a done task is never started again
            if task in job.attempts:
                # Records of two attempts name the task. The later attempt was made only after the
                # earlier one was proven gone.
                if job.attempts[task].number >= entry.attempt:
                    continue
                self.cluster.release(job.attempts[task], now)
            attempt = self.cluster.allocate(job, task, entry.attempt, machine, key)
            attempt.enter(AttemptPhase.SENT, now)

    def write(self, assignments: list[Assignment], now: float) -> list[RecordPart]:
        """Allocate the capacity of the assignments and submit their records to the writer."""
        parts = []
        for entries in split_entries(self._entries(assignments), self.writer.value_limit):
            self._record_count += 1
            key = f"{ROUND_PREFIX}{self.cluster.term:08d}-{self._record_count:07d}"
            attempts = [attempt for entry in entries for attempt in self._allocate(entry, key)]
            self._sizes[key] = RecordSize(len(attempts), now)
            stored = self.writer.submit([Put(key, to_record(entries))])
            parts.append(RecordPart(key, attempts, stored))
        return parts

    def _entries(self, assignments: list[Assignment]) -> list[RoundEntry]:
        entries = []
        for job_id, group in groupby(assignments, key=lambda assignment: assignment.job):
            pending = iter(self.cluster.jobs[job_id].pending)
            number = self.cluster.new_attempt_number()
            for assignment in group:
                tasks = Ranges()
                for _ in range(assignment.count):
                    tasks.add(next(pending))
                entries.append(RoundEntry(job_id, number, assignment.machine, tasks.to_record()))
        return entries

    def _allocate(self, entry: RoundEntry, key: str) -> list[Attempt]:
        job, machine = self.cluster.jobs[entry.job], self.cluster.machines[entry.machine]
        return [
            self.cluster.allocate(job, task, entry.attempt, machine, key)
            for task in Ranges(entry.tasks)
        ]

    def delete(self, key: str) -> None:
        """Delete a record, none of whose attempts can exist any more."""
        self._sizes.pop(key, None)
        if key in self.writer.versions:
            self.compaction_writer.defer_delete(key)

    def compact(self, now: float) -> None:
        """Queue deferred compaction of old records that name many more attempts than may exist."""
        for key, attempts in self.cluster.rounds.items():
            size = self._sizes.get(key)
            if (
                size is not None
                and now - size.since > constants.ROUND_COMPACT_AGE_S
                and size.attempts >= constants.ROUND_COMPACT_FACTOR * len(attempts)
            ):
                self.compaction_writer.defer(
                    f"compact {key}", partial(self.compaction_mutation, key, now)
                )

    def compaction_mutation(self, key: str, now: float) -> Mutation | None:
        """The mutation that reduces the record to the attempts that still exist; None if there are
        none, if the record is deleted, or if the reduced record would be too large."""
        attempts = list(self.cluster.rounds.get(key, ()))
        if not attempts or key not in self.writer.versions:
            return None
        compacted = to_record(live_entries(attempts))
        if json_size(compacted) > self.writer.value_limit:
            if key in self._sizes:
                self._sizes[key].since = now  # tried again after ROUND_COMPACT_AGE_S
            return None
        # Conditional on the current version: a record deleted meanwhile must not be created again.
        unchanged = {key: self.writer.versions[key]}
        mutation = Mutation(unchanged, [Put(key, compacted)])

        def stored() -> None:
            if key in self._sizes:
                self._sizes[key] = RecordSize(len(attempts), now)

        return mutation.then(stored)


def live_entries(attempts: list[Attempt]) -> list[RoundEntry]:
    """Entries that name exactly these attempts."""
    tasks: dict[tuple[str, int, str], Ranges] = {}
    for attempt in attempts:
        entry_key = (attempt.job.spec.id, attempt.number, attempt.machine)
        tasks.setdefault(entry_key, Ranges()).add(attempt.task)
    return [RoundEntry(*entry_key, ranges.to_record()) for entry_key, ranges in tasks.items()]
