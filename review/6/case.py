"""The only machine that a job may use fails it once, and is well again soon after."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "tools2"))

from harness import BROKEN, HELD, NOT_RUN, Site, run_case, with_trouble  # noqa: E402

WAIT_S = 90.0  # no job is left waiting for so long while a machine that fits has room
SICK_S = 8.0
SERVICE, JOB = "j-000001", "j-000002"
SITE = {
    "zones": ["colombo", "kandy"], "capacity": {"colombo": 1, "kandy": 1},
    "machines": [["shack-gpu", "colombo", 1], ["shack-gpu", "kandy", 1]],
    "builds": [{
        "label": "shack-gpu", "vcpus": 32.0, "cards": 4, "ram_gb": 256.0, "cache_gb": 120.0,
        "pull_gb_per_s": 1.0, "rate": 11.24, "market_price": 2.91, "startup_s": 30.0,
        "wards": ["colombo", "kandy"],
    }],
    "teams": [{"name": "awards-desk"}, {"name": "qsl-bureau"}],
    "workers": {"report_s": 5.0, "lease_s": 24.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0,
                "cancel_s": 49.0},
    "state": {"rps": 80.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 6.0, "list_lag_s": 6.0},
    "machine_limits": {"cpu_share": 0.18, "ram_mb": 146.0, "fd_limit": 800},
}  # fmt: skip


class Seen:
    """What the platform has logged of both jobs."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.starts = {SERVICE: 0, JOB: 0}
        self.errors = 0
        self.service_runs = False
        self.machine_lost = False

    def update(self) -> None:
        """Reads the new lines of the log."""
        for event in self.site.events():
            job = str(event.get("task", "")).rpartition("/")[0]
            if event["kind"] == "start":
                self.starts[job] += 1
                self.service_runs |= job == SERVICE
            elif event["kind"] == "end" and event["cause"] == "error":
                self.errors += 1
            elif event["kind"] == "killed":
                self.machine_lost = True  # the service ran there; the other machine may go

    async def wait_for(self, condition: str, limit_s: float) -> bool:
        """Waits until an attribute or the number of starts of a job is true."""
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            self.update()
            if self.starts.get(condition) or getattr(self, condition, None):
                return True
            await asyncio.sleep(0.25)
        return False


async def play(site: Site) -> int:
    """Returns the exit code."""
    seen = Seen(site)
    service = site.upload(
        SERVICE, [1e6], shape="daemon", docket="qsl-lookup", desk="qsl-bureau", ward="kandy",
        precedence="critical", ram_gb=6.4, reckon_s=0.0,
    )  # fmt: skip
    job = site.upload(
        JOB, [5.0], docket="award-audit", desk="awards-desk", ward="kandy", vcpus=6.0, cards=1.0,
        ram_gb=48.0, reckon_s=5.0, tally_s=15.0, stow_s=4.0,
    )  # fmt: skip
    if not await site.submit(service) or not await seen.wait_for(SERVICE, 20.0):
        return NOT_RUN
    sick = site.folder / "jobs" / "sick-kandy"
    if with_trouble():
        sick.touch()
        site.note("the machine in kandy fails every task that it starts from now on")
    if not await site.submit(job) or not await seen.wait_for(JOB, 15.0):
        return NOT_RUN
    if with_trouble():
        if not await seen.wait_for("errors", 5.0):
            return NOT_RUN
        await asyncio.sleep(SICK_S)
        sick.unlink()
        site.note("the machine in kandy is well again")
    before, well_at = (seen.starts[JOB] if with_trouble() else 0), time.monotonic()
    while seen.starts[JOB] == before and time.monotonic() - well_at < WAIT_S:
        await asyncio.sleep(0.5)
        seen.update()
    waited_s = time.monotonic() - well_at
    await site.insist("GET", f"/work/{JOB}", None, 5.0)
    seen.update()
    started = seen.starts[JOB] > before
    site.note(f"started: {started}, waited {waited_s:.0f} s, machine lost: {seen.machine_lost}")
    return HELD if started or seen.machine_lost else BROKEN


sys.exit(run_case(CASE, SITE, play))
