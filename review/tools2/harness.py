"""Starts a small deployment of real processes on loopback, and asks it as its users do."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec

ROOT = Path(__file__).resolve().parents[2]
TOOLS = ROOT / "review" / "tools2"
HOST = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
MACHINE_PORTS = 80  # for all machines of a run, those that are replaced included

JOB = {
    "docket": "comps-sweep", "desk": "assessment-unit", "shape": "sweep", "precedence": "standard",
    "parcels": 1, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "kit": "img-01", "image_gb": 0.1,
    "builds": None, "ward": None, "together": False, "scatter": False, "standby": False,
    "reckon_s": 10.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": None,
}  # fmt: skip


def with_trouble() -> bool:
    """Whether the case is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Proxy:
    """A TCP proxy to one address, which can refuse connections for a while."""

    def __init__(self, target: str, port: int) -> None:
        self.target = target
        self.port = port
        self.addr = f"{HOST}:{self.port}"
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listens, from now on."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def refuse(self) -> None:
        """Refuses connections from now on, and resets those that are open."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back}
        try:
            await asyncio.gather(self._copy(reader, back), self._copy(there, writer))
        except asyncio.CancelledError:
            pass  # the case has ended; the loop would print a traceback for each connection
        self.writers -= {writer, back}

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class KeptConnection:
    """A user's connection through the load balancer: it stays at its node until the node closes
    it; the next one goes to the next node."""

    def __init__(self, site: Site, index: int) -> None:
        self.site, self.index = site, index
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, method: str, path: str, timeout: float) -> tuple[int, Any]:
        """Sends one request; status 0 if there is no answer."""
        status, answer = 0, None
        where = self.site.members[self.index]
        try:
            async with asyncio.timeout(timeout):
                status, answer, keeps = await self._exchange(method, path)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            keeps = False
        if not keeps:
            self.close()
            self.index = (self.index + 1) % self.site.size
        self.site.note(f"user -> {where} (kept): {method} {path} -> {status} {answer}")
        return status, answer

    async def _exchange(self, method: str, path: str) -> tuple[int, Any, bool]:
        if self.streams is None:
            host, _, port = self.site.api[self.index].rpartition(":")
            self.streams = await asyncio.open_connection(host, int(port))
        reader, writer = self.streams
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        keeps = fields.get("connection") != "close"
        return int(head[0].split()[1]), codec.decode_cbor(body), keeps

    def close(self) -> None:
        """Closes the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


class Site:
    """The processes of one deployment, its record, and its users."""

    def __init__(self, case: Path, site: dict[str, Any]) -> None:
        """`site` has the settings that differ between deployments; see the cases."""
        self.site = site
        self.began = time.monotonic()
        self.record = (case / "record.txt").open("w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="peathall-review-"))
        (self.folder / "jobs").mkdir()
        self.size = site.get("size", 3)
        # All ports are chosen at once: none is given out twice.
        self.ports = free_ports(2 + 3 * self.size + MACHINE_PORTS)
        self.state_port, self.cloud_port = self.ports.pop(), self.ports.pop()
        self.api = [f"{HOST}:{self.ports.pop()}" for _ in range(self.size)]
        self.back = [f"{HOST}:{self.ports.pop()}" for _ in range(self.size)]
        self.proxy_ports = [self.ports.pop() for _ in range(self.size)]
        self.members = [f"hall-{i}" for i in range(self.size)]
        # The addresses that others are given; a case may put proxies in between.
        self.state_for = [f"{HOST}:{self.state_port}"] * self.size
        self.cloud_for = [f"{HOST}:{self.cloud_port}"] * self.size
        self.back_for = list(self.back)
        self.api_for_workers = list(self.api)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log_at = 0
        self.environment = os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.environment.pop("PYTHONPATH", None)
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            self.command = shlex.split(tomllib.load(file)["run"])

    # --- record --------------------------------------------------------------
    def note(self, text: str) -> None:
        """Writes a line of the record."""
        self.record.write(f"{time.monotonic() - self.began:8.2f} {text}\n")
        self.record.flush()

    # --- processes -----------------------------------------------------------
    def spawn(self, name: str, *arguments: str) -> None:
        """Starts a process; what it prints goes to a file in the temporary folder."""
        with (self.folder / f"{name}.err").open("ab") as err:
            environment = dict(self.environment)
            if arguments[0] == sys.executable:  # a stand-in
                environment["PYTHONPATH"] = f"{ROOT}:{ROOT}/target/deps"
            self.processes[name] = subprocess.Popen(
                list(arguments), cwd=ROOT, env=environment, stdout=err, stderr=err
            )

    def start(self) -> None:
        """Starts the stand-ins and all controllers."""
        state = self.site["state"]
        self.spawn(
            "state", sys.executable, str(TOOLS / "store.py"), str(self.state_port),
            *(str(state[k]) for k in ("value_kb", "txn_ops", "rps", "write_rps")),
        )  # fmt: skip
        self.start_platform()
        self.wait_for_port(self.state_port)
        self.wait_for_port(self.cloud_port)
        for index in range(self.size):
            self.write_settings(index)
            self.start_controller(index)

    def start_platform(self) -> None:
        """Starts the cloud and the workers."""
        settings = {
            "port": self.cloud_port, "controllers": self.api_for_workers, "members": self.members,
            "log": str(self.folder / "platform.log"), "jobs": str(self.folder / "jobs"),
            "report_s": self.site["workers"]["report_s"],
            "lease_s": self.site["workers"]["lease_s"],
            "builds": self.site["builds"], "machines": self.site["machines"],
            "capacity": self.site["capacity"], "ports": self.ports,
        }  # fmt: skip
        path = self.folder / "platform.json"
        path.write_text(json.dumps(settings))
        self.spawn("platform", sys.executable, str(TOOLS / "cloud_workers.py"), str(path))

    def write_settings(self, index: int) -> None:
        """Writes the settings file of a controller, in the form of the deploy page."""
        site = self.site
        text = (
            f'member = "{self.members[index]}"\nlocation = "{site["zones"][0]}"\n'
            f'api_addr = "{self.api[index]}"\nback = "{self.back[index]}"\n'
        )
        for other in range(self.size):
            if other != index:
                text += (
                    f'[[known]]\nmember = "{self.members[other]}"\n'
                    f'location = "{site["zones"][0]}"\nendpoint = "{self.back_for[other]}"\n'
                )
        text += (
            f'[services]\ncloud = "{self.cloud_for[index]}"\nstate = "{self.state_for[index]}"\n'
        )
        text += f"[params]\nsize = {self.size}\nzones = {json.dumps(site['zones'])}\n"
        text += "clock_off_ms = 1000.0\n"
        for team in site["teams"]:
            text += "[[params.teams]]\n" + "".join(
                f"{key} = {json.dumps(value)}\n" for key, value in team.items()
            )
        for section in ("workers", "state", "cloud", "machine_limits"):
            text += f"[params.{section}]\n" + "".join(
                f"{key} = {value}\n" for key, value in site[section].items()
            )
        (self.folder / f"{index}.toml").write_text(text)

    def start_controller(self, index: int) -> None:
        """Starts a controller with the command of the deploy file."""
        path = str(self.folder / f"{index}.toml")
        self.spawn(self.members[index], *self.command, path)
        self.note(f"{self.members[index]} started")

    def signal(self, index: int, number: int) -> None:
        """Sends a signal to a controller that this test started."""
        process = self.processes[self.members[index]]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
        self.note(f"{self.members[index]}: {signal.Signals(number).name}")

    @staticmethod
    def wait_for_port(port: int) -> None:
        """Waits until a stand-in listens."""
        for _ in range(100):
            with socket.socket() as sock:
                if sock.connect_ex((HOST, port)) == 0:
                    return
            time.sleep(0.1)
        raise RuntimeError("a stand-in does not listen")

    def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            self.note(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    # --- what the platform saw -----------------------------------------------
    def events(self) -> list[dict[str, Any]]:
        """The new lines of the platform's log."""
        path = self.folder / "platform.log"
        if not path.exists():
            return []
        with path.open("rb") as file:
            file.seek(self.log_at)
            data = file.read()
        data = data[: data.rfind(b"\n") + 1]
        self.log_at += len(data)
        found = [json.loads(line) for line in data.splitlines()]
        for event in found:
            at = event["at"] - self.began
            rest = {k: v for k, v in event.items() if k not in ("at", "kind")}
            self.record.write(f"{at:8.2f} platform: {event['kind']} {json.dumps(rest)}\n")
        self.record.flush()
        return found

    # --- users ---------------------------------------------------------------
    def upload(self, job_id: str, run_s: list[float], **changes: Any) -> dict[str, Any]:
        """Makes a job, and uploads its description for the workers."""
        job = JOB | {"id": job_id} | {k: v for k, v in changes.items() if k != "quiet"}
        stored = job | {"run_s": run_s, "quiet": changes.get("quiet", False)}
        (self.folder / "jobs" / f"{job_id}.json").write_text(json.dumps(stored))
        return job

    async def ask(
        self, index: int, method: str, path: str, value: Any = None, timeout: float = 5.0
    ) -> tuple[int, Any]:
        """Sends one request of a user; status 0 if there is no answer."""
        raw = b"" if value is None else codec.encode_cbor(value)
        client = HttpClient(self.api[index], max_idle=0)
        try:
            async with asyncio.timeout(timeout):
                status, body = await client.request(method, path, raw, timeout)
            answer = codec.decode_cbor(body)
        except (NoAnswerError, TimeoutError):
            status, answer = 0, None
        self.note(f"user -> {self.members[index]}: {method} {path} -> {status} {answer}")
        return status, answer

    async def submit(self, job: dict[str, Any], limit_s: float = 60.0) -> bool:
        """Submits a job as the pages say, for up to 60 s; whether it was accepted."""
        return (await self.insist("POST", "/work", job, limit_s))[0] in (200, 201)

    async def insist(
        self, method: str, path: str, value: Any = None, limit_s: float = 60.0, pause_s: float = 1.0
    ) -> tuple[int, Any]:
        """Repeats a request at one controller after another until it is answered."""
        ends = time.monotonic() + limit_s
        index = 0
        while True:
            status, answer = await self.ask(index % self.size, method, path, value)
            if status in (200, 201, 400, 404, 422) or time.monotonic() > ends:
                return status, answer
            index += 1
            await asyncio.sleep(pause_s)


def run_case(case: Path, site: dict[str, Any], play: Any, prepare: Any = None) -> int:
    """Runs a case within 119 s; returns its exit code. `prepare` is called before the start."""
    deployment = Site(case, site)

    async def limited() -> int:
        async with asyncio.timeout(118.0):
            if prepare is not None:
                await prepare(deployment)
            deployment.start()
            return int(await play(deployment))

    try:
        code = asyncio.run(limited())
    except (TimeoutError, RuntimeError, OSError) as exc:
        deployment.note(f"the case could not run: {exc!r}")
        code = NOT_RUN
    finally:
        deployment.note("end")
        deployment.end()
    return code
