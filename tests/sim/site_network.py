"""Addresses and timing of one simulated site."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass

from tests.sim.net import HOST, Host, VirtualLoop


@dataclass(frozen=True)
class Timing:
    """Timing of the workers, and the limits that the rules check, in seconds."""

    heartbeat_s: float = 3.0  # mean heartbeat interval of a worker
    lease_s: float = 12.0  # a worker without an answer for this time kills its tasks
    cancel_s: float = 25.0  # a cancelled job must have left all machines after this time


class SiteNetwork:
    """Addresses of a site's hosts; `cell` numbers the sites that share a network."""

    def __init__(self, loop: VirtualLoop, size: int, cell: int, timing: Timing) -> None:
        self.loop = loop
        self.size = size  # controllers
        self.cell = cell
        self.timing = timing

    def controller_ip(self, index: int) -> str:
        """Address of a controller."""
        return f"10.0.{self.cell}.{index + 1}"

    def service_ip(self, number: int) -> str:
        """Address of the state service (1) or of the cloud (2)."""
        return f"10.2.{self.cell}.{number}"

    def worker_ip(self, number: int) -> str:
        """Address of a worker."""
        return f"10.{100 + self.cell if self.cell else 1}.{number // 256}.{number % 256}"

    @staticmethod
    def context(host: Host) -> contextvars.Context:
        """A context whose callbacks and tasks run on the host."""
        context = contextvars.copy_context()
        context.run(HOST.set, host)
        return context
