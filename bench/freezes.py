"""Controllers as real processes on loopback with duties on: frozen and killed at random steps.

    PYTHONPATH=.:target/deps python3 bench/freezes.py --freezes 1000 --seed 1

Five controllers by run.py, stand-ins of state service and cloud in processes of their own, jobs all
the time. Afterwards the logs of both stand-ins are judged, and a line of figures is printed.
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
from tests.sim.duty_history import DutyJudge

ROOT = Path(__file__).resolve().parents[1]
SIZE = 5
OPERATOR = "idle_hold_s: 0.5\nduties { lease_s: 2 }\n"
SETTINGS = """
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
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Site:
    """The processes of one cell. `plan` and `start_all` are apart, so that cells can name the ports
    of one another."""

    def __init__(self, folder: Path, size: int = SIZE, machines: int = 40) -> None:
        self.folder = folder
        self.size = size
        self.machines = machines
        ports = free_ports(2 + 2 * size)
        self.store, self.cloud = ports[:2]
        self.api, self.back = ports[2 : 2 + size], ports[2 + size :]
        self.environment = os.environ | {"PYTHONPATH": f"{ROOT}:{ROOT}/target/deps"}

    def start_all(self, operator: str = OPERATOR, task_s: float = 1.0) -> None:
        (self.folder / "peathall.textproto").write_text(operator)
        for i in range(self.size):
            peers = "".join(
                f'[[known]]\nmember = "hall-{k}"\nlocation = "a"\nendpoint = "127.0.0.1:{port}"\n'
                for k, port in enumerate(self.back)
                if k != i
            )
            text = SETTINGS.format(
                i=i, api=self.api[i], back=self.back[i], peers=peers, cloud=self.cloud,
                store=self.store, size=self.size,
            )  # fmt: skip
            (self.folder / f"{i}.toml").write_text(text)
        api = [f"127.0.0.1:{port}" for port in self.api]
        script = str(ROOT / "bench" / "stand_in.py")
        self.others = [
            self.run(script, "store", str(self.store), str(self.folder / "store.log")),
            self.run(
                script, "cloud", str(self.cloud), str(self.folder / "cloud.log"), *api,
                "--machines", str(self.machines), "--task-s", str(task_s),
            ),
        ]  # fmt: skip
        time.sleep(1.0)
        self.nodes = [self.start(i) for i in range(self.size)]

    def run(self, *words: str) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, *words], env=self.environment, stderr=subprocess.DEVNULL
        )

    def start(self, index: int) -> subprocess.Popen[bytes]:
        return self.run(
            str(ROOT / "run.py"), "--operator-config", str(self.folder / "peathall.textproto"),
            "--config", str(self.folder / f"{index}.toml"),
        )  # fmt: skip

    def end(self) -> None:
        for process in [*self.nodes, *self.others]:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


async def submit(site: Site, number: int, tasks: int, **change: Any) -> str:
    """Until it is accepted, by whoever answers."""
    job = {
        "id": f"j-{number:06d}", "docket": "c", "desk": "red", "shape": "sweep",
        "precedence": "high", "parcels": tasks, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "builds": None, "ward": None, "together": False, "scatter": False, "standby": False,
        "kit": "img", "image_gb": 0.1, "reckon_s": 1.0, "tally_s": 0.0, "stow_s": 0.0,
        "due_s": None,
    } | change  # fmt: skip
    for turn in range(600):
        client = HttpClient(f"127.0.0.1:{site.api[(number + turn) % site.size]}", max_idle=0)
        try:
            status, _ = await client.request("POST", "/work", codec.encode_cbor(job), 3.0)
            if status in (200, 201):
                return str(job["id"])
        except NoAnswerError:
            pass
        await asyncio.sleep(0.2)
    raise AssertionError(f"{job['id']} was never accepted")


async def standing(site: Site, job_id: str) -> str:
    for port in site.api:
        try:
            status, raw = await HttpClient(f"127.0.0.1:{port}", max_idle=0).request(
                "GET", f"/work/{job_id}", b"", 2.0
            )
            if status == 200:
                return str(codec.decode_cbor(raw)["standing"])
        except NoAnswerError:
            continue
    return "unknown"


async def play(site: Site, freezes: int, rng: random.Random) -> tuple[int, int, int]:
    """Jobs, those done at the end, kills."""
    waiting: list[asyncio.Task[str]] = []
    kills = 0
    await asyncio.sleep(3.0)
    for number in range(freezes):
        index = rng.randrange(SIZE)
        if rng.random() < 0.02:
            kills += 1
            site.nodes[index].kill()
            site.nodes[index].wait()
            await asyncio.sleep(rng.choice([0.05, 0.5]))
            site.nodes[index] = site.start(index)
        else:
            site.nodes[index].send_signal(signal.SIGSTOP)
            pause = rng.choice([0.01, 0.05, 0.1, 0.1, 0.3, 2.5 if rng.random() < 0.3 else 0.2])
            await asyncio.sleep(pause)
            site.nodes[index].send_signal(signal.SIGCONT)
        if number % 10 == 0:
            waiting.append(asyncio.create_task(submit(site, number, rng.choice([1, 4, 12]))))
        await asyncio.sleep(rng.uniform(0.0, 0.1))
    jobs = [await task for task in waiting]
    for _ in range(60):
        states = [await standing(site, job) for job in jobs]
        if all(state == "done" for state in states):
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(8.0)  # idle machines go back, records are dropped
    return len(jobs), states.count("done"), kills


def read(path: Path) -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


class Judge(DutyJudge):
    """Of the logs of both stand-ins, in order; counts how long duties were vacant."""

    def __init__(self) -> None:
        super().__init__()
        self.vacant = HdrHistogram(1, 600_000, 3)  # milliseconds
        self.duty_changes = 0

    def follow(self, line: dict[str, Any]) -> None:
        if line["kind"] == "commit":
            keys = [op.get("write") or op["drop"] for op in line["apply"]]
            self.duty_changes += sum(key.startswith(("duties/", "duty-act/")) for key in keys)
            self.commit(line)
        elif line["kind"] == "delete":
            self.deleted(line["machines"])
        elif line["kind"] == "rent":
            self.rented(line["request"], line["machines"])

    def claimed(self, duty: str, record: dict[str, Any]) -> None:
        before = self.holders.get(duty)
        super().claimed(duty, record)
        if before is not None and before != record:
            self.vacant.record_value(max(1, int(1000 * record["vacant_s"])))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--freezes", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="the logs, to read them")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="freezes-"))
    site = Site(folder)
    site.start_all()
    began = time.monotonic()
    try:
        jobs, done, kills = asyncio.run(play(site, args.freezes, random.Random(args.seed)))
    finally:
        site.end()
    judge = Judge()
    lines = sorted(
        read(folder / "store.log") + read(folder / "cloud.log"), key=lambda line: line["at"]
    )
    for line in lines:
        judge.follow(line)
    times = [judge.vacant.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 100)]
    seconds = time.monotonic() - began
    freezes = args.freezes - kills
    told = [
        f"seed {args.seed}: {freezes} freezes, {kills} kills in {seconds:.0f} s",
        f"{done} of {jobs} jobs done",
        f"{judge.actions} intents, {judge.claims} claims",
        f"vacant until claimed p50 {times[0]:.2f} p90 {times[1]:.2f} p99 {times[2]:.2f} longest "
        f"{times[3]:.2f} s",
        f"{judge.duty_changes} of {judge.changes} changes are of duties",
        f"unfinished {len(judge.open)}, faults {len(judge.faults)} {judge.faults[:3]}",
    ]
    print("; ".join(told))
    if args.keep:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(bool(judge.faults or judge.open or done < jobs))


if __name__ == "__main__":
    main()
