"""Duties as the leader of one term uses them.

This module imports no other module of the package at run time, since a controller without duties
must not spend the memory for them.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterator
from typing import TYPE_CHECKING, Any

from peathall.store.writer import Writer

if TYPE_CHECKING:
    from peathall.duties.delegated_cloud import DelegatedCloud
    from peathall.duties.delegated_writes import DelegatedWrites
    from peathall.duties.duties import Duties


class TermDuties:
    """Delegates work of a leader to the holders of duties, for one term."""

    def __init__(self, duties: Duties, term: int, writer: Writer) -> None:
        self._duties = duties
        self._writer = writer
        self._delegation = duties.delegate(term, writer)

    @property
    def cloud(self) -> DelegatedCloud:
        """Provisions and deletes machines."""
        return self._delegation.cloud

    @property
    def compaction(self) -> DelegatedWrites:
        """Writes the compacted records of rounds."""
        return self._delegation.compaction

    @property
    def cleanup(self) -> DelegatedWrites:
        """Deletes the records of archived jobs."""
        return self._delegation.cleanup

    async def pending_deletions(self) -> set[str]:
        """Names of the machines in unfinished deletions; raises StoreError."""
        return await self._duties.pending_deletions()

    def loops(self, on_retired: Callable[[], None]) -> Iterator[Coroutine[Any, Any, None]]:
        """Background work, run until the end of the term.

        `on_retired` is called once duties are switched off, when the leader calls the cloud itself.
        """
        yield self._delegation.run()
        if self._duties.retiring:
            yield self._duties.retire(self._writer, lambda: self._act_directly(on_retired))

    def _act_directly(self, on_retired: Callable[[], None]) -> None:
        on_retired()
        self._delegation.act_directly()
