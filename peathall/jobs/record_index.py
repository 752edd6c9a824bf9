"""Index of the stored records that contain live jobs."""

from __future__ import annotations

from peathall.cluster.job import Job
from peathall.jobs import records


class RecordIndex:
    """Maps records to the live jobs in them, and tracks which records are being rewritten."""

    def __init__(self) -> None:
        # Record key -> ids of the live jobs in the record, in the order of the record.
        self.jobs_by_record: dict[str, dict[str, None]] = {}
        # Key of a record of final statuses -> ids of the jobs in it that are not archived yet.
        self.unarchived_by_final_record: dict[str, set[str]] = {}
        # Job id -> key of a second record that contains the job, and from which the job has to be
        # removed.
        self.duplicates: dict[str, str] = {}
        self.archiving: set[str] = set()  # keys of records from which jobs are being archived
        self.dividing: set[str] = set()  # keys of oversized records, see RecordDivision

    def add(self, job: Job, record_key: str) -> None:
        """Note that the job is in this record."""
        job.record_key = record_key
        self.jobs_by_record.setdefault(record_key, {})[job.spec.id] = None

    def add_duplicate(self, job: Job, record_key: str) -> str:
        """Note that the job is in a second record; returns the key of the record from which to
        remove it.

        Of a single-job record and a shared one, the single-job record is chosen: it can be deleted,
        whereas the shared record would have to be rewritten for its other jobs.
        """
        duplicate = record_key
        if job.record_key.startswith(records.SINGLE_JOB_PREFIX) and not record_key.startswith(
            records.SINGLE_JOB_PREFIX
        ):
            duplicate = job.record_key
            del self.jobs_by_record[duplicate]
            self.add(job, record_key)
        self.duplicates[job.spec.id] = duplicate
        return duplicate

    def move(self, job: Job, former_key: str, record_key: str) -> None:
        """Note that the job was copied to a new record and has to be removed from the former
        one."""
        del self.jobs_by_record[former_key][job.spec.id]
        self.add(job, record_key)
        self.duplicates[job.spec.id] = former_key

    def add_final_status(self, job: Job, record_key: str) -> None:
        """Note that the job's final status is in this record."""
        job.final_record_key = record_key
        self.unarchived_by_final_record.setdefault(record_key, set()).add(job.spec.id)

    def is_final_record_needed(self, record_key: str) -> bool:
        """Whether the record contains the final status of a job that is not archived yet."""
        return record_key in self.unarchived_by_final_record

    def remove_final_status(self, job: Job) -> bool:
        """Note that the job is archived; returns whether the record of its final status can be
        deleted because all jobs in it are archived."""
        unarchived = self.unarchived_by_final_record[job.final_record_key]
        unarchived.discard(job.spec.id)
        if unarchived:
            return False
        del self.unarchived_by_final_record[job.final_record_key]
        return True

    def clear_duplicates(self, record_key: str) -> list[str]:
        """Note that the record was written without its duplicates; returns the ids of the jobs
        removed from it."""
        removed = [job_id for job_id, key in self.duplicates.items() if key == record_key]
        for job_id in removed:
            del self.duplicates[job_id]
        return removed
