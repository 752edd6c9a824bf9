"""Writes that wait until the rate limit has capacity to spare."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from peathall import constants
from peathall.store.mutation import Batch, Mutation

# Makes a mutation of the latest state when it is about to be written; None if there is nothing
# to write any more.
MutationMaker = Callable[[], Mutation | None]


class DeferredWriter(Protocol):
    """Accepts writes that may wait: the leader's writer, or the holder of a duty."""

    def defer(self, name: str, make: MutationMaker, bounded: bool = False) -> None:
        """Write what `make` returns once there is capacity for it.

        Deferred again under the same name before that, it is written once. The wait of a
        `bounded` write is limited.
        """

    def defer_delete(self, key: str) -> None:
        """Delete a record once there is capacity for it."""


class DeferredWrites:
    """Queue of deferred writes by name, in the order in which they were deferred."""

    def __init__(self) -> None:
        self.makers: dict[str, MutationMaker] = {}
        self._bounded_since: dict[str, float] = {}  # name -> time at which it was deferred

    def __bool__(self) -> bool:
        return bool(self.makers)

    def __contains__(self, name: str) -> bool:
        return name in self.makers

    def add(self, name: str, make: MutationMaker, bounded: bool, now: float) -> None:
        """Defer a write under a name that is not in the queue."""
        self.makers[name] = make
        if bounded:
            self._bounded_since[name] = now

    def clear(self) -> None:
        """Give up all of them."""
        self.makers.clear()
        self._bounded_since.clear()

    def move_to(self, batch: Batch, spare_ops: float, now: float) -> Mutation | None:
        """Add writes to the batch while it has space and fewer than `spare_ops` operations are
        added. Without any to spare, add the one bounded write that has waited for too long.

        Returns a mutation that was made but does not fit. It must be queued: its maker takes
        it for written.
        """
        overdue = self._overdue(now) if spare_ops < 1 else None
        for name in list(self.makers) if overdue is None else [overdue]:
            if batch.is_full or (spare_ops < 1 and overdue is None):
                return None
            self._bounded_since.pop(name, None)
            mutation = self.makers.pop(name)()
            if mutation is None:
                continue
            spare_ops -= len(mutation.ops)
            if not batch.add(mutation):
                return mutation
        return None

    def _overdue(self, now: float) -> str | None:
        """The bounded write that has waited longest, if it has waited for too long."""
        name, since = next(iter(self._bounded_since.items()), ("", now))
        return name if now - since > constants.DEFERRED_MAX_WAIT_S else None
