"""Runs controllers of an earlier commit and of this version together.

    PYTHONPATH=.:target/deps python3 bench/mixed_versions.py --commit 917f999

The controllers are real processes on loopback: two cells of three, with duties and cells on. Each
cell has its own stand-ins of state service and cloud; settings and operators' files stay the same.
Stages: the earlier version writes the data; this version starts with it; both versions run side by
side, each leading in each cell in turn; the earlier version starts with all data written so far. In
every stage jobs are submitted and cancelled at random controllers, and queried at every controller
of their cell. At the end the logs of stand-ins and controllers are checked. Prints a line for each
stage, a line of figures, and a line for each of at most 20 faults; exit code 1 if there is a fault.
"""

from __future__ import annotations

import argparse
import asyncio
import io
import random
import shutil
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from bench.cells_real import LogChecker, operator_config
from bench.freezes import ROOT, Site, read_log
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec

CONTROLLERS, MACHINES, TASK_S = 3, 4, 6.0  # the first two are per cell
EARLIER, CURRENT = "earlier", "current"
FINAL_STATUSES = ("done", "aborted")
STORED_PREFIXES = (  # of keys; a run must change records under each of them
    "live/", "done/", "past/", "round/", "cache/", "lead", "term", "duties/", "duty-act/",
    "handoff/", "borrowed/",
)  # fmt: skip
SETTLE_TIMEOUT_S = 120.0  # from the start of a stage until all jobs must have ended
LEADER_TIMEOUT_S = 60.0  # for a controller of the wanted version to become leader


class VersionedSite(Site):
    """The processes of one cell; `versions` names the version of each controller."""

    def __init__(self, folder: Path, sources: dict[str, Path]) -> None:
        super().__init__(folder, CONTROLLERS, MACHINES)
        self.sources = sources
        self.versions = [EARLIER] * CONTROLLERS
        self.starts: Counter[int] = Counter()  # by index of the controller

    def start(self, index: int) -> subprocess.Popen[bytes]:
        """Start one controller in the version set for it; each start logs to a new file. Python
        finds `peathall` beside the started run.py, before the path in PYTHONPATH."""
        self.starts[index] += 1
        log = self.folder / f"{self.versions[index]}-{index}-{self.starts[index]}.stderr"
        with log.open("wb") as stderr:
            return subprocess.Popen(
                [
                    sys.executable, str(self.sources[self.versions[index]] / "run.py"),
                    "--operator-config", str(self.folder / "peathall.textproto"),
                    "--config", str(self.folder / f"{index}.toml"),
                ],
                env=self.environment, stderr=stderr,
            )  # fmt: skip

    def kill(self, index: int) -> None:
        self.controllers[index].kill()
        self.controllers[index].wait()

    def restart_all(self, versions: list[str]) -> None:
        """Kill all controllers, then start them with these versions on the same data."""
        for index in range(CONTROLLERS):
            self.kill(index)
        self.versions = list(versions)
        self.controllers = [self.start(index) for index in range(CONTROLLERS)]

    async def leader(self) -> int | None:
        """Index of the controller that says it leads; None if none does."""
        for index, port in enumerate(self.peer_ports):
            status, value = await request_json(port, "GET", "/ping")
            if status == 200 and value["leads"]:
                return index
        return None

    async def make_version_lead(self, version: str) -> bool:
        """Kill all controllers of the other version, and start them again once one of this version
        leads; False if none leads in time."""
        others = [index for index in range(CONTROLLERS) if self.versions[index] != version]
        for index in others:
            self.kill(index)
        deadline = time.monotonic() + LEADER_TIMEOUT_S
        leader = None
        while leader is None and time.monotonic() < deadline:
            await asyncio.sleep(0.5)
            leader = await self.leader()
        for index in others:
            self.controllers[index] = self.start(index)
        return leader is not None

    def exited_controllers(self) -> list[int]:
        return [
            index
            for index, controller in enumerate(self.controllers)
            if controller.poll() is not None
        ]


async def request_json(port: int, method: str, path: str) -> tuple[int, Any]:
    """Status and body of a controller's response at its peer address; status 0 without one."""
    client = HttpClient(f"127.0.0.1:{port}", "application/json", max_idle=0)
    try:
        status, raw = await client.request(method, path, b"", 2.0)
        return status, orjson.loads(raw) if raw else None
    except (NoAnswerError, orjson.JSONDecodeError):
        return 0, None


async def request_cbor(port: int, method: str, path: str, value: Any = None) -> tuple[int, Any]:
    """Status and body of a controller's response to a user; status 0 without one."""
    body = b"" if value is None else codec.encode_cbor(value)
    try:
        client = HttpClient(f"127.0.0.1:{port}", max_idle=0)
        status, raw = await client.request(method, path, body, 3.0)
        return status, codec.decode_cbor(raw)
    except NoAnswerError:
        return 0, None


def job_body(number: int, **overrides: Any) -> dict[str, Any]:
    return {
        "id": f"j-{number:06d}", "docket": "c", "desk": "red", "shape": "sweep",
        "precedence": "high", "parcels": 2, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "together": False, "scatter": False, "standby": False, "kit": "img", "image_gb": 0.1,
        "reckon_s": TASK_S, "tally_s": 0.0, "stow_s": 0.0,
    } | overrides  # fmt: skip


@dataclass
class Job:
    """A submitted job and its final status as answered by controllers."""

    site: VersionedSite
    body: dict[str, Any]
    cancelled: bool = False  # a cancellation was sent
    final: str = ""  # the final status, once answered

    @property
    def path(self) -> str:
        return f"/work/{self.body['id']}"


@dataclass
class StageRunner:
    """Runs the stages; keeps all jobs, counts of answered requests, and the faults found."""

    sites: list[VersionedSite]
    rng: random.Random
    jobs: list[Job] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    # Answered requests by operation, version of the asked controller and version of the leader.
    answered: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    # Duties seen with a holder, by version of the holder and version of the leader.
    holders: Counter[tuple[str, str]] = field(default_factory=Counter)

    async def ask(self, job: Job, operation: str, index: int) -> int:
        """Submit, cancel or query a job at one controller, check the response and return its
        status code."""
        site = job.site
        method, path, value = {
            "submit": ("POST", "/work", job.body),
            "cancel": ("POST", f"{job.path}/withdraw", {}),
            "query": ("GET", job.path, None),
        }[operation]
        final_before = job.final
        leader = await site.leader()
        status, answer = await request_cbor(site.api_ports[index], method, path, value)
        if status in (200, 201):
            if leader is not None:
                self.answered[operation, site.versions[index], site.versions[leader]] += 1
            self.check_status(job, answer["standing"], final_before)
        elif status not in (0, 503):
            self.faults.append(f"{operation} of {job.body['id']} answered {status} {answer}")
        return status

    def check_status(self, job: Job, status: str, final_before: str) -> None:
        """Check an answered status of a job. `final_before` is the final status that had been
        answered before the request; empty if none had been."""
        job_id = job.body["id"]
        if final_before and status != final_before:
            self.faults.append(f"{job_id} is {status} after {final_before}")
        if status == "aborted" and not job.cancelled:
            self.faults.append(f"{job_id} is aborted but was not cancelled")
        if status in FINAL_STATUSES:
            job.final = job.final or status

    async def submit(self, site: VersionedSite, cancel: bool = False, **overrides: Any) -> None:
        """Submit a job to the controllers in turn until one accepts it. With `cancel`, cancel it
        after at most half of a task's run time."""
        job = Job(site, job_body(len(self.jobs), **overrides))
        self.jobs.append(job)
        turn = self.rng.randrange(CONTROLLERS)
        while await self.ask(job, "submit", turn % CONTROLLERS) not in (200, 201):
            turn += 1
            await asyncio.sleep(0.3)
        if cancel:
            await asyncio.sleep(self.rng.uniform(0.0, TASK_S / 2))
            await self.cancel(job)

    async def cancel(self, job: Job) -> None:
        """Send cancellations to random controllers until one answers a final status."""
        job.cancelled = True
        while job.final == "":
            await self.ask(job, "cancel", self.rng.randrange(CONTROLLERS))
            await asyncio.sleep(0.5)

    async def stage(self, name: str) -> None:
        """Submit jobs to both cells and wait until all have ended. The first cell gets 10 urgent
        gangs but has room for 4, so the rest wait or are handed off to the second cell."""
        began = time.monotonic()
        first, second = self.sites
        submissions = [self.submit(first, shape="daemon", cancel=True)]
        submissions += [
            self.submit(site, cancel=n % 3 == 0, parcels=1 + n % 4)
            for site in self.sites
            for n in range(9)
        ]
        submissions += [
            self.submit(first, docket="urgent", shape="ensemble", vcpus=4.0, parcels=1)
            for _ in range(10)
        ]
        submissions += [self.submit(second, shape="ensemble", parcels=2) for _ in range(3)]
        await asyncio.gather(*(self.submit_later(job) for job in submissions))
        while any(not job.final for job in self.jobs):
            if time.monotonic() - began > SETTLE_TIMEOUT_S:
                left = [job.body["id"] for job in self.jobs if not job.final]
                self.faults.append(f"{name}: jobs not ended after {SETTLE_TIMEOUT_S:g} s: {left}")
                break
            await self.query_all([job for job in self.jobs if not job.final])
            await self.note_holders()
            await asyncio.sleep(1.0)
        await self.query_all(self.jobs)
        for site in self.sites:
            for index in site.exited_controllers():
                self.faults.append(f"{name}: controller {index} ended by itself")
        versions = " ".join("+".join(site.versions) for site in self.sites)
        print(
            f"{name} ({versions}): {len(self.jobs)} jobs so far, {len(self.faults)} faults",
            flush=True,
        )

    async def submit_later(self, submission: Any) -> None:
        """Await the submission after a random delay, so that submissions overlap."""
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        await submission

    async def query_all(self, jobs: list[Job]) -> None:
        """Query each job at every controller of its cell until the controller answers."""
        for job in jobs:
            for index in range(CONTROLLERS):
                for _ in range(40):
                    if await self.ask(job, "query", index) == 200:
                        break
                    await asyncio.sleep(0.5)
                else:
                    self.faults.append(f"no answer about {job.body['id']} from controller {index}")

    async def note_holders(self) -> None:
        """Count the duties that have a holder, by the versions of the holder and of the leader."""
        for site in self.sites:
            leader = await site.leader()
            status, value = await request_json(
                site.peer_ports[self.rng.randrange(CONTROLLERS)], "POST", "/duties"
            )
            if status != 200 or leader is None:
                continue
            for duty in value["duties"]:
                if duty["holder"]:
                    holder = int(duty["holder"][-1])  # the name ends with the index
                    self.holders[site.versions[holder], site.versions[leader]] += 1

    async def run_stages(self) -> None:
        await asyncio.sleep(3.0)
        await self.stage("earlier version writes")
        for site in self.sites:
            site.restart_all([CURRENT] * CONTROLLERS)
        await self.stage("current version on its data")
        for site, versions in zip(
            self.sites, ([EARLIER, CURRENT, CURRENT], [CURRENT, EARLIER, EARLIER]), strict=True
        ):
            site.restart_all(versions)
        for leaders in (
            (EARLIER, CURRENT), (CURRENT, EARLIER), (EARLIER, EARLIER), (CURRENT, CURRENT),
        ):  # fmt: skip
            for site, version in zip(self.sites, leaders, strict=True):
                if not await site.make_version_lead(version):
                    self.faults.append(f"no controller of the {version} version leads")
            await self.stage(f"both, led by {leaders[0]} and {leaders[1]}")
        for site in self.sites:
            site.restart_all([EARLIER] * CONTROLLERS)
        await self.stage("earlier version on all data")
        await asyncio.sleep(20.0)  # time for borrowed jobs to end and their records to be deleted
        self.check_coverage()

    def check_coverage(self) -> None:
        """Check that each operation was answered by each version while each version led, and that
        each version held a duty while the other led."""
        for operation in ("submit", "cancel", "query"):
            for asked in (EARLIER, CURRENT):
                for leader in (EARLIER, CURRENT):
                    if not self.answered[operation, asked, leader]:
                        self.faults.append(f"no {operation} at {asked} while {leader} led")
        for pair in ((EARLIER, CURRENT), (CURRENT, EARLIER)):
            if not self.holders[pair]:
                self.faults.append(f"no duty was held by {pair[0]} while {pair[1]} led")


class MixedLogChecker(LogChecker):
    """The checks of cells_real, with the run time of this program's tasks."""

    def check_line(self, cell: int, line: dict[str, Any]) -> None:
        super().check_line(cell, line)
        if line["kind"] == "start":
            start, _, run_cell = self.runs[line["task"]][-1]
            self.runs[line["task"]][-1] = (start, start + TASK_S, run_cell)


def unpack(commit: str, folder: Path) -> Path:
    """Write the sources of the commit to the folder, and return the folder."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "peathall", "run.py"],
        capture_output=True, check=True,
    )  # fmt: skip
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return folder


def check_logs(sites: list[VersionedSite]) -> tuple[list[str], Counter[str]]:
    """Check the logs of stand-ins and controllers: the checks of cells_real, and errors logged by
    controllers. Returns the faults, and the number of stored changes by key prefix."""
    checker = MixedLogChecker()
    changes_by_prefix: Counter[str] = Counter()
    faults: list[str] = []
    entries = [
        (line["at"], cell, line)
        for cell, site in enumerate(sites)
        for name in ("store.log", "cloud.log")
        for line in read_log(site.folder / name)
    ]
    for _, cell, line in sorted(entries, key=lambda entry: entry[0]):
        checker.check_line(cell, line)
        if line["kind"] == "commit":
            for change in line["apply"]:
                key = change.get("write", change.get("drop"))
                changes_by_prefix.update(
                    prefix for prefix in STORED_PREFIXES if key.startswith(prefix)
                )
    faults += checker.faults
    faults += [f"handoff record left: {entry}" for entry in checker.open_records]
    faults += [
        f"nothing stored under {prefix}"
        for prefix in STORED_PREFIXES
        if not changes_by_prefix[prefix]
    ]
    for cell, site in enumerate(sites):
        for log in sorted(site.folder.glob("*.stderr")):
            for text in log.read_text().splitlines():
                if " ERROR " in text or text.startswith("Traceback"):
                    faults.append(f"cell {cell} {log.name}: {text}")
    return faults, changes_by_prefix


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commit", required=True, help="commit of the earlier version")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="mixed-"))
    sources = {EARLIER: unpack(args.commit, folder / "earlier"), CURRENT: ROOT}
    sites = []
    for cell in range(2):
        (folder / str(cell)).mkdir()
        sites.append(VersionedSite(folder / str(cell), sources))
    runner = StageRunner(sites, random.Random(args.seed))
    began = time.monotonic()
    try:
        for cell, site in enumerate(sites):
            site.start_all(operator_config(cell, sites) + "duties { lease_s: 2 }\n", TASK_S)
        asyncio.run(runner.run_stages())
    finally:
        for site in sites:
            site.kill_all()
    faults, changes_by_prefix = check_logs(sites)
    faults = runner.faults + faults
    done = sum(job.final == "done" for job in runner.jobs)
    aborted = sum(job.final == "aborted" for job in runner.jobs)
    print(
        f"seed {args.seed}, {args.commit}, {time.monotonic() - began:.0f} s: {done} jobs done,"
        f" {aborted} cancelled, of {len(runner.jobs)}; stored changes by key"
        f" {dict(changes_by_prefix)}; duty holders by version of holder and leader"
        f" {dict(runner.holders)}; faults {len(faults)}"
    )
    for fault in faults[:20]:
        print(f"fault: {fault}")
    if args.keep:
        print(f"logs in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(bool(faults))


if __name__ == "__main__":
    main()
