"""Stand-ins of state service and cloud provider, each run as a separate process on loopback.

    python3 bench/stand_in.py store PORT LOG
    python3 bench/stand_in.py cloud PORT LOG CONTROLLER... [--machines N] [--task-s S]

Used by bench/freezes.py, bench/cells_real.py and bench/mixed_versions.py. Each line of LOG is a
JSON object with the monotonic time. The store appends each transaction that it accepts; the cloud
appends each request to create or delete machines, and each start and early stop of a task. The
cloud's machines run workers, which send heartbeats to the controllers; every task runs for
`--task-s` seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import orjson

from peathall.http.client import HttpClient, NoAnswerError
from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.protocol import codec
from tests.sim.net import CALLER
from tests.sim.state import StateService

HOST = "127.0.0.1"
HEARTBEAT_S, BOOT_S, LEASE_S = 1.0, 0.5, 12.0
MACHINE_TYPE = {
    "label": "small", "vcpus": 4, "cards": 0, "ram_gb": 32, "cache_gb": 50, "pull_gb_per_s": 2.0,
    "rate": 1.0, "market_price": 0.3, "startup_s": 1, "wards": ["a", "b"],
}  # fmt: skip


class Log:
    """Log file of a stand-in, one JSON object per line."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def write(self, kind: str, value: dict[str, Any]) -> None:
        line = {"at": time.monotonic(), "kind": kind, **value}
        with self.path.open("ab") as file:
            file.write(orjson.dumps(line) + b"\n")


class RealLoop(asyncio.SelectorEventLoop):
    """An event loop on real time, with those attributes of the virtual loop that the stand-in of
    the state service uses."""

    rng = random.Random(1)

    @property
    def now(self) -> float:
        return self.time()


async def serve_store(loop: Any, port: int, log: Log) -> None:
    CALLER.set("")
    state = StateService(loop)
    state.page_size = 1000
    state.on_accepted = lambda raw: log.write("commit", raw)
    await HttpServer(state.handle, 1000).start(HOST, port)
    await state.expire_leases()


class Machine:
    """A provisioned machine and the worker that runs on it."""

    def __init__(self, cloud: Cloud, name: str, zone: str, spot: bool) -> None:
        self.cloud, self.name, self.zone, self.spot = cloud, name, zone, spot
        self.created_at = time.monotonic()
        self.tasks: dict[str, tuple[int, float]] = {}  # task -> attempt, end
        self.worker = asyncio.create_task(self.run_worker())

    async def run_worker(self) -> None:
        await asyncio.sleep(BOOT_S)
        clients = [HttpClient(addr) for addr in self.cloud.controllers]
        index = tick = token = 0
        epoch, last_response = 1, time.monotonic()
        # The loop checks whether the machine is deleted, since a cancelled worker may go on:
        # asyncio.wait_for of Python 3.11 loses a cancellation that arrives with the result.
        while self.name in self.cloud.machines:
            tick += 1
            now = time.monotonic()
            if now - last_response > LEASE_S:
                self.stop(list(self.tasks))
                epoch, last_response = epoch + 1, now
            statuses = [
                {"parcel": name, "try": attempt, "standing": "running"}
                if now < end
                else {"parcel": name, "try": attempt, "standing": "exited", "cause": "done"}
                for name, (attempt, end) in self.tasks.items()
            ]
            heartbeat = {
                "hall": self.name, "endpoint": "", "build": "small", "ward": self.zone,
                "standby": self.spot, "tenure": epoch, "tick": tick, "mandate": token,
                "recall_s": None, "parcels": statuses,
            }  # fmt: skip
            try:
                status, raw = await clients[index].request(
                    "POST", "/checkin", codec.encode_cbor(heartbeat), 4.0
                )
                response = codec.decode_cbor(raw) or {}
            except NoAnswerError:
                status, response = 0, {}
            if self.name not in self.cloud.machines:
                return
            if status == 200 and response["mandate"] >= token:
                token = response["mandate"]
                last_response = now
                self.carry_out(response["writs"])
                await asyncio.sleep(HEARTBEAT_S)
                continue
            leader_name = response.get("steward")
            # The leader's name ends with its index.
            index = int(leader_name[-1]) if leader_name else (index + 1) % len(clients)
            await asyncio.sleep(0.2 if leader_name else 0.5)

    def carry_out(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            name = command["parcel"]
            if command["writ"] == "start":
                start = {"machine": self.name, "task": name, "attempt": command["try"]}
                if name not in self.tasks:
                    self.cloud.log.write("start", start)
                end = time.monotonic() + self.cloud.task_s
                self.tasks.setdefault(name, (command["try"], end))
            else:
                self.stop([name])

    def stop(self, names: list[str]) -> None:
        for name in names:
            if self.tasks.pop(name, (0, 0.0))[1] > time.monotonic():
                self.cloud.log.write("stop", {"machine": self.name, "task": name})


class Cloud:
    """Creates and deletes machines, and logs each such request that it carries out."""

    def __init__(self, log: Log, controllers: list[str], machines: int, task_s: float) -> None:
        self.log, self.controllers = log, controllers
        self.capacity, self.task_s = machines, task_s
        self.machines: dict[str, Machine] = {}
        self.provisioned: dict[str, list[str]] = {}
        self.created_count = 0

    async def handle(self, request: Request) -> Response:
        if request.path == "/machine_types":
            return codec.cbor_response(200, {"builds": [MACHINE_TYPE]})
        if request.method == "GET":
            query = {k: v[0] for k, v in parse_qs(request.query).items()}
            listed = [
                {"id": m.name, "endpoint": "", "build": "small", "ward": m.zone,
                 "standby": m.spot, "standing": "running",
                 "held_s": time.monotonic() - m.created_at}
                for m in self.machines.values() if m.name > query.get("after", "")
            ]  # fmt: skip
            return codec.cbor_response(200, {"halls": listed[:500], "more": len(listed) > 500})
        raw = codec.decode_cbor_map(request.body)
        if request.path == "/hosts/delete":
            self.log.write("delete", {"machines": raw["halls"]})
            for name in raw["halls"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    machine.stop(list(machine.tasks))
                    machine.worker.cancel()
            return codec.cbor_response(200, {})
        return self.provision(raw)

    def provision(self, raw: dict[str, Any]) -> Response:
        if raw["hire"] not in self.provisioned:
            count = min(raw["how_many"], self.capacity - len(self.machines))
            if count <= 0:
                return codec.cbor_response(503, {"error": "no capacity"})
            names = []
            for _ in range(count):
                self.created_count += 1
                name = f"m-{self.created_count:06d}"
                self.machines[name] = Machine(self, name, raw["ward"], raw["standby"])
                names.append(name)
            self.provisioned[raw["hire"]] = names
        response = {"request": raw["hire"], "machines": self.provisioned[raw["hire"]]}
        self.log.write("rent", response)
        return codec.cbor_response(200, {"halls": response["machines"]})


async def main(arguments: list[str]) -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=["store", "cloud"])
    parser.add_argument("port", type=int)
    parser.add_argument("log", type=Log)
    parser.add_argument("controllers", nargs="*")
    parser.add_argument("--machines", type=int, default=40)
    parser.add_argument("--task-s", type=float, default=1.0)
    args = parser.parse_args(arguments)
    if args.role == "store":
        await serve_store(asyncio.get_running_loop(), args.port, args.log)
    cloud = Cloud(args.log, args.controllers, args.machines, args.task_s)
    await HttpServer(cloud.handle, 1000).start(HOST, args.port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    loop = RealLoop()
    asyncio.set_event_loop(loop)
    with contextlib.suppress(KeyboardInterrupt):
        loop.run_until_complete(main(sys.argv[1:]))
