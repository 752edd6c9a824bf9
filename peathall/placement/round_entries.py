"""Entries of the records of rounds, and their division into records that the state service accepts.

A record holds a list of entries, [job, attempt number, machine, task ranges]. A machine may have
several entries of one attempt number, in one record or in several: together they name its tasks.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import Any

import msgspec
from msgspec import Struct

from peathall.protocol.codec import json_size


class RoundEntry(Struct, array_like=True, frozen=True):
    """Tasks of a job to be started by one machine; stored as a list of the fields in this order."""

    job: str
    attempt: int
    machine: str
    tasks: list[list[int]]


def to_record(entries: Iterable[RoundEntry]) -> dict[str, Any]:
    """The stored value for the entries."""
    return {"a": msgspec.to_builtins(list(entries))}


def from_record(value: dict[str, Any]) -> list[RoundEntry]:
    """The entries of a stored value."""
    return msgspec.convert(value["a"], list[RoundEntry])


EMPTY_RECORD_BYTES = json_size(to_record([]))


def split_entries(entries: list[RoundEntry], limit: int) -> list[list[RoundEntry]]:
    """Split a round's entries into parts whose records have at most `limit` bytes.

    The entries of one job stay in one part if they fit, so that the intent of a gang is stored
    atomically. An entry that is too large for any part is divided. Only a part of a single entry
    with a single range may exceed the limit.
    """
    parts: list[list[RoundEntry]] = [[]]
    size = EMPTY_RECORD_BYTES
    room = limit - EMPTY_RECORD_BYTES
    for _, group in groupby(entries, key=lambda entry: entry.job):
        job_entries = list(group)
        sizes = [_entry_bytes(entry) for entry in job_entries]
        if max(sizes) > room:
            job_entries = [piece for entry in job_entries for piece in divide_entry(entry, room)]
            sizes = [_entry_bytes(entry) for entry in job_entries]
        whole = sum(sizes)
        if parts[-1] and size + whole > limit and EMPTY_RECORD_BYTES + whole <= limit:
            parts.append([])
            size = EMPTY_RECORD_BYTES
        for entry, entry_size in zip(job_entries, sizes, strict=True):
            if parts[-1] and size + entry_size > limit:
                parts.append([])
                size = EMPTY_RECORD_BYTES
            parts[-1].append(entry)
            size += entry_size
    return [part for part in parts if part]


def divide_entry(entry: RoundEntry, limit: int) -> Iterator[RoundEntry]:
    """Divide an entry into entries of at most `limit` bytes, each with at least one range."""
    if _entry_bytes(entry) <= limit:
        yield entry
        return
    without_tasks = _entry_bytes(_with_tasks(entry, []))
    ranges: list[list[int]] = []
    size = without_tasks
    for span in entry.tasks:
        span_size = json_size(span) + 1  # with the comma
        if ranges and size + span_size > limit:
            yield _with_tasks(entry, ranges)
            ranges = []
            size = without_tasks
        ranges.append(span)
        size += span_size
    yield _with_tasks(entry, ranges)


def _with_tasks(entry: RoundEntry, tasks: list[list[int]]) -> RoundEntry:
    return RoundEntry(entry.job, entry.attempt, entry.machine, tasks)


def _entry_bytes(entry: RoundEntry) -> int:
    """Bytes of an entry in a record, with the comma that separates it from the next one."""
    return json_size(msgspec.to_builtins(entry)) + 1
