"""The addresses, the hosts and the time limits of one simulated site."""

from __future__ import annotations

import contextvars
from dataclasses import dataclass

from tests.sim.net import HOST, Host, VirtualLoop


@dataclass(frozen=True)
class Timing:
    """Times in seconds that workers keep and that the rules allow."""

    heartbeat_s: float = 3.0  # mean interval between two heartbeats of a worker
    lease_s: float = 12.0  # a worker without an answer for so long kills its tasks
    cancel_s: float = 25.0  # a cancelled job has left all machines after so long


class SiteNetwork:
    """Addresses of a site's hosts; `cell` is its number among several sites on one network."""

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
        """The context in which callbacks and tasks belong to the host."""
        context = contextvars.copy_context()
        context.run(HOST.set, host)
        return context
