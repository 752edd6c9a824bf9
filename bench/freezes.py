"""Freezes and kills controllers with duties on at random moments.

    PYTHONPATH=.:target/deps python3 bench/freezes.py --freezes 1000 --seed 1

Five controllers, started through run.py, and the stand-ins of state service and cloud are real
processes on loopback; jobs are submitted all the time. At the end the logs of both stand-ins are
checked, and a line of figures is printed.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec
from tests.sim.duty_checker import DutyChecker

ROOT = Path(__file__).resolve().parents[1]
CONTROLLERS = 5
OPERATOR_CONFIG = "idle_hold_s: 0.5\nduties { lease_s: 2 }\n"
CONTROLLER_SETTINGS = """
member = "hall-{i}"
location = "a"
api_addr = "127.0.0.1:{api}"
back = "127.0.0.1:{back}"
{peers}
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{store}"
[params]
size = {size}
zones = ["a", "b"]
[[params.teams]]
name = "red"
[[params.objectives]]
kind = "wait"
class = "urgent"
within_s = 10.0
share = 0.9
[params.workers]
report_s = 1.0
lease_s = 12.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 25.0
[params.state]
rps = 400.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 20.0
list_lag_s = 1.0
"""


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Site:
    """The processes of one cell. The constructor only chooses the ports, so that settings of other
    cells can refer to them before `start_all`."""

    def __init__(self, folder: Path, controllers: int = CONTROLLERS, machines: int = 40) -> None:
        self.folder = folder
        self.controller_count = controllers
        self.machines = machines
        ports = free_ports(2 + 2 * controllers)
        self.store_port, self.cloud_port = ports[:2]
        self.api_ports, self.peer_ports = ports[2 : 2 + controllers], ports[2 + controllers :]
        self.environment = os.environ | {"PYTHONPATH": f"{ROOT}:{ROOT}/target/deps"}

    def start_all(self, operator: str = OPERATOR_CONFIG, task_s: float = 1.0) -> None:
        (self.folder / "peathall.textproto").write_text(operator)
        for i in range(self.controller_count):
            peers = "".join(
                f'[[known]]\nmember = "hall-{k}"\nlocation = "a"\nendpoint = "127.0.0.1:{port}"\n'
                for k, port in enumerate(self.peer_ports)
                if k != i
            )
            text = CONTROLLER_SETTINGS.format(
                i=i, api=self.api_ports[i], back=self.peer_ports[i], peers=peers,
                cloud=self.cloud_port, store=self.store_port, size=self.controller_count,
            )  # fmt: skip
            (self.folder / f"{i}.toml").write_text(text)
        api_addresses = [f"127.0.0.1:{port}" for port in self.api_ports]
        script = str(ROOT / "bench" / "stand_in.py")
        self.stand_ins = [
            self.spawn(script, "store", str(self.store_port), str(self.folder / "store.log")),
            self.spawn(
                script, "cloud", str(self.cloud_port), str(self.folder / "cloud.log"),
                *api_addresses, "--machines", str(self.machines), "--task-s", str(task_s),
            ),
        ]  # fmt: skip
        time.sleep(1.0)
        self.controllers = [self.start(i) for i in range(self.controller_count)]

    def spawn(self, *arguments: str) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, *arguments], env=self.environment, stderr=subprocess.DEVNULL
        )

    def start(self, index: int) -> subprocess.Popen[bytes]:
        return self.spawn(
            str(ROOT / "run.py"), "--operator-config", str(self.folder / "peathall.textproto"),
            "--config", str(self.folder / f"{index}.toml"),
        )  # fmt: skip

    def kill_all(self) -> None:
        for process in [*self.controllers, *self.stand_ins]:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


async def submit(site: Site, number: int, tasks: int, **overrides: Any) -> str:
    """Submits a job to the controllers in turn until one accepts it; returns its id."""
    job = {
        "id": f"j-{number:06d}", "docket": "c", "desk": "red", "shape": "sweep",
        "precedence": "high", "parcels": tasks, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "builds": None, "ward": None, "together": False, "scatter": False, "standby": False,
        "kit": "img", "image_gb": 0.1, "reckon_s": 1.0, "tally_s": 0.0, "stow_s": 0.0,
        "due_s": None,
    } | overrides  # fmt: skip
    for attempt in range(600):
        client = HttpClient(
            f"127.0.0.1:{site.api_ports[(number + attempt) % site.controller_count]}", max_idle=0
        )
        try:
            status, _ = await client.request("POST", "/work", codec.encode_cbor(job), 3.0)
            if status in (200, 201):
                return str(job["id"])
        except NoAnswerError:
            pass
        await asyncio.sleep(0.2)
    raise AssertionError(f"{job['id']} was not accepted in 600 attempts")


async def job_status(site: Site, job_id: str) -> str:
    for port in site.api_ports:
        try:
            status, raw = await HttpClient(f"127.0.0.1:{port}", max_idle=0).request(
                "GET", f"/work/{job_id}", b"", 2.0
            )
            if status == 200:
                return str(codec.decode_cbor(raw)["standing"])
        except NoAnswerError:
            continue
    return "unknown"


async def run_workload(site: Site, freezes: int, rng: random.Random) -> tuple[int, int, int]:
    """Returns the number of jobs, of jobs done at the end, and of kills."""
    waiting: list[asyncio.Task[str]] = []
    kills = 0
    await asyncio.sleep(3.0)
    for number in range(freezes):
        index = rng.randrange(CONTROLLERS)
        if rng.random() < 0.02:
            kills += 1
            site.controllers[index].kill()
            site.controllers[index].wait()
            await asyncio.sleep(rng.choice([0.05, 0.5]))
            site.controllers[index] = site.start(index)
        else:
            site.controllers[index].send_signal(signal.SIGSTOP)
            pause = rng.choice([0.01, 0.05, 0.1, 0.1, 0.3, 2.5 if rng.random() < 0.3 else 0.2])
            await asyncio.sleep(pause)
            site.controllers[index].send_signal(signal.SIGCONT)
        if number % 10 == 0:
            waiting.append(asyncio.create_task(submit(site, number, rng.choice([1, 4, 12]))))
        await asyncio.sleep(rng.uniform(0.0, 0.1))
    jobs = [await task for task in waiting]
    for _ in range(60):
        statuses = [await job_status(site, job) for job in jobs]
        if all(status == "done" for status in statuses):
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(8.0)  # time to return idle machines and delete records
    return len(jobs), statuses.count("done"), kills


def read_log(path: Path) -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


class LogChecker(DutyChecker):
    """Checks the merged logs of both stand-ins, and records how long each duty had no holder."""

    def __init__(self) -> None:
        super().__init__()
        self.vacancies_ms = HdrHistogram(1, 600_000, 3)
        self.duty_changes = 0

    def check_line(self, line: dict[str, Any]) -> None:
        if line["kind"] == "commit":
            keys = [op.get("write") or op["drop"] for op in line["apply"]]
            self.duty_changes += sum(key.startswith(("duties/", "duty-act/")) for key in keys)
            self.check_commit(line)
        elif line["kind"] == "delete":
            self.check_deletion(line["machines"])
        elif line["kind"] == "rent":
            self.check_provision(line["request"], line["machines"])

    def check_claim(self, duty: str, record: dict[str, Any]) -> None:
        before = self.holders.get(duty)
        super().check_claim(duty, record)
        if before is not None and before != record:
            self.vacancies_ms.record_value(max(1, int(1000 * record["vacant_s"])))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--freezes", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="freezes-"))
    site = Site(folder)
    site.start_all()
    began = time.monotonic()
    try:
        jobs, done, kills = asyncio.run(run_workload(site, args.freezes, random.Random(args.seed)))
    finally:
        site.kill_all()
    checker = LogChecker()
    lines = sorted(
        read_log(folder / "store.log") + read_log(folder / "cloud.log"), key=lambda line: line["at"]
    )
    for line in lines:
        checker.check_line(line)
    vacancy_s = [checker.vacancies_ms.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 100)]
    seconds = time.monotonic() - began
    freezes = args.freezes - kills
    figures = [
        f"seed {args.seed}: {freezes} freezes, {kills} kills in {seconds:.0f} s",
        f"{done} of {jobs} jobs done",
        f"{checker.actions} intents, {checker.claims} claims",
        f"duties without a holder for p50 {vacancy_s[0]:.2f} p90 {vacancy_s[1]:.2f} "
        f"p99 {vacancy_s[2]:.2f} longest {vacancy_s[3]:.2f} s",
        f"{checker.duty_changes} of {checker.changes} stored changes are of duties",
        f"unfinished actions {len(checker.unfinished_actions)}, "
        f"faults {len(checker.faults)} {checker.faults[:3]}",
    ]
    print("; ".join(figures))
    if args.keep:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(bool(checker.faults or checker.unfinished_actions or done < jobs))


if __name__ == "__main__":
    main()
