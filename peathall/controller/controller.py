"""The construction of a controller from its parts, and its life cycle."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from peathall import constants
from peathall.autoscaling.machine_type_records import MACHINE_TYPES_KEY, read_machine_types
from peathall.autoscaling.provider_client import CloudClient
from peathall.config.modes import Mode
from peathall.config.platform import Settings, split_addr
from peathall.controller.health import ControllerHealth
from peathall.controller.job_requests import JobRequestRouter
from peathall.controller.leader_directory import LeaderDirectory
from peathall.controller.peer_routes import CellRoutes, DutyRoutes
from peathall.controller.routes import PublicRoutes
from peathall.controller.user_routes import UserRoutes
from peathall.controller.worker_routes import WorkerRoutes
from peathall.duties.gate import DutyGate
from peathall.duties.settings import DutySettings
from peathall.http.request_queue import RequestQueue
from peathall.http.server import HttpServer
from peathall.jobs.follower import FollowerService
from peathall.leader.context import ControllerContext
from peathall.leader.term import Leader
from peathall.leadership.election import Election
from peathall.leadership.term import LeaderTerm
from peathall.operator_config.settings import OperatorSettings
from peathall.peers.client import Peers
from peathall.peers.redirected_workers import RedirectedWorkers
from peathall.peers.server import FeatureRoutes, PeerServer
from peathall.placement.placed_tasks import PlacedTasks
from peathall.protocol.heartbeats import task_status_cache
from peathall.store.client import StoreClient
from peathall.store.errors import StoreError

if TYPE_CHECKING:
    from peathall.duties.duties import Duties

log = logging.getLogger("peathall.controller")


class Controller:
    """One process of the service: takes part in the election, serves requests, leads if elected.

    `run` calls `assemble`, which constructs the parts that need a running event loop.
    """

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        wall: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.operator = operator
        self.wall = wall  # wall-clock time, in seconds since the epoch
        self.rng = rng or random.Random()

    # --- construction --------------------------------------------------------
    def assemble(self) -> None:
        """Construct the parts and connect them, without sending or serving anything yet."""
        settings = self.settings
        self.loop = asyncio.get_running_loop()
        mode = self.operator.duty_mode
        self.store = StoreClient(
            settings.services.state,
            settings.params.state,
            1 + len(settings.peers),
            constants.LEADER_WRITE_SHARE if mode is Mode.OFF else constants.DUTY_LEADER_WRITE_SHARE,
        )
        gate = DutyGate(self.store, mode)
        self.election = Election(
            settings.name, self.store, self._lead, self.rng, gate, self.operator.cell_mode
        )
        self.cloud = CloudClient(
            settings.services.cloud, settings.params.cloud, self.election.is_leader
        )
        self.peers = Peers(settings.peers, self.election.is_leader)
        self.leaders = LeaderDirectory(settings.name, self.election, self.store, self.peers)
        self.duties = self._make_duties() if mode is not Mode.OFF else None
        self.follower_service = FollowerService(
            self.store, settings.params, self.operator.cells is not None, PlacedTasks(self.store)
        )
        self._assemble_listeners()

    def _make_duties(self) -> Duties:
        # Imported only if duties are enabled, since the import takes memory.
        from peathall.duties.duties import Duties

        return Duties(
            self.settings,
            self.operator.duties or DutySettings(),
            self.store,
            self.peers.send,
            self.election.is_leader,
            self.wall,
            self.rng,
        )

    def _assemble_listeners(self) -> None:
        """Construct the HTTP servers and their request handlers."""
        params = self.settings.params
        queue = RequestQueue()
        redirected = RedirectedWorkers()
        health = ControllerHealth(self.store, self.peers)
        router = JobRequestRouter(self.leaders, self.peers, self.follower_service, queue)
        self.public_routes = PublicRoutes(
            UserRoutes(router, queue, health, params.state.max_value_bytes, self.wall),
            WorkerRoutes(self.leaders, redirected, queue, lambda: self.public_listener.near_limit),
            health,
        )
        self.peer_server = PeerServer(
            self.election.is_leader, redirected, router.serve_forwarded, self._feature_routes()
        )
        sockets = params.machine_limits.fd_limit
        self.public_listener = HttpServer(
            self.public_routes.serve, int(sockets * constants.PUBLIC_SOCKET_SHARE)
        )
        self.peer_listener = HttpServer(
            self.peer_server.serve, int(sockets * constants.PEER_SOCKET_SHARE)
        )

    def _feature_routes(self) -> list[FeatureRoutes]:
        features: list[FeatureRoutes] = []
        if self.duties is not None:
            features.append(DutyRoutes(self.duties))
        if self.operator.cells is not None:
            features.append(CellRoutes(self.settings.name, self.leaders, self.peers))
        return features

    # --- life cycle ----------------------------------------------------------
    async def run(self) -> None:
        """Serve until cancelled; raises OSError if an address can't be listened on."""
        self.assemble()
        gc.set_threshold(constants.GC_THRESHOLD_OBJECTS)
        gc.freeze()  # objects made at startup are permanent: later collections need not scan them
        await self.peer_listener.start(*split_addr(self.settings.peer_listen))
        await self.public_listener.start(*split_addr(self.settings.listen))
        log.info(
            "controller %s: serving users and workers on %s",
            self.settings.name,
            self.settings.listen,
        )
        await asyncio.gather(
            self.election.run(),
            self.peers.ping_all(),
            self._resign_while_unreachable(),
            self._refresh_machine_types(),
            self._expire_task_statuses(),
            *([self.duties.run()] if self.duties is not None else []),
        )

    async def release_duties(self) -> None:
        """Release the duties that this controller holds, before a graceful shutdown.

        Otherwise other controllers would have to wait until its leases expire.
        """
        if self.duties is not None:
            await self.duties.release_all()

    @property
    def leader(self) -> Leader | None:
        """The leader of this process; None while this controller does not lead."""
        return self.leaders.local

    @leader.setter
    def leader(self, leader: Leader | None) -> None:
        self.leaders.local = leader

    async def _lead(self, leader_term: LeaderTerm) -> None:
        context = ControllerContext(
            settings=self.settings,
            operator=self.operator,
            store=self.store,
            cloud=self.cloud,
            leadership=self.election,
            heartbeats_elsewhere=lambda: self.peers.heartbeats_elsewhere(self.loop.time()),
            wall=self.wall,
            rng=self.rng,
            duties=self.duties,
        )
        leader = Leader(leader_term, context)
        self.leader = leader
        try:
            await leader.run()
        finally:
            self.leader = None

    # --- background loops ----------------------------------------------------
    async def _resign_while_unreachable(self) -> None:
        """As leader, resign if workers can't reach this controller but do reach others."""
        while True:
            await asyncio.sleep(constants.PING_INTERVAL_S)
            leader, now = self.leader, self.loop.time()
            if leader is None or not leader.is_active():
                continue
            health = leader.workers.health
            just_elected = now - leader.workers.failover_at < health.unreachable_after_s()
            if not just_elected and health.is_partitioned(now):
                await self.election.resign("heartbeats reach other controllers, but not this one")

    async def _refresh_machine_types(self) -> None:
        """Refresh the machine types for checking submissions while no leader is reachable."""
        while True:
            try:
                items, _ = await self.store.scan(MACHINE_TYPES_KEY)
                types = read_machine_types(items)
                if types:
                    self.follower_service.set_types(types)
            except StoreError as exc:
                log.debug(
                    "controller: machine types not refreshed, keeping the previous ones: %s", exc
                )
            await asyncio.sleep(
                constants.MACHINE_TYPES_INTERVAL_S if self.follower_service.types else 2.0
            )

    @staticmethod
    async def _expire_task_statuses() -> None:
        """Evict decoded task statuses that no heartbeat has contained lately."""
        while True:
            await asyncio.sleep(constants.TASK_STATUS_CACHE_S)
            task_status_cache.begin_generation()
