"""Stands in for the duties of a leader when it does all work itself."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from peathall.autoscaling.actions import CloudActions
from peathall.store.deferred_writes import DeferredWriter


class NoDuties:
    """Nothing is delegated: the leader acts on the cloud and cleans up itself."""

    cloud: CloudActions | None = None
    compaction: DeferredWriter | None = None
    cleanup: DeferredWriter | None = None

    async def pending_deletions(self) -> set[str]:
        """None: no holder deletes machines; the state service is not asked."""
        return set()

    def loops(self, on_retired: Callable[[], None]) -> Iterable[Coroutine[Any, Any, None]]:
        """Nothing runs."""
        return ()
