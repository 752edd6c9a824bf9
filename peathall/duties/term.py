"""Duties, as the leader of one term uses them.

It imports nothing of the other modules of this package: a controller without duties must not spend
the memory for them.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterator
from typing import TYPE_CHECKING, Any

from peathall.store.writer import Writer

if TYPE_CHECKING:
    from peathall.duties.delegate import DelegatedCloud
    from peathall.duties.duties import Duties
    from peathall.duties.writes import DelegatedWrites


class TermDuties:
    """Delegates work of one term's leader to the holders of duties."""

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
        """Machines in deletions that are not known to be finished; StoreError."""
        return await self._duties.pending_deletions()

    def loops(self, on_retired: Callable[[], None]) -> Iterator[Coroutine[Any, Any, None]]:
        """What runs as long as the term does. `on_retired`: duties have been taken out of use,
        and the leader acts on the cloud itself from now on."""
        yield self._delegation.run()
        if self._duties.retiring:
            yield self._duties.retire(self._writer, lambda: self._act_directly(on_retired))

    def _act_directly(self, on_retired: Callable[[], None]) -> None:
        on_retired()
        self._delegation.act_directly()
