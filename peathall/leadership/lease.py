"""How long a leader may act, and the numbers by which leaders' commands are ordered."""

from __future__ import annotations

from peathall import constants

# The counter below the term grows by one a second, so it never reaches the term's bits.
TERM_SHIFT = 32


class LeaderLease:
    """Until when a leader may act, on the monotonic clock of its event loop, in seconds.

    It counts from the sending of the last good renewal, less the clocks' drift and a margin, so
    that it ends before the state service lets another controller lead.
    """

    def __init__(self, ttl_s: float, sent: float) -> None:
        self.ttl_s = ttl_s
        self.until = 0.0
        self.record_renewal(sent)

    def record_renewal(self, sent: float) -> None:
        """Extend the lease: a renewal that was sent at this time has been answered."""
        self.until = max(
            self.until,
            sent + self.ttl_s * (1 - 2 * constants.CLOCK_DRIFT) - constants.LEADER_LEASE_MARGIN_S,
        )

    def end(self) -> None:
        """End the lease now, before it is revoked in the state service."""
        self.until = 0.0

    def is_valid(self, now: float) -> bool:
        """Whether no other controller can lead yet."""
        return now < self.until


def fencing_token(term: int, counter: int) -> int:
    """The fencing token: the term, then a counter that the leader raises."""
    return (term << TERM_SHIFT) | counter


def first_attempt(term: int) -> int:
    """The term's first attempt number: attempts of two terms never have the same number."""
    return term << TERM_SHIFT
