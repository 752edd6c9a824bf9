"""The `cells` section of the operators' settings file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from peathall.config.modes import Mode
from peathall.config.types import Address, Name

LeaseSeconds = Annotated[float, Meta(ge=3.0, le=600.0)]


class Neighbour(Struct, frozen=True, forbid_unknown_fields=True):
    """Another cell, and the addresses at which its controllers listen for other controllers."""

    name: Name
    controller: Annotated[list[Address], Meta(min_length=1)]


class CellSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """This cell's name, its neighbours, and the lease on jobs that they borrow."""

    name: Name
    neighbour: list[Neighbour] = []
    mode: Mode = Mode.ON
    lease_s: LeaseSeconds = 30.0

    def problem(self, task_expiry_s: float) -> str | None:
        """Describe what is wrong with the section in one line; None if it is valid.

        `task_expiry_s` is how long a partitioned machine of this cell keeps its tasks.
        """
        names = [self.name, *(neighbour.name for neighbour in self.neighbour)]
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice is not None:
            return f"cells: {twice} is named twice"
        if self.lease_s < task_expiry_s:
            # With a shorter lease, a partition between cells would end tasks that survive a
            # partition of the same length between a worker and its controllers.
            return (
                f"cells.lease_s: {self.lease_s:g} must be at least {task_expiry_s:g}, the longest"
                " that a machine cut off keeps its tasks"
            )
        return None
