"""A simulated site: controllers, a state service, a cloud, workers and users on a virtual clock."""

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
from tests.sim.user_judge import UserJudge
from tests.sim.users import Users
from tests.sim.worker import HeartbeatStats, Worker, WorkerSite


class World:
    """One site and the rules that a day on it must keep; makes the parts and connects them."""

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
        # Of the controllers; a change within the list counts from their next start.
        self.settings = settings = list(settings)
        self.cell, self.size = cell, len(settings)
        self.timing = timing or Timing()
        self.network = SiteNetwork(loop, self.size, cell, self.timing)
        self.record = DayRecord(loop)
        self.registry = TaskRegistry() if registry is None else registry

        self.state = StateService(loop, self.network.service_ip(1))
        store = settings[0].params.state
        self.state.rate_limits = (store.rps, store.write_rps)
        self.state.on_invalid = lambda what: self.record.breaks("limits", what[:200])

        self.task_rules = TaskRules(self.registry, self.record, settings, self.timing.cancel_s)
        self.users = Users(self.network, self.rng, UserJudge(self.registry, self.record), settings)
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

        # What tests look at most, as the parts hold it.
        self.workers = self.cloud.workers
        self.controllers = self.controller_hosts.controllers
        self.jobs, self.results = self.registry.jobs, self.registry.results
        self.broken, self.last_response = self.record.broken, self.record.last_response
        self.accepted, self.cancelled = self.record.accepted, self.record.cancelled
        self.submitted, self.begun = self.record.submitted, self.record.begun

    def make_worker(self, name: str, kind: dict[str, Any], zone: str, spot: bool) -> Worker:
        """A machine of the cloud, not started yet."""
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
        """The context in which callbacks and tasks belong to the host."""
        return self.network.context(host)

    # --- times and counts ----------------------------------------------------
    @property
    def lease_s(self) -> float:
        """Lease of the workers."""
        return self.timing.lease_s

    @property
    def cancel_s(self) -> float:
        """Time within which a cancelled job has left all machines."""
        return self.timing.cancel_s

    @property
    def starts(self) -> int:
        """Attempts that came to machines."""
        return self.record.starts

    @property
    def troubled_until(self) -> float:
        """Until when the effects of faults excuse delays."""
        return self.record.troubled_until

    @troubled_until.setter
    def troubled_until(self, time: float) -> None:
        self.record.troubled_until = time

    # --- controllers ---------------------------------------------------------
    def leader(self) -> int | None:
        """Index of the first controller that leads, if any does."""
        return self.controller_hosts.leader()

    def crash_controller(self, index: int, back_s: float) -> None:
        """Ends a controller at once; it is started again after so many seconds."""
        self.controller_hosts.crash(index, back_s)

    def freeze_controller(self, index: int, seconds: float) -> None:
        """Nothing runs on the controller's host for so many seconds."""
        self.controller_hosts.freeze(index, seconds)

    # --- users ---------------------------------------------------------------
    def submit(
        self, job: dict[str, Any], ip: str, cancel_after: float | None = None, wait_s: float = 0.0
    ) -> asyncio.Task[None]:
        """A user at this address begins with the job after so many seconds."""
        return self.users.submit(job, ip, cancel_after, wait_s)

    def ask(
        self, method: str, path: str, raw: Any = None, at: int | None = None
    ) -> Coroutine[Any, Any, tuple[int, dict[str, Any]]]:
        """Status and body of a controller's response to a user."""
        return self.users.ask(method, path, raw, at)

    def can_run(self, job: dict[str, Any]) -> bool:
        """Whether the job is within the site's limits."""
        return self.users.can_run(job)

    # --- the rules -----------------------------------------------------------
    def check_waits(self) -> None:
        """Called every second: no array waits long beside free capacity."""
        self.task_rules.check_waits(self.workers.values())

    def check_cancelled(self) -> None:
        """No task of a cancelled job is on a machine once the time for it is over."""
        self.task_rules.check_cancelled()

    def check_served(self) -> None:
        """At the end of the day: enough of the users' jobs are done, the largest in time."""
        self.users.judge.check_served()
