"""One controller: its listeners, its part in the election, and the way of each request."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import re
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import msgspec
import orjson

from peathall import constants
from peathall.autoscaling.autoscaler import TYPES
from peathall.autoscaling.provider_client import CloudClient
from peathall.config.modes import Mode
from peathall.config.platform import Settings, split_addr
from peathall.duties.gate import DutyGate
from peathall.duties.settings import DutySettings
from peathall.http.client import NoAnswerError
from peathall.http.message import Request, Response
from peathall.http.request_queue import RequestClass, RequestQueue
from peathall.http.server import HttpServer
from peathall.jobs import responses
from peathall.jobs.follower import FollowerService
from peathall.jobs.responses import BAD_REQUEST, NOT_FOUND, RETRY_LATER, JobResponse
from peathall.leader.term import Leader
from peathall.leadership.election import Election, LeaderTerm
from peathall.operator_config.settings import Operator
from peathall.peers.service import Peers
from peathall.protocol import codec
from peathall.protocol.cloud import machine_type_from_wire
from peathall.protocol.heartbeats import decode_heartbeat, task_status_cache
from peathall.protocol.jobs import JobSpec, decode_submission, spec_from_record, spec_to_record
from peathall.store.client import StoreClient, StoreError

if TYPE_CHECKING:
    from peathall.duties.service import Duties

log = logging.getLogger("peathall.node")

JOB_PATH = re.compile(r"/work/([^/]+)(/withdraw)?\Z")
DUTY_PATHS = ("/duty", "/duties", "/duties/waiting")
CELL_PATHS = "/cells"
CELL_STATUS = "/cells"
JOB_ID = re.compile(r"j-[0-9]{1,30}\Z")


class Controller:
    """One controller: its listeners, and where each request goes."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        wall: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.operator = operator
        self.wall = wall  # time of day
        self.rng = rng or random.Random()

    def assemble(self) -> None:
        """Make the parts, once a loop runs."""
        settings = self.settings
        self.loop = asyncio.get_running_loop()
        mode = self.operator.duty_mode
        self.store = StoreClient(
            settings.services.state,
            settings.params.state,
            1 + len(settings.peers),
            constants.LEADER_WRITE_SHARE if mode is Mode.OFF else constants.DUTY_LEADER_WRITES,
        )
        self.cloud = CloudClient(
            settings.services.cloud, settings.params.cloud, lambda: self.election.is_leader()
        )
        self.leader: Leader | None = None
        gate = DutyGate(self.store, mode)
        self.election = Election(
            settings.name, self.store, self._lead, self.rng, gate, self.operator.cell_mode
        )
        self.peers = Peers(
            settings.peers,
            self._forwarded,
            self.election.is_leader,
            [self._serve_duty, self._serve_cells],
        )
        self.duties = self._make_duties() if mode is not Mode.OFF else None
        self.started = self.loop.time()
        self.follower_service = FollowerService(
            self.store, settings.params, self.operator.cells is not None
        )
        sockets = settings.params.machine_limits.fd_limit
        self.api = HttpServer(self._serve, int(sockets * constants.CALLER_SOCKET_SHARE))
        self.request_queue = RequestQueue()
        self.back = HttpServer(self.peers.serve, int(sockets * constants.PEER_SOCKET_SHARE))

    def _make_duties(self) -> Duties:
        # Imported here only: a controller without duties does not spend the memory.
        from peathall.duties.service import Duties

        return Duties(
            self.settings,
            self.operator.duties or DutySettings(),
            self.store,
            self.peers.send,
            lambda: self.election.is_leader(),
            self.wall,
            self.rng,
        )

    async def _serve_cells(self, path: str, raw: bytes) -> tuple[int, Any] | None:
        if self.operator.cells is None or not path.startswith(CELL_PATHS):
            return None
        leader = self.leader
        if leader is None or leader.cells is None:
            if path == CELL_STATUS:
                return await self._relay_to_leader(path, raw)
            return 421, {"leader": self._known_leader()}
        if path == CELL_STATUS:
            return 200, msgspec.to_builtins(leader.cells.status(self.settings.name))
        return await leader.cells.serve(path, raw)

    async def _relay_to_leader(self, path: str, raw: bytes) -> tuple[int, Any]:
        leader_name = self._known_leader()
        if leader_name is None:
            return 503, {"error": "nobody leads"}
        try:
            status, answer = await self.peers.send(leader_name, path, raw, constants.FORWARD_S)
            return status, orjson.loads(answer)
        except (NoAnswerError, orjson.JSONDecodeError) as exc:
            return 503, {"error": str(exc)}

    async def _serve_duty(self, path: str, raw: bytes) -> tuple[int, Any] | None:
        if self.duties is None or path not in DUTY_PATHS:
            return None
        try:
            return await self.duties.serve(path, raw)
        except StoreError as exc:
            log.debug("asked about duties: %s", exc)
            return 503, None

    async def run(self) -> None:
        """Serve until the process ends."""
        self.assemble()
        gc.set_threshold(constants.GC_OBJECTS)
        gc.freeze()  # what start-up made stays: later collections need not look at it
        await self.back.start(*split_addr(self.settings.peer_listen))
        await self.api.start(*split_addr(self.settings.listen))
        log.info("%s serves users and workers on %s", self.settings.name, self.settings.listen)
        await asyncio.gather(
            self.election.run(),
            self.peers.ping_all(),
            self._watch_reach(),
            self._learn_types(),
            self._forget_task_reports(),
            *([self.duties.run()] if self.duties is not None else []),
        )

    async def release(self) -> None:
        """An orderly end: what this controller holds is taken over at once."""
        if self.duties is not None:
            await self.duties.release_all()

    # --- leading -------------------------------------------------------------
    async def _lead(self, leader_term: LeaderTerm) -> None:
        leader = Leader(
            self.settings,
            self.operator,
            self.store,
            self.cloud,
            leader_term,
            self.election.is_leader,
            self.election.step_down,
            self.wall,
            lambda: self.peers.heartbeats_elsewhere(self.loop.time()),
            self.duties,
            self.rng,
        )
        self.leader = leader
        try:
            await leader.run()
        finally:
            self.leader = None

    async def _watch_reach(self) -> None:
        """A leader that workers cannot reach, while they reach others, gives way."""
        while True:
            await asyncio.sleep(constants.PING_S)
            leader, now = self.leader, self.loop.time()
            if leader is None or not leader.is_active():
                continue
            young = now - leader.workers.failover_at < leader.workers.health.unreached_s()
            if not young and leader.workers.health.is_partitioned(now):
                await self.election.resign("workers reach others, but not us")

    async def _learn_types(self) -> None:
        """Machine types for judging jobs while no leader can be reached."""
        while True:
            try:
                item = await self.store.get(TYPES)
                if item is not None:
                    self.follower_service.set_types(
                        machine_type_from_wire(wire) for wire in item.value["builds"]
                    )
            except StoreError as exc:
                log.debug("reading machine types: %s", exc)
            await asyncio.sleep(constants.TYPES_S if self.follower_service.types else 2.0)

    @staticmethod
    async def _forget_task_reports() -> None:
        while True:
            await asyncio.sleep(constants.TASK_STATUS_CACHE_S)
            task_status_cache.begin_generation()

    # --- the way of a request ------------------------------------------------
    async def _serve(self, request: Request) -> Response:
        path, method = request.path, request.method
        if path == "/checkin":
            return await self._heartbeat(request) if method == "POST" else Response(405)
        if path == "/healthz":
            return self._healthz() if method == "GET" else Response(405)
        if path == "/work":
            return await self._submit(request) if method == "POST" else Response(405)
        match = JOB_PATH.match(path)
        if match is None:
            return codec.cbor_response(404, {"error": "no such path"})
        job_id, withdraw = match.groups()
        if method != ("POST" if withdraw else "GET"):
            return Response(405)
        if not JOB_ID.match(job_id):
            return codec.cbor_response(404, {"error": "no such job"})
        op = "cancel" if withdraw else "query"
        if not await self.request_queue.admit(
            RequestClass.WRITE if withdraw else RequestClass.QUERY
        ):
            return self._user(RETRY_LATER)
        return self._user(await self._ask({"op": op, "id": job_id}))

    def _cut_off(self, now: float) -> bool:
        """Neither store nor peers answer: others may serve, this controller can't."""
        return (
            bool(self.settings.peers)
            and not self.store.is_fresh()
            and not self.peers.heard_any(now, constants.PEER_FRESH_S)
        )

    def _healthz(self) -> Response:
        now = self.loop.time()
        young = now - self.started < constants.YOUNG_S
        return Response(503 if self._cut_off(now) and not young else 200)

    def _user(self, answer: JobResponse) -> Response:
        """An answer to a user; one that we can't serve is let go, to find another controller."""
        response = user_response(answer)
        response.close = response.status == 503 and self._cut_off(self.loop.time())
        return response

    def _known_leader(self) -> str | None:
        """Who leads, as far as that is known now: a name from before a cut helps nobody."""
        name = self.election.leader if self.store.is_fresh() else self.peers.leading()
        return None if name == self.settings.name else name

    async def _heartbeat(self, request: Request) -> Response:
        response = await self._answer_heartbeat(request)
        # More workers than sockets: they take turns, and users are not displaced. Throwing out
        # idle connections instead would now and then cut off a report on its way.
        response.close = self.api.crowded
        return response

    async def _answer_heartbeat(self, request: Request) -> Response:
        if not await self.request_queue.admit(RequestClass.HEARTBEAT):
            return codec.cbor_response(503, {"error": "too late"})
        try:
            heartbeat = decode_heartbeat(codec.cbor_map(request.body))
        except codec.MalformedError as exc:
            return codec.cbor_response(400, {"error": str(exc)})
        if self.leader is not None:
            status, answer = await self.leader.handle_heartbeat(heartbeat)
            if status == 200:
                return codec.cbor_response(200, answer)
            return codec.cbor_response(503, {"error": "not entitled now"})
        self.peers.note_redirected(
            heartbeat.machine, (heartbeat.epoch, heartbeat.sequence), self.loop.time()
        )
        leader_name = self._known_leader()
        if leader_name is None:
            return codec.cbor_response(421, {"error": "no leader"})
        return codec.cbor_response(421, {"steward": leader_name})

    async def _submit(self, request: Request) -> Response:
        if not await self.request_queue.admit(RequestClass.WRITE):
            return self._user(RETRY_LATER)
        raw: dict[str, Any] = {}
        try:
            raw = codec.cbor_map(request.body)
            spec = decode_submission(raw, self.wall())
            record = spec_to_record(spec)
            if (
                codec.json_size(record)
                > self.settings.params.state.value_kb * 1024 * constants.VALUE_FILL
            ):
                raise codec.MalformedError("too large to be kept")
        except codec.MalformedError as exc:
            return self._user(await self._malformed(raw.get("id"), str(exc)))
        return self._user(await self._ask({"op": "accept", "job": record}, spec))

    async def _malformed(self, job_id: Any, why: str) -> JobResponse:
        """What can't be accepted may still be the repetition of what was: that one stays known,
        whatever is wrong with the repetition."""
        known = NOT_FOUND
        if isinstance(job_id, str) and JOB_ID.match(job_id):
            known = await self._ask({"op": "query", "id": job_id})
        if known.status != NOT_FOUND.status:
            return known
        log.info("malformed submission: %s", why)
        return responses.malformed(why)

    async def _ask(self, message: dict[str, Any], spec: JobSpec | None = None) -> JobResponse:
        """The leader here, the leader elsewhere, or else the store itself."""
        if self.leader is not None:
            if self.leader.is_active():
                return await self._local(self.leader, message, spec)
        else:
            leader_name = self._known_leader()
            if leader_name is not None:
                try:
                    accepts = message["op"] == "accept"
                    limit = constants.FORWARD_ACCEPT_S if accepts else constants.FORWARD_S
                    answer = JobResponse(
                        *await self.peers.forward(leader_name, message, limit, constants.ACCEPT_S)
                    )
                    if answer.status != RETRY_LATER.status:
                        return answer
                except NoAnswerError as exc:
                    log.debug("forwarding: %s", exc)
        return await self._fallback(message, spec)

    async def _local(
        self, leader: Leader, message: dict[str, Any], spec: JobSpec | None
    ) -> JobResponse:
        op = message["op"]
        if op == "accept":
            return await leader.accept(spec or spec_from_record(message["job"]))
        if op == "query":
            return await leader.query(message["id"])
        return await leader.cancel(message["id"])

    async def _forwarded(self, message: dict[str, Any]) -> JobResponse:
        rank = RequestClass.QUERY if message.get("op") == "query" else RequestClass.WRITE
        if self.leader is None or not await self.request_queue.admit(rank) or self.leader is None:
            return RETRY_LATER
        try:
            return await self._local(self.leader, message, None)
        except (KeyError, msgspec.ValidationError):
            return BAD_REQUEST

    async def _fallback(self, message: dict[str, Any], spec: JobSpec | None) -> JobResponse:
        work: Awaitable[JobResponse]
        if message["op"] == "query":
            work = self.follower_service.query(message["id"])
        elif message["op"] == "accept" and spec is not None:
            work = self.follower_service.accept(spec)
        else:
            return RETRY_LATER
        try:
            return await asyncio.wait_for(work, constants.FALLBACK_S)
        except (StoreError, TimeoutError) as exc:
            log.debug("asking the store: %s", exc)
            return RETRY_LATER


def user_response(answer: JobResponse) -> Response:
    """An answer for a user as an HTTP response."""
    status, value = answer
    retry = constants.RETRY_AFTER_S if status in (429, 503, 504) else None
    return codec.cbor_response(status, value if value is not None else {}, retry)
