"""Liveness probes of silent machines that run replicas of daemons.

The loss of a replica matters from the first second, so these machines must be found lost sooner
than others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peathall import constants
from peathall.cluster.machine import Machine, MachinePhase
from peathall.http.client import HttpClient, NoAnswerError
from peathall.workers.health import MachineHealth


class LivenessProbes:
    """Sends direct requests to machines that missed a heartbeat.

    A response proves that the machine exists, and nothing else: it neither renews the worker's
    lease nor counts as a heartbeat. After PROBE_TRIES probes without a response the machine may be
    deleted sooner than its silence alone would allow.
    """

    def __init__(self, health: MachineHealth, is_leader: Callable[[], bool]) -> None:
        self.health = health
        self.is_leader = is_leader
        self._in_flight: dict[str, asyncio.Task[None]] = {}  # by machine; cancelled by close()

    def tick(self, now: float) -> None:
        """Probe machines that have become silent, unless many have: then the network or this
        controller is more likely to be at fault."""
        silent = []
        for machine in self.health.expected_machines():
            if not self.health.heartbeat_is_overdue(machine, now):
                machine.failed_probes = 0
            elif machine.replicas and machine.phase is MachinePhase.UP and machine.addr:
                silent.append(machine)
        if not silent or not self.health.most_are_live(now):
            return
        for machine in silent:
            is_probed = machine.failed_probes >= constants.PROBE_TRIES
            if not is_probed and machine.name not in self._in_flight:
                self._in_flight[machine.name] = asyncio.create_task(self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        client = HttpClient(machine.addr, max_idle=0, may_send=self.is_leader)
        try:
            for _ in range(constants.PROBE_TRIES):
                if await self._responds(client):
                    machine.failed_probes = 0
                    return
                machine.failed_probes += 1
        finally:
            del self._in_flight[machine.name]

    @staticmethod
    async def _responds(client: HttpClient) -> bool:
        try:
            await client.request("GET", "/inspect", b"", constants.PROBE_TIMEOUT_S)
        except NoAnswerError:
            return False
        return True

    def close(self) -> None:
        """Cancel the probes in progress at the end of the term."""
        for task in self._in_flight.values():
            task.cancel()
