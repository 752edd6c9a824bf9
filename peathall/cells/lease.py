"""The lease on a handoff, as its home counts it: pure arithmetic on the steady clock.

The borrower counts from the *sending* of the heartbeat whose answer granted it, less drift and a
margin (`LeaderLease`); the home counts from the *receipt* of that heartbeat, plus drift. The
receipt
is never before the sending, so the home's count ends last.
"""

from __future__ import annotations

from peathall import constants


class LentLease:
    """How long a borrower may still run, or still have, tasks of a job."""

    def __init__(self, lease_s: float, lapse_s: float, since: float) -> None:
        """Counted from `since`: the grant, or the take-over of the home's leader."""
        self.lease_s = lease_s
        self.lapse_s = lapse_s
        self.confirmed_at = since

    def confirm(self, received: float, lapse_s: float) -> None:
        """A heartbeat received at this time was granted. Machines that keep tasks for longer than
        was known count from now on."""
        self.confirmed_at = max(self.confirmed_at, received)
        self.lapse_s = max(self.lapse_s, lapse_s)

    @property
    def lapsed_at(self) -> float:
        """From then on the borrower starts nothing, and tells all of it to stop."""
        return self.confirmed_at + self.lease_s * (1 + 2 * constants.CLOCK_DRIFT)

    @property
    def gone_at(self) -> float:
        """From then on no task of it is on any machine of the borrower."""
        return self.lapsed_at + self.lapse_s * (1 + 2 * constants.CLOCK_DRIFT)

    def cancelled_in_time(self, now: float, cancel_s: float) -> bool:
        """Whether all of it must be gone within `cancel_s`, though the borrower is silent."""
        return now > self.lapsed_at and self.gone_at - now <= cancel_s
