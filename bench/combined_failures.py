"""Writes test days that combine two or more faults, for any site file.

    python3 bench/combined_failures.py SITE.toml OUT_DIR [SEED]

Writes one TOML file per combination, to be run with `fleetbench run SITE.toml FILE`. The lease of
the workers, the cancellation limit, the job classes and the number of controllers come from the
site file.
"""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

from toml_text import inline

Fault = dict[str, Any]


def fault(at_s: float, kind: str, **options: Any) -> Fault:
    return {"at_s": at_s, "kind": kind, **options}


def leader_fault(at_s: float, kind: str, **options: Any) -> Fault:
    """A fault of the leader, selected as the busiest controller."""
    return fault(at_s, kind, count=1, busiest=True, **options)


def combinations(site: dict[str, Any]) -> dict[str, list[Fault]]:
    lease_s: float = site["workers"]["lease_s"]
    cancel_s: float = site["workers"]["cancel_s"]
    controllers: int = site["nodes"]["count"]
    first_class = site["jobs"][0]["name"]
    last_class = site["jobs"][-1]["name"]
    zone = site["machines"][-1]["zone"]
    t = site.get("warmup_s", 60.0) + 20.0  # base of the fault times; some begin up to 15 s earlier
    state_refuses = {"from_state": True, "mode": "refuse"}
    user_faults = [
        fault(t - 15, "close_looks", for_s=160.0),
        fault(t - 15, "odd_requests", for_s=160.0),
    ]
    days: dict[str, list[Fault]] = {
        "gap-asked": [
            leader_fault(t, "node_cut", for_s=14.0, **state_refuses),
            fault(t + 2, "state_outage", for_s=cancel_s + 12),
            leader_fault(t + 90, "node_cut", for_s=14.0, **state_refuses),
            fault(t + 91.5, "state_outage", for_s=cancel_s + 12),
        ],
        "cancel-at-refusal": [
            leader_fault(t, "node_cut", for_s=20.0, **state_refuses),
            fault(t, "cancel_now", count=12),
            fault(t + 1, "state_outage", for_s=cancel_s + 8),
            leader_fault(t + 85, "node_cut", for_s=30.0, **state_refuses),
            fault(t + 85, "cancel_now", count=12, hang_s=lease_s - 4),
            fault(t + 88.2, "cancel_now", count=8),
            fault(t + 88.6, "state_outage", for_s=cancel_s + 8),
        ],
        "all-away": [
            fault(t, "node_down", count=controllers, for_s=lease_s + 8),
            fault(t + 3, "cancel_now", count=8),
            fault(t + 70, "node_crash", count=controllers),
            fault(t + 70.5, "cancel_now", count=8),
        ],
        "hand-over": [
            *[leader_fault(t + 4.0 * i, "node_crash") for i in range(6)],
            *[fault(t + 1.0 + 4.0 * i, "cancel_now", count=3) for i in range(6)],
            fault(t + 60, "node_roll", every_s=3.0),
            fault(t + 62, "cancel_now", count=8),
            fault(t + 110, "node_crash", count=controllers),
        ],
        "ten-leaders-in-an-outage": [
            fault(t, "late_writes", share=0.3, for_s=120.0),
            *[leader_fault(t + 12.0 * i, "node_crash") for i in range(10)],
            fault(t + 40, "state_outage", for_s=30.0),
            *[fault(t + 5 + 24.0 * i, "cancel_now", count=4) for i in range(5)],
        ],
        "zone": [
            fault(t, "zone_cut", zone=zone, for_s=lease_s + 10, mode="hold"),
            fault(t + 4, "cancel_now", count=10),
            leader_fault(t + 8, "node_crash"),
            fault(t + 75, "machine_die", count=15),
            leader_fault(t + 76, "node_crash"),
        ],
        "unreached-machines": [
            fault(t, "machine_cut", share=0.25, for_s=lease_s - 3, mode="hold"),
            leader_fault(t + 2, "node_crash"),
            fault(t + 4, "cancel_now", count=10),
            fault(t + 60, "machine_deaf", share=0.25, for_s=lease_s + 10),
            leader_fault(t + 62, "node_crash"),
            fault(t + 64, "cancel_now", count=10),
            fault(t + 105, "machine_cut", share=0.3, for_s=lease_s + 6, mode="hold"),
            fault(t + 106, "cancel_now", count=10),
            leader_fault(t + 108, "node_crash"),
        ],
        "new-machines": [
            fault(t - 5, "boot_trouble", fail=0.0, factor=0.04, for_s=150.0),
            fault(t, "job_burst", **{"class": first_class}, factor=4.0, for_s=60.0),
            fault(t, "late_writes", share=0.4, for_s=60.0),
            leader_fault(t + 8, "node_crash"),
            leader_fault(t + 30, "node_crash"),
            fault(t + 33, "cancel_now", count=10),
        ],
        "asked-everywhere": [
            fault(t, "cancel_at_end", share=0.6, for_s=140.0),
            fault(t + 10, "late_writes", share=0.5, for_s=40.0, at_once=True),
            leader_fault(t + 55, "node_crash"),
            fault(t + 58, "cancel_now", count=10),
            leader_fault(t + 80, "node_cut", for_s=15.0, **state_refuses),
            fault(t + 81, "cancel_now", count=10),
            fault(t + 110, "peers_refuse", for_s=25.0),
            fault(t + 112, "cancel_now", count=10),
        ],
        "too-much": [
            fault(t, "job_burst", **{"class": first_class}, factor=5.0, for_s=80.0),
            fault(t, "job_burst", **{"class": last_class}, factor=4.0, for_s=80.0),
            leader_fault(t + 30, "node_crash"),
            fault(t + 33, "cancel_now", count=16),
        ],
        "old-report": [
            fault(t - 10, "late_reports", share=0.5, for_s=120.0, for_next=True),
            leader_fault(t + 15, "node_crash"),
            fault(t + 16, "machine_cut", share=0.2, for_s=12.0, mode="hold"),
            leader_fault(t + 50, "node_crash"),
            fault(t + 52, "cancel_now", count=10),
            leader_fault(t + 90, "node_freeze", for_s=20.0),
        ],
        "old-reports": [
            fault(t - 10, "late_reports", share=0.5, for_s=140.0),
            fault(t + 10, "machine_cut", share=0.3, for_s=lease_s + 6, mode="hold"),
            leader_fault(t + 55, "node_crash"),
            fault(t + 57, "machine_hang", share=0.1, for_s=lease_s - 6),
            fault(t + 60, "cancel_now", count=10, hang_s=lease_s - 4),
        ],
        "leader-with-its-workers": [
            leader_fault(t, "node_cut", for_s=35.0, from_state=True, from_peers=True, mode="hold"),
            fault(t + 1, "cancel_now", count=10),
            fault(t + 5, "cancel_now", count=10),
            leader_fault(
                t + 70, "node_cut", for_s=35.0, from_state=True, from_peers=True, mode="refuse"
            ),
            fault(t + 71, "cancel_now", count=10),
            fault(t + 75, "state_outage", for_s=cancel_s + 6),
        ],
        "late-writes": [
            fault(t, "late_writes", share=0.5, for_s=60.0),
            fault(t + 5, "cancel_now", count=10),
            leader_fault(t + 20, "node_crash"),
            leader_fault(t + 40, "node_cut", for_s=10.0, **state_refuses),
            fault(t + 80, "late_writes", share=0.7, for_s=40.0, at_once=True),
            fault(t + 85, "cancel_now", count=10),
            leader_fault(t + 100, "node_crash"),
        ],
        "lost-answers": [
            fault(t, "late_writes", share=1.0, for_s=cancel_s + 15, at_once=True),
            fault(t + 3, "cancel_now", count=20),
            fault(t + 20, "cancel_now", count=10, hang_s=lease_s - 4),
        ],
        "mute": [
            fault(t, "machine_mute", share=0.3, for_s=lease_s + 8),
            fault(t + 3, "cancel_now", count=12),
            leader_fault(t + 6, "node_crash"),
            fault(t + 70, "machine_mute", share=0.3, for_s=lease_s - 6),
            fault(t + 72, "cancel_now", count=12),
            fault(t + 73, "state_outage", for_s=20.0),
        ],
        "hung-and-cancelled": [
            fault(t, "cancel_now", count=16, hang_s=lease_s - 3),
            leader_fault(t + 1, "node_crash"),
            fault(t + 50, "cancel_now", count=16, hang_s=cancel_s - 8),
            fault(t + 51, "cloud_outage", for_s=cancel_s + 10),
            leader_fault(t + 54, "node_freeze", for_s=12.0),
            fault(t + 120, "cancel_now", count=16, hang_s=cancel_s + 10),
        ],
    }
    for faults in days.values():
        faults += user_faults
        faults.sort(key=lambda entry: float(entry["at_s"]))
    return days


def short_jobs(site: dict[str, Any]) -> dict[str, Any]:
    """A class of short one-task jobs: four arrive per second, and a quarter is cancelled."""
    smallest = min(site["machine_types"], key=lambda kind: kind["cpus"])
    return {
        "name": "lookups", "kind": "array", "priority": "normal",
        "teams": [team["name"] for team in site["teams"]], "cpus": 0.5, "gpus": 0.0,
        "memory_gb": 1.0, "vary": 0.3, "spot": True, "tasks": {"sizes": [1], "weights": [1.0]},
        "run_s": {"median": 8.0, "p95": 14.0, "max": smallest.get("boot_s", 20.0)},
        "estimate_error": 0.5, "checkpoint_s": 0.0, "save_s": 0.0, "cancelled": 0.25,
        "images": {"count": 2, "gb": {"median": 0.5, "p95": 0.6, "max": 0.8}},
        "arrivals": {"rate": 4.0}, "initial": 0,
    }  # fmt: skip


def write_days(site: dict[str, Any], out: Path, seed: int) -> None:
    out.mkdir(parents=True, exist_ok=True)
    jobs = [{"name": job["name"], "cancelled": 0.25} for job in site["jobs"]]
    t = site.get("warmup_s", 60.0) + 20.0
    days = {name: (faults, jobs) for name, faults in combinations(site).items()}
    short_jobs_faults = [
        leader_fault(t + 30, "node_crash"),
        fault(t + 80, "late_writes", share=0.3, for_s=30.0),
    ]
    days["swarm"] = (short_jobs_faults, [*jobs, short_jobs(site)])
    for name, (faults, classes) in days.items():
        lines = [
            "[[day]]",
            f'name = "{name}"',
            'slot = "trouble"',
            "light = true",
            f"seed = {seed}",
            f"duration_s = {t + 200.0}",
            f"jobs = {inline(classes)}",
            "vary = { state_slow = 0.04, state_slow_times = 25.0 }",
            "faults = [",
            *[f"  {inline(entry)}," for entry in faults],
            "]",
        ]
        (out / f"{name}.toml").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    write_days(
        tomllib.loads(Path(sys.argv[1]).read_text()),
        Path(sys.argv[2]),
        int(sys.argv[3]) if len(sys.argv) > 3 else 11,
    )
