"""The null object for duties: the leader does all work itself."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from peathall.autoscaling.actions import CloudActions
from peathall.store.deferred_writes import DeferredWriter


class NoDuties:
    """Delegates nothing: the leader calls the cloud and cleans up records itself."""

    cloud: CloudActions | None = None
    compaction: DeferredWriter | None = None
    cleanup: DeferredWriter | None = None

    async def pending_deletions(self) -> set[str]:
        """Always empty, without a read of the state service: no holder deletes machines."""
        return set()

    def loops(self, on_retired: Callable[[], None]) -> Iterable[Coroutine[Any, Any, None]]:
        """No background work."""
        return ()
