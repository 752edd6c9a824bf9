"""Stand-in of the cloud and of the workers on its machines, written from the users' pages.

    cloud_workers.py SETTINGS.json

The settings name the cloud's port, the controllers' addresses, the machine types, the machines
that are up at the start, the workers' time limits and the log. The log has one JSON object a line:
what runs on which machine, and which reports were answered. Jobs are read from a folder: a worker
fetches a job's description by itself; `run_s` there, a list, holds the run time of task N at the
index N modulo its length.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from peathall.http.client import HttpClient, NoAnswerError
from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.protocol import codec

HOST = "127.0.0.1"
LIVE = ("pulling", "waiting", "running", "flushing")
NEEDS = ("vcpus", "cards", "ram_gb")


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, job: dict[str, Any], name: str, attempt: int) -> None:
        self.job, self.name, self.attempt = job, name, attempt
        self.state, self.cause, self.kept = "pulling", "", False
        self.timer: asyncio.TimerHandle | None = None

    def status(self) -> dict[str, Any]:
        """The item of a report."""
        item: dict[str, Any] = {"parcel": self.name, "try": self.attempt, "standing": self.state}
        if self.state == "exited":
            item["cause"] = self.cause
            if self.kept:
                item["kept"] = True
        return item


class Machine:
    """A machine and its worker."""

    def __init__(self, cloud: Cloud, name: str, kind: dict[str, Any], ward: str) -> None:
        self.cloud, self.name, self.kind, self.ward = cloud, name, kind, ward
        self.settings = cloud.settings
        self.loop = cloud.loop
        self.since = time.monotonic()
        self.tasks: dict[tuple[str, int], Task] = {}
        self.live: set[str] = set()  # names of the tasks that take room
        self.used = dict.fromkeys(NEEDS, 0.0)
        self.images: set[str] = set()
        self.tenure, self.tick, self.mandate = 1, 0, 0
        self.answered = time.monotonic()  # when the last report that got an answer was sent
        self.changed = asyncio.Event()
        self.server: HttpServer | None = None
        self.endpoint = ""
        self.gone = False

    async def run(self) -> None:
        """Reports to the controllers until the machine is deleted."""
        self.server = HttpServer(self.serve, 50)
        port = self.settings["ports"].pop()
        await self.server.start(HOST, port)
        self.endpoint = f"{HOST}:{port}"
        addresses = self.settings["controllers"]
        clients = [HttpClient(addr, max_idle=1) for addr in addresses]
        index = self.cloud.rng.randrange(len(clients))
        report_s = self.settings["report_s"]
        while not self.gone:
            self.check_lease()
            self.changed.clear()
            sent, tenure = time.monotonic(), self.tenure
            try:
                status, raw = await clients[index].request(
                    "POST", "/checkin", codec.encode_cbor(self.report()), 4.0
                )
                answer = codec.decode_cbor(raw) or {}
            except NoAnswerError:
                status, answer = 0, {}
            if self.gone:
                return
            self.cloud.note_report(index, status)
            if status == 200:
                if answer["mandate"] >= self.mandate and tenure == self.tenure:
                    self.mandate = answer["mandate"]
                    self.answered = sent
                    self.obey(answer["writs"])
                await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
                rest = sent + report_s * self.cloud.rng.uniform(0.75, 1.25) - time.monotonic()
                try:
                    async with asyncio.timeout(max(0.0, rest)):
                        await self.changed.wait()
                except TimeoutError:
                    pass
                continue
            steward = answer.get("steward") if status == 421 else None
            known = self.settings["members"].index(steward) if steward else index
            if known != index:
                index = known
                await asyncio.sleep(self.cloud.rng.uniform(0.0, 0.5))
            else:
                index = (index + 1) % len(clients)
                await asyncio.sleep(1.0)

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.tick += 1
        return {
            "hall": self.name, "endpoint": self.endpoint, "build": self.kind["label"],
            "ward": self.ward, "standby": False, "tenure": self.tenure, "tick": self.tick,
            "mandate": self.mandate, "recall_s": None,
            "parcels": [task.status() for task in self.tasks.values()],
        }  # fmt: skip

    def check_lease(self) -> None:
        """Begins the next session if the lease has expired."""
        if time.monotonic() - self.answered > self.settings["lease_s"]:
            self.end_all("lease expired")
            self.tenure += 1
            self.answered = time.monotonic()

    def end_all(self, why: str) -> None:
        """Kills all tasks and forgets them."""
        running = [task for task in self.tasks.values() if task.state in LIVE]
        if running:
            self.cloud.log("killed", machine=self.name, tasks=len(running), why=why)
        for task in self.tasks.values():
            if task.timer is not None:
                task.timer.cancel()
        self.tasks.clear()
        self.live.clear()
        self.used = dict.fromkeys(NEEDS, 0.0)

    async def serve(self, request: Request) -> Response:
        """Answers /commands and /inspect."""
        self.check_lease()
        if request.path == "/inspect":
            return codec.cbor_response(200, self.report())
        raw = codec.decode_cbor_map(request.body)
        if raw.get("mandate") is None or raw.get("tenure") is None:
            return codec.cbor_response(400, {})
        if raw["mandate"] < self.mandate or raw["tenure"] != self.tenure:
            return codec.cbor_response(409, self.report())
        self.mandate = raw["mandate"]
        self.obey(raw["writs"])
        return codec.cbor_response(200, self.report())

    def obey(self, writs: list[dict[str, Any]]) -> None:
        """Executes commands in order."""
        for writ in writs:
            key = (writ["parcel"], writ["try"])
            task = self.tasks.get(key)
            if writ["writ"] == "start" and task is None:
                self.start(*key)
            elif writ["writ"] == "stop" and task is not None:
                self.stop(task, float(writ["leave_s"]))
            elif writ["writ"] == "forget" and task is not None and task.state == "exited":
                del self.tasks[key]

    def start(self, name: str, attempt: int) -> None:
        """Starts a task, or refuses it."""
        job_id, _, number = name.rpartition("/")
        job = self.cloud.job(job_id)
        task = Task(job or {}, name, attempt)
        self.tasks[(name, attempt)] = task
        if job is None or int(number) >= job["parcels"]:
            self.refuse(task, "unknown")
        elif name in self.live:
            self.refuse(task, "busy")
        elif any(self.used[need] + job[need] > self.kind[need] + 1e-6 for need in NEEDS):
            self.refuse(task, "full")
        else:
            self.live.add(name)
            for need in NEEDS:
                self.used[need] += job[need]
            fetch_s = 0.0 if job["kit"] in self.images else job["image_gb"]
            task.timer = self.loop.call_later(fetch_s, self.begin, task)

    def begin(self, task: Task) -> None:
        """The image is there: the task is on its machine from now on."""
        self.images.add(task.job["kit"])
        task.state = "running"
        run_s = task.job["run_s"][int(task.name.rpartition("/")[2]) % len(task.job["run_s"])]
        if task.name in self.cloud.results:
            run_s = 0.0
        self.cloud.begin(self, task, run_s)
        if not task.job.get("quiet") and self.is_sick():
            task.timer = self.loop.call_later(0.5, self.exit, task, "error")
            self.changed.set()
            return
        task.timer = self.loop.call_later(run_s, self.finish, task)
        self.changed.set()

    def is_sick(self) -> bool:
        """Whether the machine fails every task that it starts: a case has put a file there."""
        return (Path(self.settings["jobs"]) / f"sick-{self.ward}").exists()

    def finish(self, task: Task) -> None:
        """The task has completed; its result is kept."""
        self.cloud.results.add(task.name)
        self.exit(task, "done")

    def stop(self, task: Task, leave_s: float) -> None:
        """Executes a stop command."""
        if task.state not in LIVE:
            return
        saves = task.state == "running" and task.job["tally_s"] and leave_s >= task.job["stow_s"]
        if task.timer is not None:
            task.timer.cancel()
        if saves:
            task.state = "flushing"
            task.kept = True
            task.timer = self.loop.call_later(task.job["stow_s"], self.exit, task, "halted")
            self.changed.set()
        else:
            self.exit(task, "halted")

    def refuse(self, task: Task, cause: str) -> None:
        """The start is refused; that is reported until it is forgotten."""
        task.state, task.cause = "exited", cause
        self.changed.set()

    def exit(self, task: Task, cause: str) -> None:
        """The task has ended; it is reported until it is forgotten."""
        self.live.discard(task.name)
        for need in NEEDS:
            self.used[need] -= task.job[need]
        was_on_machine = task.state in ("running", "flushing")
        task.state, task.cause = "exited", cause
        if was_on_machine:
            self.cloud.end(self, task)
        self.changed.set()


class Cloud:
    """Rents machines, and knows what runs where."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(settings.get("seed", 1))
        self.machines: dict[str, Machine] = {}
        self.running: set[asyncio.Task[None]] = set()
        self.hires: dict[str, list[str]] = {}
        self.results: set[str] = set()
        self.jobs: dict[str, dict[str, Any]] = {}
        self.on_machines: dict[str, int] = {}  # job -> tasks on machines
        self.counts: dict[str, int] = {}
        self.count = 0
        self.out = Path(settings["log"]).open("a", encoding="utf-8")  # noqa: SIM115

    def log(self, kind: str, **fields: Any) -> None:
        """Writes a line of the log."""
        self.out.write(json.dumps({"at": time.monotonic(), "kind": kind, **fields}) + "\n")
        self.out.flush()

    def job(self, job_id: str) -> dict[str, Any] | None:
        """A job's description, as its user uploaded it."""
        if job_id not in self.jobs:
            path = Path(self.settings["jobs"]) / f"{job_id}.json"
            if not path.exists():
                return None
            self.jobs[job_id] = json.loads(path.read_text())
        return self.jobs[job_id]

    def begin(self, machine: Machine, task: Task, run_s: float) -> None:
        """A task is on its machine."""
        del run_s
        self.counts["starts"] = self.counts.get("starts", 0) + 1
        if not task.job.get("quiet"):
            self.log("start", machine=machine.name, task=task.name, attempt=task.attempt)

    def end(self, machine: Machine, task: Task) -> None:
        """A task has left its machine."""
        self.counts["ends"] = self.counts.get("ends", 0) + 1
        if not task.job.get("quiet"):
            self.log(
                "end", machine=machine.name, task=task.name, attempt=task.attempt, cause=task.cause
            )

    def note_report(self, index: int, status: int) -> None:
        """Counts the answers to reports."""
        key = f"{self.settings['members'][index]} {status}"
        self.counts[key] = self.counts.get(key, 0) + 1

    async def write_counts(self) -> None:
        """Logs each second what ran and how reports were answered since the last line."""
        while True:
            await asyncio.sleep(1.0)
            live: dict[str, int] = {}
            odd: dict[str, int] = {}
            for machine in self.machines.values():
                machine.check_lease()
                for task in machine.tasks.values():
                    if task.state in LIVE:
                        job_id, _, number = task.name.rpartition("/")
                        live[job_id] = live.get(job_id, 0) + 1
                        if int(number) % 2:
                            odd[job_id] = odd.get(job_id, 0) + 1
            self.log("second", counts=self.counts, live=live, odd=odd)
            self.counts = {}

    def add(self, kind: dict[str, Any], ward: str) -> str:
        """A new machine, up at once."""
        self.count += 1
        name = f"m-{self.count:06d}"
        machine = self.machines[name] = Machine(self, name, kind, ward)
        task = self.loop.create_task(machine.run())
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return name

    def room(self, ward: str) -> int:
        """How many more machines the cloud has, in all or in this zone."""
        capacity = self.settings["capacity"]
        if isinstance(capacity, dict):
            return int(capacity[ward]) - sum(m.ward == ward for m in self.machines.values())
        return int(capacity) - len(self.machines)

    async def handle(self, request: Request) -> Response:
        """Answers the controllers."""
        kinds = self.settings["builds"]
        if request.path == "/machine_types":
            return codec.cbor_response(200, {"builds": kinds})
        if request.method == "GET":
            query = {k: v[0] for k, v in parse_qs(request.query).items()}
            listed = [
                {"id": m.name, "endpoint": m.endpoint, "build": m.kind["label"], "ward": m.ward,
                 "standby": False, "standing": "running", "held_s": time.monotonic() - m.since}
                for m in self.machines.values() if m.name > query.get("after", "")
            ]  # fmt: skip
            return codec.cbor_response(200, {"halls": listed[:500], "more": len(listed) > 500})
        raw = codec.decode_cbor_map(request.body)
        if request.path == "/hosts/delete":
            self.log("delete", machines=raw["halls"])
            for name in raw["halls"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    machine.gone = True
                    machine.end_all("deleted")
                    if machine.server is not None:
                        machine.server.close()
            return codec.cbor_response(200, {})
        if raw["hire"] not in self.hires:
            room = self.room(raw["ward"])
            kind = next((k for k in kinds if k["label"] == raw["build"]), None)
            count = min(raw["how_many"], room)
            if count <= 0 or kind is None or raw["standby"]:
                return codec.cbor_response(503, {"error": "no capacity"})
            self.hires[raw["hire"]] = [self.add(kind, raw["ward"]) for _ in range(count)]
            self.log("hire", hire=raw["hire"], machines=self.hires[raw["hire"]])
        return codec.cbor_response(200, {"halls": self.hires[raw["hire"]]})


async def main(settings: dict[str, Any]) -> None:
    """Runs until it is killed."""
    cloud = Cloud(settings)
    await HttpServer(cloud.handle, 100).start(HOST, settings["port"])
    for label, ward, count in settings["machines"]:
        kind = next(k for k in settings["builds"] if k["label"] == label)
        for _ in range(count):
            cloud.add(kind, ward)
    await cloud.write_counts()


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
