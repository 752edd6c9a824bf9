"""Simulated cloud provider, which provisions and deletes the workers' machines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from peathall.http.message import Request, Response
from peathall.protocol import codec
from tests.sim.day_record import DayRecord
from tests.sim.site_network import SiteNetwork
from tests.sim.worker import Worker

MACHINE_TYPES = [
    {"label": "small", "vcpus": 4, "cards": 0, "ram_gb": 32, "cache_gb": 50, "pull_gb_per_s": 2.0,
     "rate": 1.0, "market_price": 0.3, "startup_s": 6, "wards": ["a", "b"]},
    {"label": "big", "vcpus": 16, "cards": 4, "ram_gb": 128, "cache_gb": 50, "pull_gb_per_s": 2.0,
     "rate": 8.0, "market_price": 2.0, "startup_s": 8, "wards": ["a", "b"]},
]  # fmt: skip

LIST_DELAY_S = 4.0  # delay until a provisioned machine is listed
NEVER_STARTING_SHARE = 0.03  # of the provisioned machines

MakeWorker = Callable[[str, dict[str, Any], str, bool], Worker]  # name, type, zone, spot


class Cloud:
    """Keeps the site's machines and answers the controllers' requests."""

    def __init__(
        self,
        network: SiteNetwork,
        rng: random.Random,
        record: DayRecord,
        make_worker: MakeWorker,
    ) -> None:
        self.network, self.loop, self.rng, self.record = network, network.loop, rng, record
        self.make_worker = make_worker
        self.capacity = 14  # machines of all types together
        self.workers: dict[str, Worker] = {}  # by name
        self.machines_created = 0
        self.provisioned: dict[str, list[str]] = {}  # provision request -> names of its machines
        self.down_until = -1.0
        # Called with path and body of each request that is executed.
        self.on_request: Callable[[str, dict[str, Any]], None] = lambda path, raw: None
        self.rps = 1e9  # requests per second; 429 above that
        self.limit_used, self.limit_used_at = 0.0, 0.0
        self.refused = 0

    async def handle(self, request: Request) -> Response:
        """Answers a request of a controller."""
        await asyncio.sleep(0.05 + 0.05 * self.rng.random())
        if self.loop.now < self.down_until:
            return codec.cbor_response(503, {"error": "trouble"})
        if self.over_limit():
            return codec.cbor_response(429, {})
        if request.path == "/machine_types":
            return codec.cbor_response(200, {"builds": MACHINE_TYPES})
        if request.path == "/hosts" and request.method == "GET":
            return self.list_machines(request)
        raw = codec.decode_cbor_map(request.body)
        if len(raw.get("halls", ())) > 100 or raw.get("how_many", 0) > 50:
            self.record.report_violation("limits", f"{request.path} {len(raw.get('halls', ()))}")
            return codec.cbor_response(400, {})
        self.on_request(request.path, raw)
        if request.path == "/hosts/delete":
            for name in raw["halls"]:
                self.delete(name)
            return codec.cbor_response(200, {})
        return self.provision_requested(raw)

    def list_machines(self, request: Request) -> Response:
        """Answers with one page of the machines, without those provisioned just now."""
        listed = [
            {"id": w.name, "endpoint": f"{w.host.ip}:9000", "build": w.type["label"],
             "ward": w.zone, "standby": w.spot, "standing": w.state,
             "held_s": self.loop.now - w.provisioned_at}
            for w in self.workers.values() if self.loop.now - w.provisioned_at > LIST_DELAY_S
        ]  # fmt: skip
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        listed = [machine for machine in listed if machine["id"] > query.get("after", "")]
        most = min(500, int(query["most"]))
        return codec.cbor_response(200, {"halls": listed[:most], "more": len(listed) > most})

    def provision_requested(self, raw: dict[str, Any]) -> Response:
        """Provisions machines; a repeated request gets the first answer (idempotent)."""
        if raw["hire"] not in self.provisioned:
            free = self.capacity - len(self.workers)
            if free <= 0:
                return codec.cbor_response(503, {"error": "no capacity"})
            kind = next(t for t in MACHINE_TYPES if t["label"] == raw["build"])
            made = [
                self.provision(kind, raw["ward"], raw["standby"])
                for _ in range(min(free, raw["how_many"]))
            ]
            self.provisioned[raw["hire"]] = [w.name for w in made]
        return codec.cbor_response(200, {"halls": self.provisioned[raw["hire"]]})

    def over_limit(self) -> bool:
        """Whether a request exceeds the rate limit; bursts of two seconds' worth are allowed."""
        passed = self.loop.now - self.limit_used_at
        self.limit_used = max(0.0, self.limit_used - self.rps * passed)
        self.limit_used_at = self.loop.now
        if self.limit_used + 1 > 2 * self.rps:
            self.refused += 1
            return True
        self.limit_used += 1
        return False

    def provision(self, kind: dict[str, Any], zone: str, spot: bool) -> Worker:
        """Creates a machine of the type; it starts after its startup time, or never."""
        self.machines_created += 1
        worker = self.make_worker(f"m-{self.machines_created:06d}", kind, zone, spot)
        self.workers[worker.name] = worker
        if self.rng.random() > NEVER_STARTING_SHARE:
            self.loop.call_later(
                kind["startup_s"] * (0.6 + self.rng.random()), self.start_worker, worker
            )
        return worker

    def start_worker(self, worker: Worker) -> None:
        """Starts the machine, unless it was deleted or has failed meanwhile."""
        if worker.name in self.workers and worker.state == "starting":
            worker.boot()

    def spot_notice(self, worker: Worker, seconds: float) -> None:
        """Sends the machine a spot notice, and reclaims it after this time."""
        worker.spot_notice_s = seconds
        worker.heartbeat_due.set()
        self.loop.call_later(seconds, self.delete, worker.name)

    def delete(self, name: str) -> None:
        """Deletes the machine, which kills all its tasks."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()
