"""Which stored records hold which live jobs."""

from __future__ import annotations

from peathall.cluster.job import Job
from peathall.jobs import records


class RecordIndex:
    """Maps the records of live jobs to jobs, and knows which of the records are being changed."""

    def __init__(self) -> None:
        # Record key -> ids of the live jobs that it holds, in the order of the record.
        self.jobs_by_record: dict[str, dict[str, None]] = {}
        # Key of a record of final statuses -> ids of the jobs in it that are not archived.
        self.unarchived_by_final_record: dict[str, set[str]] = {}
        # Job id -> key of a second record that holds the job, which has to be removed from it.
        self.duplicates: dict[str, str] = {}
        self.archiving: set[str] = set()  # records from which archived jobs are being removed
        self.dividing: set[str] = set()  # records that are too large, see RecordDivision

    def add(self, job: Job, record_key: str) -> None:
        """This record holds the job."""
        job.record_key = record_key
        self.jobs_by_record.setdefault(record_key, {})[job.spec.id] = None

    def add_duplicate(self, job: Job, record_key: str) -> str:
        """A second record holds the job; the key of the one from which it is to be removed.

        A record of a single job is given up rather than a shared one, which would have to be
        written again for its other jobs.
        """
        duplicate = record_key
        if job.record_key.startswith(records.JOB) and not record_key.startswith(records.JOB):
            duplicate = job.record_key
            del self.jobs_by_record[duplicate]
            self.add(job, record_key)
        self.duplicates[job.spec.id] = duplicate
        return duplicate

    def move(self, job: Job, former_key: str, record_key: str) -> None:
        """A new record holds the job as well; it is to be removed from the former one."""
        del self.jobs_by_record[former_key][job.spec.id]
        self.add(job, record_key)
        self.duplicates[job.spec.id] = former_key

    def add_final_status(self, job: Job, record_key: str) -> None:
        """This record holds the job's final status."""
        job.final_record_key = record_key
        self.unarchived_by_final_record.setdefault(record_key, set()).add(job.spec.id)

    def is_final_record_needed(self, record_key: str) -> bool:
        """Whether the record holds the final status of a job that is not archived."""
        return record_key in self.unarchived_by_final_record

    def remove_final_status(self, job: Job) -> bool:
        """The job is archived; whether nothing needs the record of its final status any more."""
        unarchived = self.unarchived_by_final_record[job.final_record_key]
        unarchived.discard(job.spec.id)
        if unarchived:
            return False
        del self.unarchived_by_final_record[job.final_record_key]
        return True

    def clear_duplicates(self, record_key: str) -> list[str]:
        """The record was written without its duplicates; the ids of these jobs."""
        removed = [job_id for job_id, key in self.duplicates.items() if key == record_key]
        for job_id in removed:
            del self.duplicates[job_id]
        return removed
