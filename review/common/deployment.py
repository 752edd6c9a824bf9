"""Starts a small deployment as separate processes on loopback, and asks it as a user does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from wire import HOST, Record, ask

LIMIT_S = 117.0  # a script runs for 120 s at most
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent


class CannotRunError(Exception):
    """The case could not run: exit code 2."""


def free_ports(count: int) -> list[int]:
    """Free ports below those that the system gives to outgoing connections: a process that is
    started again finds its port free."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Site:
    """`settings` is the text of the settings from [params] on."""

    def __init__(self, folder: Path, controllers: int, params: str, zone: str) -> None:
        self.path = str(folder / "record.txt")
        Path(self.path).write_text("")
        self.record = Record(self.path, "test")
        self.temporary = Path(tempfile.mkdtemp(prefix="peathall-review-"))
        self.params, self.zone, self.count = params, zone, controllers
        self.values = tomllib.loads(params)["params"]
        ports = free_ports(2 + 2 * controllers)
        self.state_port, self.cloud_port = ports[:2]
        self.api, self.back = ports[2 : 2 + controllers], ports[2 + controllers :]
        self.names = [f"hall-{i}" for i in range(controllers)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.environment = os.environ | {"PYTHONPATH": str(ROOT / "target" / "deps")}
        (self.temporary / "jobs").mkdir()
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self.command = deploy["run"].split()

    def addr(self, index: int) -> str:
        return f"{HOST}:{self.api[index]}"

    def start_stand_ins(self, **cloud: Any) -> None:
        state = self.values["state"]
        limits = {name: state[name] for name in ("rps", "write_rps", "value_kb", "txn_ops")}
        self.spawn("state", [
            sys.executable, str(COMMON / "state_service.py"), str(self.state_port), self.path,
            json.dumps(limits),
        ])  # fmt: skip
        settings = {
            "controllers": {name: self.addr(i) for i, name in enumerate(self.names)},
            "list_lag_s": self.values["cloud"]["list_lag_s"],
            "report_s": self.values["workers"]["report_s"],
            "lease_s": self.values["workers"]["lease_s"],
            "jobs": str(self.temporary / "jobs"),
        } | cloud
        self.spawn("cloud", [
            sys.executable, str(COMMON / "cloud.py"), str(self.cloud_port), self.path,
            json.dumps(settings),
        ])  # fmt: skip

    def start_controller(self, index: int, state: str | None = None) -> None:
        known = "".join(
            f'[[known]]\nmember = "{self.names[k]}"\nlocation = "{self.zone}"\n'
            f'endpoint = "{HOST}:{port}"\n'
            for k, port in enumerate(self.back)
            if k != index
        )
        text = (
            f'member = "{self.names[index]}"\nlocation = "{self.zone}"\n'
            f'api_addr = "{self.addr(index)}"\nback = "{HOST}:{self.back[index]}"\n{known}'
            f'[services]\ncloud = "{HOST}:{self.cloud_port}"\n'
            f'state = "{state or f"{HOST}:{self.state_port}"}"\n{self.params}'
        )
        path = self.temporary / f"{index}.toml"
        path.write_text(text)
        self.spawn(self.names[index], [*self.command, str(path)])

    def spawn(self, name: str, command: list[str]) -> None:
        with open(self.temporary / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("process started", name=name)

    def signal(self, name: str, number: int) -> None:
        self.record.write("signal", to=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def index_of(self, name: str) -> int:
        return self.names.index(name)

    async def start_all(self, **cloud: Any) -> None:
        """Starts the stand-ins and all controllers, and returns once somebody leads."""
        self.start_stand_ins(**cloud)
        for port in (self.state_port, self.cloud_port):
            while (await ask(f"{HOST}:{port}", "GET", "/machine_types", None, 1.0))[0] == 0:
                await asyncio.sleep(0.05)
        for index in range(self.count):
            self.start_controller(index)
        for index in range(self.count):
            await self.healthy(index)
        await self.leader()

    # --- users ---------------------------------------------------------------
    def upload(self, job: dict[str, Any], run_s: list[float]) -> None:
        path = self.temporary / "jobs" / f"{job['id']}.json"
        path.write_text(json.dumps(job | {"run_s": run_s}))

    async def user(
        self, index: int, method: str, path: str, value: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        status, answer = await ask(self.addr(index), method, path, value, timeout)
        self.record.write(
            "user", node=self.names[index], request=f"{method} {path}", status=status, answer=answer
        )
        return status, answer

    async def submit(self, job: dict[str, Any], run_s: list[float], nodes: list[int]) -> None:
        """Submits as a user does: again after 1 s, for 60 s, at one node after the other."""
        self.upload(job, run_s)
        for attempt in range(60):
            status, _ = await self.user(nodes[attempt % len(nodes)], "POST", "/work", job)
            if status in (200, 201):
                return
            await asyncio.sleep(1.0)
        raise CannotRunError(f"{job['id']} was not accepted")

    async def leader(self, timeout: float = 30.0) -> str:
        """The node that the key `lead` of the state service names."""
        deadline = asyncio.get_running_loop().time() + timeout
        while asyncio.get_running_loop().time() < deadline:
            status, answer = await ask(f"{HOST}:{self.state_port}", "GET", "/store/lead")
            if status == 200:
                return str(answer["data"]["member"])
            await asyncio.sleep(0.1)
        raise CannotRunError("nobody leads")

    async def healthy(self, index: int, timeout: float = 20.0) -> None:
        deadline = asyncio.get_running_loop().time() + timeout
        while (await ask(self.addr(index), "GET", "/healthz", None, 1.0))[0] != 200:
            if asyncio.get_running_loop().time() > deadline:
                raise CannotRunError(f"{self.names[index]} did not start")
            await asyncio.sleep(0.1)

    def close(self, keep_logs: bool = False) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if keep_logs:
            print(f"logs in {self.temporary}")
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    return {
        "id": job_id, "docket": "c", "desk": "red", "shape": "sweep", "precedence": "standard",
        "parcels": 1, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "kit": "img-01", "image_gb": 0.1,
        "builds": None, "ward": None, "together": False, "scatter": False, "standby": False,
        "reckon_s": 10.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": None,
    } | fields  # fmt: skip


async def _run(case: Callable[[Site], Awaitable[str | None]], site: Site) -> str | None:
    this = asyncio.current_task()
    assert this is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, this.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await case(site)
    except TimeoutError:
        raise CannotRunError(f"not over after {LIMIT_S:.0f} s") from None
    finally:
        site.close(bool(os.environ.get("KEEP_LOGS")))


def run(case: Callable[[Site], Awaitable[str | None]], site: Site) -> None:
    """Runs the case: exit code 1 if it returns a broken rule, 0 if None, 2 if it can't run."""
    try:
        broken = asyncio.run(_run(case, site))
    except (Exception, asyncio.CancelledError) as exc:
        site.record.write("cannot run", why=repr(exc))
        print(f"cannot run: {exc!r}")
        sys.exit(2)
    site.record.write("verdict", broken=broken)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
