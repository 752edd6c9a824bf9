"""A lease as its holder sees it, and the numbers that order the commands of leaders."""

from __future__ import annotations

from peathall import constants

# Bits. The counter in the lower bits grows by one a second, so it never reaches the term's bits.
TERM_SHIFT = 32


class HeldLease:
    """Until when the holder of a lease may act, in seconds of its event loop's monotonic clock.

    The lease counts from the time at which the last successful renewal was sent, and is shortened
    by the clock drift and a margin. It thus ends before the state service lets another controller
    take over.
    """

    def __init__(self, ttl_s: float, sent: float) -> None:
        self.ttl_s = ttl_s
        self.until = 0.0
        self.record_renewal(sent)

    def record_renewal(self, sent: float) -> None:
        """Extend the lease after the success of a renewal that was sent at this time."""
        self.until = max(
            self.until,
            sent + self.ttl_s * (1 - 2 * constants.CLOCK_DRIFT) - constants.LEADER_LEASE_MARGIN_S,
        )

    def end(self) -> None:
        """End the lease for this process, before it is revoked in the state service."""
        self.until = 0.0

    def is_valid(self, now: float) -> bool:
        """Whether the holder may act, since no other controller can hold the lease yet."""
        return now < self.until


def fencing_token(term: int, counter: int) -> int:
    """The fencing token: the term in the upper bits, a counter that the leader raises below."""
    return (term << TERM_SHIFT) | counter


def first_number_of_term(term: int) -> int:
    """Where the term's numbers of attempts and handoffs begin; no two terms share a number."""
    return term << TERM_SHIFT
