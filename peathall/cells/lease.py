"""The lease on a handoff, as its home counts it: pure arithmetic on the steady clock.

The borrower counts from the *sending* of the heartbeat whose response granted it, less drift and a
margin (`HeldLease`); the home counts from the *receipt* of that heartbeat, plus drift. The
receipt is never before the sending, so the home's lease expires last.
"""

from __future__ import annotations

from peathall import constants


class LentLease:
    """How long a borrower may still run, or still have, tasks of a job."""

    def __init__(self, lease_s: float, task_expiry_s: float, since: float) -> None:
        """Counted from `since`: the grant, or the failover to this leader of the home.

        `task_expiry_s` is how long the borrower's machines may keep tasks after the lease.
        """
        self.lease_s = lease_s
        self.task_expiry_s = task_expiry_s
        self.confirmed_at = since

    def confirm(self, received: float, task_expiry_s: float) -> None:
        """A heartbeat received at this time was granted. A longer `task_expiry_s` than was known
        counts from now on."""
        self.confirmed_at = max(self.confirmed_at, received)
        self.task_expiry_s = max(self.task_expiry_s, task_expiry_s)

    @property
    def expired_at(self) -> float:
        """Steady time from which the borrower starts nothing, and stops all tasks of the job."""
        return self.confirmed_at + self.lease_s * (1 + 2 * constants.CLOCK_DRIFT)

    @property
    def gone_at(self) -> float:
        """Steady time from which no task of the job is on any machine of the borrower."""
        return self.expired_at + self.task_expiry_s * (1 + 2 * constants.CLOCK_DRIFT)

    def cancelled_in_time(self, now: float, cancel_s: float) -> bool:
        """Whether all tasks must be gone within `cancel_s`, though the borrower is silent."""
        return now > self.expired_at and self.gone_at - now <= cancel_s
