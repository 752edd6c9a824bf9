"""Writes that are deferred until the write rate limit has spare capacity."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from peathall import constants
from peathall.store.mutation import Batch, Mutation

# Creates the mutation from the latest state just before it is written; None if there is nothing
# left to write.
MutationFactory = Callable[[], Mutation | None]


class DeferredWriter(Protocol):
    """Accepts deferrable writes: the leader's writer, or a client that sends them to a holder of a
    duty."""

    def defer(self, name: str, make: MutationFactory, bounded: bool = False) -> None:
        """Write the mutation that `make` returns once there is spare capacity.

        Writes deferred under the same name before that are written as one. The wait of a `bounded`
        write is limited.
        """

    def defer_delete(self, key: str) -> None:
        """Delete a record once there is spare capacity."""


class DeferredWrites:
    """Queue of deferred writes, with a unique name each, in the order of their arrival."""

    def __init__(self) -> None:
        self.factories: dict[str, MutationFactory] = {}
        # Name of a bounded write -> monotonic time at which it was queued.
        self._bounded_since: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self.factories)

    def __contains__(self, name: str) -> bool:
        return name in self.factories

    def add(self, name: str, make: MutationFactory, bounded: bool, now: float) -> None:
        """Queue a write under a name that is not queued yet."""
        self.factories[name] = make
        if bounded:
            self._bounded_since[name] = now

    def clear(self) -> None:
        """Discard all queued writes."""
        self.factories.clear()
        self._bounded_since.clear()

    def move_to(self, batch: Batch, spare_ops: float, now: float) -> Mutation | None:
        """Move writes to the batch until it is full or `spare_ops` operations have been added.

        Without a spare operation, only the oldest bounded write is moved, if it has waited for
        longer than DEFERRED_MAX_WAIT_S. Returns a mutation that was created but does not fit. The
        caller must queue it, since its factory treats it as written.
        """
        overdue = self._overdue(now) if spare_ops < 1 else None
        for name in list(self.factories) if overdue is None else [overdue]:
            if batch.is_full or (spare_ops < 1 and overdue is None):
                return None
            self._bounded_since.pop(name, None)
            mutation = self.factories.pop(name)()
            if mutation is None:
                continue
            spare_ops -= len(mutation.ops)
            if not batch.add(mutation):
                return mutation
        return None

    def _overdue(self, now: float) -> str | None:
        """Name of the oldest bounded write, if it has waited for longer than allowed."""
        name, since = next(iter(self._bounded_since.items()), ("", now))
        return name if now - since > constants.DEFERRED_MAX_WAIT_S else None
