"""A simulated site on a virtual clock: controllers, state service, cloud, workers and users."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Coroutine
from typing import Any

from peathall.config.platform import Settings
from peathall.http.server import HttpServer
from tests.sim.cloud import Cloud
from tests.sim.controllers import ControllerHosts
from tests.sim.day_record import DayRecord
from tests.sim.message_copies import MessageCopies
from tests.sim.net import Host, VirtualLoop
from tests.sim.site_network import SiteNetwork, Timing
from tests.sim.state import StateService
from tests.sim.task_registry import TaskRegistry
from tests.sim.task_rules import TaskRules
from tests.sim.user_rules import UserRules
from tests.sim.users import Users
from tests.sim.worker import HeartbeatStats, Worker, WorkerSite


class World:
    """One simulated site, and the rules that are checked while it runs. Creates the components
    and connects them."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        settings: list[Settings],
        cell: int = 0,
        timing: Timing | None = None,
        registry: TaskRegistry | None = None,
    ) -> None:
        self.loop, self.rng = loop, random.Random(seed)
        # One entry for each controller; a replaced entry takes effect at its next start.
        self.settings = settings = list(settings)
        self.cell, self.size = cell, len(settings)
        self.timing = timing or Timing()
        self.network = SiteNetwork(loop, self.size, cell, self.timing)
        self.record = DayRecord(loop)
        self.registry = TaskRegistry() if registry is None else registry

        self.state = StateService(loop, self.network.service_ip(1))
        store = settings[0].params.state
        self.state.rate_limits = (store.rps, store.write_rps)
        self.state.on_invalid = lambda what: self.record.report_violation("limits", what[:200])

        self.task_rules = TaskRules(self.registry, self.record, settings, self.timing.cancel_s)
        self.users = Users(self.network, self.rng, UserRules(self.registry, self.record), settings)
        self.copies = MessageCopies(self.network, self.rng)
        self.heartbeats = HeartbeatStats()
        self.worker_site = WorkerSite(
            self.network,
            self.registry,
            self.task_rules,
            self.copies,
            self.heartbeats,
            self.users.task_succeeded,
        )
        self.cloud = Cloud(self.network, self.rng, self.record, self.make_worker)
        self.controller_hosts = ControllerHosts(self.network, self.rng, settings)

        # Aliases for the data that tests read most; the components own it.
        self.workers = self.cloud.workers
        self.controllers = self.controller_hosts.controllers
        self.jobs, self.results = self.registry.jobs, self.registry.results
        self.broken, self.last_response = self.record.broken, self.record.last_response
        self.accepted, self.cancelled = self.record.accepted, self.record.cancelled
        self.submitted, self.begun = self.record.submitted, self.record.begun

    def make_worker(self, name: str, kind: dict[str, Any], zone: str, spot: bool) -> Worker:
        """Creates the worker of a newly provisioned machine, without starting it."""
        return Worker(self.worker_site, name, kind, zone, spot)

    async def begin(self) -> None:
        """Starts the state service, the cloud and all controllers."""
        services = self.context(Host(self.network.service_ip(1)))
        await self.loop.create_task(self.state.start(), context=services)
        server = HttpServer(self.cloud.handle, 1000)
        ip = self.network.service_ip(2)
        await self.loop.create_task(server.start(ip, 8443), context=self.context(Host(ip)))
        for index in range(self.size):
            self.controller_hosts.start(index)

    def context(self, host: Host) -> contextvars.Context:
        """A context whose callbacks and tasks run on the host."""
        return self.network.context(host)

    # --- times and counts ----------------------------------------------------
    @property
    def lease_s(self) -> float:
        """Duration of the workers' lease."""
        return self.timing.lease_s

    @property
    def cancel_s(self) -> float:
        """Time within which a cancelled job must have left all machines."""
        return self.timing.cancel_s

    @property
    def starts(self) -> int:
        """Number of attempts that were placed on machines."""
        return self.record.starts

    @property
    def grace_until(self) -> float:
        """End of the grace period in which the effects of faults excuse delays."""
        return self.record.grace_until

    @grace_until.setter
    def grace_until(self, time: float) -> None:
        self.record.grace_until = time

    # --- controllers ---------------------------------------------------------
    def leader(self) -> int | None:
        """Index of the first controller that is leader, or None."""
        return self.controller_hosts.leader()

    def crash_controller(self, index: int, back_s: float) -> None:
        """Crashes a controller and restarts it after `back_s` seconds."""
        self.controller_hosts.crash(index, back_s)

    def freeze_controller(self, index: int, seconds: float) -> None:
        """Freezes the controller's host: no code runs on it for this time."""
        self.controller_hosts.freeze(index, seconds)

    # --- users ---------------------------------------------------------------
    def submit(
        self, job: dict[str, Any], ip: str, cancel_after: float | None = None, wait_s: float = 0.0
    ) -> asyncio.Task[None]:
        """Starts a user at address `ip`, who submits the job after `wait_s` seconds."""
        return self.users.submit(job, ip, cancel_after, wait_s)

    def ask(
        self, method: str, path: str, raw: Any = None, at: int | None = None
    ) -> Coroutine[Any, Any, tuple[int, dict[str, Any]]]:
        """Sends a user's request; returns status and body of the response."""
        return self.users.ask(method, path, raw, at)

    def can_run(self, job: dict[str, Any]) -> bool:
        """Whether the site's admission limits allow the job."""
        return self.users.can_run(job)

    # --- the rules -----------------------------------------------------------
    def check_waits(self) -> None:
        """Checks that no array waits long while there is capacity for it; call it every second."""
        self.task_rules.check_waits(self.workers.values())

    def check_cancelled(self) -> None:
        """Checks that no task of a cancelled job is on a machine after `cancel_s`."""
        self.task_rules.check_cancelled()

    def check_served(self) -> None:
        """Checks at the end of the day that enough jobs are done and the largest began in time."""
        self.users.rules.check_served()
