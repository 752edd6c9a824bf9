"""The lease on a handoff, as the home cell computes it from its monotonic clock.

The borrower measures the lease from when it *sent* the heartbeat that renewed it, less clock drift
and a margin (`HeldLease`); the home cell from when it *received* that heartbeat, plus clock
drift. So the lease always expires at the borrower first.
"""

from __future__ import annotations

from peathall import constants


class GrantedLease:
    """Until when a borrower may run tasks of a job, and until when it may still have any."""

    def __init__(self, lease_s: float, task_expiry_s: float, since: float) -> None:
        """`since` is the time of the grant, or of the failover to this leader of the home cell.

        `task_expiry_s` is how long the borrower's machines may keep tasks after the lease expired.
        """
        self.lease_s = lease_s
        self.task_expiry_s = task_expiry_s
        self.renewed_at = since

    def record_renewal(self, received: float, task_expiry_s: float) -> None:
        """Renew the lease from the time at which the borrower's heartbeat was received.
        `task_expiry_s` is only ever raised."""
        self.renewed_at = max(self.renewed_at, received)
        self.task_expiry_s = max(self.task_expiry_s, task_expiry_s)

    @property
    def expires_at(self) -> float:
        """Monotonic time by which the borrower starts no task of the job and stops all of them."""
        return self.renewed_at + self.lease_s * (1 + 2 * constants.CLOCK_DRIFT)

    @property
    def tasks_gone_at(self) -> float:
        """Monotonic time by which no task of the job is left on the borrower's machines."""
        return self.expires_at + self.task_expiry_s * (1 + 2 * constants.CLOCK_DRIFT)

    def tasks_gone_within(self, now: float, cancel_s: float) -> bool:
        """Whether all tasks are gone within `cancel_s`, even if the borrower stays unreachable."""
        return now > self.expires_at and self.tasks_gone_at - now <= cancel_s
