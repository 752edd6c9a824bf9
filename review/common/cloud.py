"""Stand-in of the cloud and of the workers on its machines, as PROTOCOL-peathall.md describes them.

    python3 cloud.py PORT RECORD SETTINGS-JSON

SETTINGS: controllers {name: address}, types (as GET /machine_types answers), machines (list of
[type, zone, spot] that are up at the start), capacity (zone -> number of machines at most),
boot_s, list_lag_s, report_s, lease_s, jobs (folder with the descriptions that users upload, one
JSON file a job, with `run_s`: a list of run times; task N runs for run_s[N % len]). Jobs are
arrays and daemons.

For the tests only: POST /test/die {"hall"} stops a machine with all that is on it;
POST /test/recall {"hall", "recall_s"}: the cloud takes it back after that notice.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from wire import HOST, Connection, Record, serve

EPS = 1e-6


class Task:
    def __init__(self, name: str, attempt: int, job: dict[str, Any] | None) -> None:
        self.name, self.attempt, self.job = name, attempt, job
        self.state, self.cause, self.kept = "pulling", "", False

    def report(self) -> dict[str, Any]:
        item = {"parcel": self.name, "try": self.attempt, "standing": self.state}
        if self.state == "exited":
            item |= {"cause": self.cause} | ({"kept": True} if self.kept else {})
        return item


class Machine:
    """A machine with its worker."""

    def __init__(
        self, cloud: Cloud, name: str, kind: dict[str, Any], zone: str, spot: bool
    ) -> None:
        self.cloud, self.name, self.kind, self.zone, self.spot = cloud, name, kind, zone, spot
        self.hired_at = time.monotonic()
        self.up_at: float | None = None
        self.dead_at: float | None = None
        self.tasks: dict[tuple[str, int], Task] = {}
        self.tenure, self.tick, self.mandate = 1, 0, 0
        self.images: set[str] = set()
        self.changed = asyncio.Event()
        self.endpoint = ""
        self.recall_at: float | None = None
        self.server: asyncio.Server | None = None

    # --- tasks ---------------------------------------------------------------
    def active(self) -> list[Task]:
        return [task for task in self.tasks.values() if task.state != "exited"]

    def start(self, name: str, attempt: int) -> None:
        if (name, attempt) in self.tasks:
            return
        task = self.tasks[name, attempt] = Task(name, attempt, self.cloud.job(name.split("/")[0]))
        if task.job is None:
            task.state, task.cause = "exited", "unknown"
        elif any(other.name == name for other in self.active() if other is not task):
            task.state, task.cause = "exited", "busy"
        elif not self.has_room():
            task.state, task.cause = "exited", "full"
        else:
            pull_s = 0.0 if task.job["kit"] in self.images else 0.1
            asyncio.get_running_loop().call_later(pull_s, self.run, task)
        self.changed.set()

    def has_room(self) -> bool:
        for need, have in (("vcpus", "vcpus"), ("cards", "cards"), ("ram_gb", "ram_gb")):
            used = sum(task.job[need] for task in self.active() if task.job)
            if used > self.kind.get(have, 0) + EPS:
                return False
        return True

    def run(self, task: Task) -> None:
        if self.dead_at is not None or self.tasks.get((task.name, task.attempt)) is not task:
            return
        if task.state != "pulling" or task.job is None:
            return
        self.images.add(task.job["kit"])
        task.state = "running"
        self.cloud.note("runs", self, task)
        number = int(task.name.split("/")[1])
        run_s = task.job["run_s"][number % len(task.job["run_s"])]
        loop = asyncio.get_running_loop()
        loop.call_later(run_s, self.finish, task)
        self.changed.set()

    def finish(self, task: Task) -> None:
        if self.dead_at is None and task.state == "running":
            self.exit(task, "done")

    def stop(self, task: Task, leave_s: float) -> None:
        saves = task.job is not None and task.job["tally_s"] > 0
        if task.state == "running" and task.job and saves and leave_s >= task.job["stow_s"]:
            task.state = "flushing"
            self.cloud.note("saves", self, task)
            self.changed.set()
            asyncio.get_running_loop().call_later(task.job["stow_s"], self.saved, task)
        elif task.state != "exited" and not (task.state == "flushing" and leave_s > 0):
            self.exit(task, "halted")

    def saved(self, task: Task) -> None:
        if self.dead_at is None and task.state == "flushing":
            task.kept = True
            self.exit(task, "halted")

    def exit(self, task: Task, cause: str) -> None:
        if task.state in ("running", "flushing"):
            self.cloud.note("ends", self, task, cause=cause)
        task.state, task.cause = "exited", cause
        self.changed.set()

    def carry_out(self, writs: list[dict[str, Any]]) -> None:
        for writ in writs:
            key = (writ["parcel"], writ["try"])
            if writ["writ"] == "start":
                self.start(*key)
            elif key in self.tasks and writ["writ"] == "stop":
                self.stop(self.tasks[key], writ["leave_s"])
            elif key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]

    # --- reports -------------------------------------------------------------
    def report(self) -> dict[str, Any]:
        self.tick += 1
        left = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "hall": self.name, "endpoint": self.endpoint, "build": self.kind["label"],
            "ward": self.zone, "standby": self.spot, "tenure": self.tenure, "tick": self.tick,
            "mandate": self.mandate, "recall_s": left,
            "parcels": [task.report() for task in self.tasks.values()],
        }  # fmt: skip

    async def work(self, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        self.server = await serve(0, self.handle)
        port = self.server.sockets[0].getsockname()[1]
        self.endpoint = f"{HOST}:{port}"
        self.up_at = time.monotonic()
        names = list(self.cloud.controllers)
        index = random.randrange(len(names))
        connection = Connection(self.cloud.controllers[names[index]])
        renewed = time.monotonic()
        lease_s, report_s = self.cloud.lease_s, self.cloud.report_s
        while self.dead_at is None:
            if time.monotonic() - renewed > lease_s:
                self.end_lease()
                renewed = time.monotonic()
            tenure, sent = self.tenure, time.monotonic()
            self.changed.clear()
            ask = asyncio.ensure_future(connection.request("POST", "/checkin", self.report(), 4.0))
            done, _ = await asyncio.wait(
                [ask], timeout=max(0.0, renewed + lease_s - time.monotonic())
            )
            if not done:
                self.end_lease()
                renewed = time.monotonic()
            status, answer = await ask
            if self.dead_at is not None:
                break
            if status == 200:
                token = answer.get("mandate", -1)
                if token >= self.mandate and tenure == self.tenure:
                    renewed, self.mandate = sent, token
                    self.carry_out(answer["writs"])
                pause = report_s * random.uniform(0.75, 1.25)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause):
                        await self.changed.wait()
                await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
                continue
            steward = answer.get("steward") if status == 421 and answer else None
            connection.close()
            if steward in names and steward != names[index]:
                index = names.index(steward)
                await asyncio.sleep(random.uniform(0.0, 0.5))
            else:
                index = (index + 1) % len(names)
                await asyncio.sleep(1.0)
            connection = Connection(self.cloud.controllers[names[index]])
        connection.close()

    def end_lease(self) -> None:
        for task in self.active():
            self.exit(task, "lease")
        self.tasks.clear()
        self.tenure += 1
        self.cloud.record.write("session", hall=self.name, tenure=self.tenure)

    async def handle(
        self, method: str, path: str, query: dict[str, str], value: Any
    ) -> tuple[int, Any]:
        if path == "/inspect":
            return 200, self.report()
        if path != "/commands" or value is None or not {"mandate", "tenure"} <= value.keys():
            return 400, {}
        if value["mandate"] < self.mandate or value["tenure"] != self.tenure:
            return 409, self.report()
        if value["mandate"] > self.mandate:
            self.mandate = value["mandate"]
        self.carry_out(value["writs"])
        return 200, self.report()

    def die(self) -> None:
        for task in self.active():
            if task.state in ("running", "flushing"):
                self.cloud.note("ends", self, task, cause="machine died")
        self.tasks.clear()
        self.dead_at = time.monotonic()
        self.changed.set()
        if self.server is not None:
            self.server.close()


class Cloud:
    def __init__(self, record: Record, settings: dict[str, Any]) -> None:
        self.record = record
        self.controllers: dict[str, str] = settings["controllers"]
        self.types = {kind["label"]: kind for kind in settings["types"]}
        self.capacity: dict[str, int] = settings["capacity"]
        self.boot_s: float = settings["boot_s"]
        self.lag_s = settings["list_lag_s"]
        self.report_s, self.lease_s = settings["report_s"], settings["lease_s"]
        self.jobs_folder = Path(settings["jobs"])
        self.jobs: dict[str, dict[str, Any]] = {}
        self.machines: dict[str, Machine] = {}
        self.hires: dict[str, list[str]] = {}
        self.count = 0
        self.workers: set[asyncio.Task[None]] = set()
        for label, zone, spot in settings["machines"]:
            self.hire(label, zone, spot, 0.5)

    def note(self, what: str, machine: Machine, task: Task, **fields: Any) -> None:
        fields |= {"hall": machine.name, "parcel": task.name, "try": task.attempt}
        self.record.write(what, **fields)

    def job(self, job_id: str) -> dict[str, Any] | None:
        if job_id not in self.jobs:
            with contextlib.suppress(OSError):
                self.jobs[job_id] = json.loads((self.jobs_folder / f"{job_id}.json").read_text())
        return self.jobs.get(job_id)

    def hire(self, label: str, zone: str, spot: bool, boot_s: float) -> str:
        self.count += 1
        name = f"m-{self.count:06d}"
        machine = self.machines[name] = Machine(self, name, self.types[label], zone, spot)
        self.record.write("hired", hall=name, build=label, zone=zone, spot=spot)
        self.workers.add(asyncio.get_running_loop().create_task(machine.work(boot_s)))
        return name

    def take(self, name: str) -> None:
        machine = self.machines.pop(name, None)
        if machine is not None and machine.dead_at is None:
            self.record.write("taken", hall=name)
            machine.die()

    def handle_test(self, path: str, value: dict[str, Any]) -> tuple[int, Any]:
        machine = self.machines[value["hall"]]
        if path == "/test/die":
            machine.die()
            self.record.write("machine died", hall=machine.name)
        else:
            machine.recall_at = time.monotonic() + value["recall_s"]
            machine.changed.set()
            self.record.write("recall", **value)
            asyncio.get_running_loop().call_later(value["recall_s"], self.take, machine.name)
        return 200, {}

    async def handle(
        self, method: str, path: str, query: dict[str, str], value: Any
    ) -> tuple[int, Any]:
        if path.startswith("/test/"):
            return self.handle_test(path, value)
        if path == "/machine_types":
            return 200, {"builds": list(self.types.values())}
        if path == "/hosts/delete":
            self.record.write("deleted", halls=value["halls"])
            for name in value["halls"]:
                machine = self.machines.pop(name, None)
                if machine is not None and machine.dead_at is None:
                    machine.die()
            return 200, {}
        if path == "/hosts" and method == "POST":
            return self.handle_hire(value)
        return self.handle_list(query)

    def handle_list(self, query: dict[str, str]) -> tuple[int, Any]:
        now = time.monotonic()
        listed = []
        for machine in self.machines.values():
            if machine.name <= query.get("after", "") or now - machine.hired_at < self.lag_s:
                continue
            standing = "starting" if machine.up_at is None else "running"
            if machine.dead_at is not None and now - machine.dead_at > 30:
                standing = "failed"
            listed.append({
                "id": machine.name, "endpoint": machine.endpoint, "build": machine.kind["label"],
                "ward": machine.zone, "standby": machine.spot, "standing": standing,
                "held_s": now - machine.hired_at,
            })  # fmt: skip
        most = int(query.get("most", 500))
        return 200, {"halls": listed[:most], "more": len(listed) > most}

    def handle_hire(self, value: dict[str, Any]) -> tuple[int, Any]:
        if value["hire"] not in self.hires:
            here = sum(machine.zone == value["ward"] for machine in self.machines.values())
            count = min(value["how_many"], self.capacity.get(value["ward"], 0) - here)
            if count <= 0:
                self.record.write("refused", why="no capacity", hire=value["hire"])
                return 503, {"error": "no capacity"}
            self.hires[value["hire"]] = [
                self.hire(value["build"], value["ward"], value["standby"], self.boot_s)
                for _ in range(count)
            ]
        return 200, {"halls": self.hires[value["hire"]]}


async def main() -> None:
    port, record, settings = sys.argv[1:]
    cloud = Cloud(Record(record, "cloud"), json.loads(settings))
    await serve(int(port), cloud.handle)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
