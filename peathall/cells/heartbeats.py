"""Heartbeats to the neighbouring cells, and the summary of free capacity that they carry."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from peathall import constants
from peathall.async_tasks import wait_until_set
from peathall.cells.borrower import BorrowedJobs
from peathall.cells.capacity import summarize
from peathall.cells.client import CellClient
from peathall.cells.errors import CellError
from peathall.cells.model import CapacityRow, CellHeartbeat
from peathall.cells.settings import CellSettings
from peathall.cluster.state import ClusterState
from peathall.config.modes import Mode
from peathall.placement.views import MachineView

log = logging.getLogger("peathall.cells")


class FreeMachines(Protocol):
    """Knows the free capacity of this cell's machines; implemented by the placement component."""

    def free_machines(self) -> list[MachineView]:
        """Machines that accept new tasks, with their free capacity."""


class CapacitySummary:
    """The summary of free capacity that this cell sends; cached for half a heartbeat interval."""

    def __init__(
        self,
        mode: Mode,
        cluster: ClusterState,
        machines: FreeMachines,
        clock: Callable[[], float],
    ) -> None:
        self.mode = mode
        self.cluster = cluster
        self.machines = machines
        self.clock = clock  # monotonic time
        self._rows: list[CapacityRow] = []
        self._valid_until = 0.0

    def rows(self) -> list[CapacityRow]:
        """The cached summary: computing it for thousands of machines takes milliseconds."""
        if self.mode is not Mode.ON or not self.cluster.types:
            return []
        now = self.clock()
        if now >= self._valid_until:
            self._rows = summarize(self.machines.free_machines())
            self._valid_until = now + constants.CELL_HEARTBEAT_S / 2
        return self._rows


class HeartbeatSender:
    """Sends heartbeats to each neighbour: soon after a change, otherwise at a fixed interval."""

    def __init__(
        self,
        settings: CellSettings,
        term: int,
        task_expiry_s: float,
        borrower: BorrowedJobs,
        summary: CapacitySummary,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.term = term
        self.task_expiry_s = task_expiry_s  # how long a partitioned machine keeps tasks
        self.borrower = borrower
        self.summary = summary
        self.clock = clock  # monotonic time
        self.rng = rng
        self.sequence = 0  # of the latest heartbeat; all cells share the counter
        self._due = {neighbour.name: asyncio.Event() for neighbour in settings.neighbour}

    def request_heartbeat(self, cell: str) -> None:
        """Send the cell a heartbeat soon."""
        if cell in self._due:
            self._due[cell].set()

    async def run(self, cell: CellClient, is_leader: Callable[[], bool]) -> None:
        """Send heartbeats to the cell until cancelled."""
        while True:
            await self._wait_until_due(cell)
            if is_leader():
                await self.send(cell)

    async def _wait_until_due(self, cell: CellClient) -> None:
        """Wait for a requested heartbeat or the end of the interval, which is short while a
        reservation waits for its grant."""
        due = self._due[cell.name]
        awaits_grant = self.borrower.awaits_grant(cell.name)
        pause = constants.CELL_HEARTBEAT_DELAY_S if awaits_grant else constants.CELL_HEARTBEAT_S
        if await wait_until_set(due, pause * (0.9 + 0.2 * self.rng.random())):
            await asyncio.sleep(constants.CELL_HEARTBEAT_DELAY_S)
        due.clear()

    async def send(self, cell: CellClient) -> None:
        """Send one heartbeat and apply the rulings of the response."""
        self.sequence += 1
        heartbeat = CellHeartbeat(
            self.settings.name,
            cell.name,
            self.term,
            self.sequence,
            cell.term,
            self.task_expiry_s,
            self.borrower.statuses(cell.name),
            self.summary.rows(),
        )
        sent = self.clock()
        try:
            response = await cell.heartbeat(heartbeat)
        except CellError as exc:
            log.debug("heartbeat to another cell failed: %s", exc)
            return
        cell.note_capacity(response.capacity, self.clock())
        for ruling in response.rulings:
            self.borrower.apply_ruling(cell.name, ruling, sent)
