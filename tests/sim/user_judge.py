"""The rules about what users learn of their jobs, and when their jobs are done."""

from __future__ import annotations

from typing import Any

from tests.sim.day_record import DayRecord
from tests.sim.task_registry import TaskRegistry

FINAL = ("done", "aborted")  # a job's status in responses once it has ended
LARGEST_BEGINS_S = 240.0  # the largest jobs of a class begin within


class UserJudge:
    """Checks every response to a user, and at the end whether the users were served."""

    def __init__(self, registry: TaskRegistry, record: DayRecord) -> None:
        self.registry, self.record = registry, record

    def ended(self, job_id: str) -> bool:
        """Whether the user knows that the job has ended."""
        return self.record.last_response.get(job_id) in FINAL

    def check_response(self, job: dict[str, Any], status: str, may_cancel: bool) -> None:
        """A response with the job's status has arrived; only some jobs may be cancelled."""
        job_id, before = job["id"], self.record.last_response.get(job["id"])
        if before in FINAL and status != before:
            self.record.breaks("went_back", f"{job_id} {before} -> {status}")
        if status == "aborted":
            self.record.cancelled.setdefault(job_id, self.record.loop.now)  # in any response
        if status == "aborted" and not may_cancel:
            self.record.breaks("went_back", f"{job_id} cancelled by nobody")
        if status == "done" and before != "done":
            missing = [
                t for t in range(job["parcels"]) if f"{job_id}/{t}" not in self.registry.results
            ]
            if missing:
                self.record.breaks("not_done", f"{job_id} lacks {missing}")
        self.record.last_response[job_id] = status

    def check_served(self) -> None:
        """Half of each class, team and of a class's largest jobs, and the largest in time."""
        record = self.record
        groups: dict[str, list[str]] = {}
        for job_id, job in self.registry.jobs.items():
            if job_id not in record.submitted or job_id in record.cancelled:
                continue
            sizes = [
                j["parcels"] for j in self.registry.jobs.values() if j["docket"] == job["docket"]
            ]
            names = [job["docket"], job["desk"]]
            if job["parcels"] == max(sizes):
                names.append(f"largest {job['docket']}")
                waited = record.begun.get(job_id, 1e9) - max(
                    record.submitted[job_id], record.troubled_until
                )
                if waited > LARGEST_BEGINS_S:
                    record.breaks("served", f"{job_id} of {job['parcels']} tasks began late")
            for name in names:
                groups.setdefault(name, []).append(job_id)
        for name, ids in groups.items():
            if sum(record.last_response.get(j) == "done" for j in ids) < len(ids) / 2:
                record.breaks("served", f"less than half of {name}")
