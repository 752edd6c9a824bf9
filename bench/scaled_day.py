"""Prints a day of a site file with machines and load scaled by a factor, to run with `--small`.

    python3 bench/scaled_day.py SITE.toml DAY 1.5 > larger.toml
    fleetbench run SITE.toml larger.toml --small

DAY is the name of a day in the site file, or a TOML file that contains one. With `--small`,
fleetbench takes the size from the day's `small` table, which may be larger than the site's size.
"""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

from toml_text import inline


def scale_day(site: dict[str, Any], name: str, factor: float) -> dict[str, Any]:
    days = [tomllib.loads(Path(name).read_text())["day"][0]] if "." in name else site["day"]
    day: dict[str, Any] = next(
        candidate for candidate in days if "." in name or candidate["name"] == name
    )

    def scaled(table: dict[str, Any], *keys: str) -> dict[str, Any]:
        return {k: round(v * factor) if k in keys else v for k, v in table.items()}

    jobs = [
        {
            "name": job["name"],
            "arrivals": job["arrivals"] | {"rate": job["arrivals"]["rate"] * factor},
            "initial": round(job.get("initial", 0) * factor),
        }
        for job in site["jobs"]
    ]
    teams = [
        {k: v * factor if isinstance(v, float) and k != "weight" else v for k, v in team.items()}
        for team in site["teams"]
    ]
    small = {
        "capacity": [scaled(entry, "count", "spot") for entry in site["capacity"]],
        "machines": [scaled(entry, "count") for entry in site["machines"]],
        "teams": [{k: v for k, v in team.items() if k != "weight"} for team in teams],
        "jobs": jobs,
    }
    faults = [
        scaled(fault, "count") if fault["kind"].startswith("machine_") else fault
        for fault in day.get("faults", [])
    ]
    return {k: v for k, v in day.items() if k != "aims"} | {"faults": faults, "small": small}


def main() -> None:
    path, name, factor = sys.argv[1:]
    with open(path, "rb") as file:
        day = scale_day(tomllib.load(file), name, float(factor))
    print("[[day]]")
    for key, value in day.items():
        print(f"{key} = {inline(value)}")


if __name__ == "__main__":
    main()
