"""Rules about the job status that users are told, and about how many jobs must be done."""

from __future__ import annotations

from typing import Any

from tests.sim.day_record import DayRecord
from tests.sim.task_registry import TaskRegistry

FINAL_STATUSES = ("done", "aborted")  # status in responses of a job that has ended
LARGEST_JOB_MAX_WAIT_S = 240.0  # longest wait of a class's largest jobs for their first task


class UserRules:
    """Checks every response to a user, and at the end whether enough jobs were done."""

    def __init__(self, registry: TaskRegistry, record: DayRecord) -> None:
        self.registry, self.record = registry, record

    def ended(self, job_id: str) -> bool:
        """Whether the user has been told that the job has ended."""
        return self.record.last_response.get(job_id) in FINAL_STATUSES

    def check_response(self, job: dict[str, Any], status: str, may_cancel: bool) -> None:
        """Checks a status that its user was told; `may_cancel`: the user may have cancelled."""
        job_id, before = job["id"], self.record.last_response.get(job["id"])
        if before in FINAL_STATUSES and status != before:
            self.record.report_violation("went_back", f"{job_id} {before} -> {status}")
        if status == "aborted":
            self.record.cancelled.setdefault(job_id, self.record.loop.now)  # only the first
        if status == "aborted" and not may_cancel:
            self.record.report_violation("went_back", f"{job_id} cancelled by nobody")
        if status == "done" and before != "done":
            missing = [
                t for t in range(job["parcels"]) if f"{job_id}/{t}" not in self.registry.results
            ]
            if missing:
                self.record.report_violation("not_done", f"{job_id} lacks {missing}")
        self.record.last_response[job_id] = status

    def check_served(self) -> None:
        """Checks that at least half of the jobs of each class and team, and of each class's largest
        jobs, are done, and that the largest began in time."""
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
                    record.submitted[job_id], record.grace_until
                )
                if waited > LARGEST_JOB_MAX_WAIT_S:
                    record.report_violation(
                        "served", f"{job_id} of {job['parcels']} tasks began late"
                    )
            for name in names:
                groups.setdefault(name, []).append(job_id)
        for name, ids in groups.items():
            if sum(record.last_response.get(j) == "done" for j in ids) < len(ids) / 2:
                record.report_violation("served", f"less than half of {name}")
