"""Stand-ins of state service and cloud as processes of their own on loopback, for bench/freezes.py.

    python3 bench/stand_in.py store PORT LOG
    python3 bench/stand_in.py cloud PORT LOG CONTROLLER... [--machines N] [--task-s S]

Each writes what it accepts to LOG, a line of JSON each, with the machine's steady time. The cloud's
machines run workers, which report to the controllers and run tasks for as long as jobs say.
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
REPORT_S, BOOT_S, LEASE_S = 1.0, 0.5, 12.0
KIND = {
    "label": "small", "vcpus": 4, "cards": 0, "ram_gb": 32, "cache_gb": 50, "pull_gb_per_s": 2.0,
    "rate": 1.0, "market_price": 0.3, "startup_s": 1, "wards": ["a", "b"],
}  # fmt: skip


class Log:
    """Lines of what was accepted."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def write(self, kind: str, value: dict[str, Any]) -> None:
        line = {"at": time.monotonic(), "kind": kind, **value}
        with self.path.open("ab") as file:
            file.write(orjson.dumps(line) + b"\n")


class RealLoop(asyncio.SelectorEventLoop):
    """A loop with what the stand-in of the state service asks of the virtual one."""

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
    """A machine with its worker."""

    def __init__(self, cloud: Cloud, name: str, zone: str, spot: bool) -> None:
        self.cloud, self.name, self.zone, self.spot = cloud, name, zone, spot
        self.born = time.monotonic()
        self.tasks: dict[str, tuple[int, float]] = {}  # task -> attempt, end
        self.task = asyncio.create_task(self.live())

    async def live(self) -> None:
        await asyncio.sleep(BOOT_S)
        clients = [HttpClient(addr) for addr in self.cloud.controllers]
        at = tick = token = 0
        tenure, answered = 1, time.monotonic()
        # Cancelling alone does not end it for sure: asyncio.wait_for of Python 3.11 loses a
        # cancellation that comes together with its result.
        while self.name in self.cloud.machines:
            tick += 1
            now = time.monotonic()
            if now - answered > LEASE_S:
                self.stop(list(self.tasks))
                tenure, answered = tenure + 1, now
            parcels = [
                {"parcel": name, "try": attempt, "standing": "running"}
                if now < end
                else {"parcel": name, "try": attempt, "standing": "exited", "cause": "done"}
                for name, (attempt, end) in self.tasks.items()
            ]
            report = {
                "hall": self.name, "endpoint": "", "build": "small", "ward": self.zone,
                "standby": self.spot, "tenure": tenure, "tick": tick, "mandate": token,
                "recall_s": None, "parcels": parcels,
            }  # fmt: skip
            try:
                status, raw = await clients[at].request(
                    "POST", "/checkin", codec.encode_cbor(report), 4.0
                )
                answer = codec.decode_cbor(raw) or {}
            except NoAnswerError:
                status, answer = 0, {}
            if self.name not in self.cloud.machines:
                return
            if status == 200 and answer["mandate"] >= token:
                token = answer["mandate"]
                answered = now
                self.execute(answer["writs"])
                await asyncio.sleep(REPORT_S)
                continue
            steward = answer.get("steward")
            at = int(steward[-1]) if steward else (at + 1) % len(clients)
            await asyncio.sleep(0.2 if steward else 0.5)

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name = order["parcel"]
            if order["writ"] == "start":
                started = {"machine": self.name, "task": name, "attempt": order["try"]}
                if name not in self.tasks:
                    self.cloud.log.write("start", started)
                ends = time.monotonic() + self.cloud.task_s
                self.tasks.setdefault(name, (order["try"], ends))
            else:
                self.stop([name])

    def stop(self, names: list[str]) -> None:
        for name in names:
            if self.tasks.pop(name, (0, 0.0))[1] > time.monotonic():
                self.cloud.log.write("stop", {"machine": self.name, "task": name})


class Cloud:
    """Rents machines, and logs what it carries out."""

    def __init__(self, log: Log, controllers: list[str], machines: int, task_s: float) -> None:
        self.log, self.controllers = log, controllers
        self.most, self.task_s = machines, task_s
        self.machines: dict[str, Machine] = {}
        self.answers: dict[str, list[str]] = {}
        self.made = 0

    async def handle(self, request: Request) -> Response:
        if request.path == "/machine_types":
            return codec.cbor_response(200, {"builds": [KIND]})
        if request.method == "GET":
            query = {k: v[0] for k, v in parse_qs(request.query).items()}
            listed = [
                {"id": m.name, "endpoint": "", "build": "small", "ward": m.zone,
                 "standby": m.spot, "standing": "running", "held_s": time.monotonic() - m.born}
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
                    machine.task.cancel()
            return codec.cbor_response(200, {})
        return self.rent(raw)

    def rent(self, raw: dict[str, Any]) -> Response:
        if raw["hire"] not in self.answers:
            count = min(raw["how_many"], self.most - len(self.machines))
            if count <= 0:
                return codec.cbor_response(503, {"error": "no capacity"})
            names = []
            for _ in range(count):
                self.made += 1
                name = f"m-{self.made:06d}"
                self.machines[name] = Machine(self, name, raw["ward"], raw["standby"])
                names.append(name)
            self.answers[raw["hire"]] = names
        answer = {"request": raw["hire"], "machines": self.answers[raw["hire"]]}
        self.log.write("rent", answer)
        return codec.cbor_response(200, {"halls": answer["machines"]})


async def main(words: list[str]) -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=["store", "cloud"])
    parser.add_argument("port", type=int)
    parser.add_argument("log", type=Log)
    parser.add_argument("controllers", nargs="*")
    parser.add_argument("--machines", type=int, default=40)
    parser.add_argument("--task-s", type=float, default=1.0)
    args = parser.parse_args(words)
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
