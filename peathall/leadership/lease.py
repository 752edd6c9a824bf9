"""How long a leader may act: pure arithmetic on the steady clock."""

from __future__ import annotations

from peathall import constants

# The counter grows by one a second, so it never runs into the term.
TERM_SHIFT = 32


class LeaderLease:
    """Counted from the sending of the last good renewal, less drift and a margin."""

    def __init__(self, ttl_s: float, sent: float) -> None:
        self.ttl_s = ttl_s
        self.until = 0.0
        self.record_renewal(sent)

    def record_renewal(self, sent: float) -> None:
        """A renewal that was sent at this time was answered."""
        self.until = max(
            self.until,
            sent + self.ttl_s * (1 - 2 * constants.CLOCK_DRIFT) - constants.LEADER_LEASE_MARGIN_S,
        )

    def is_valid(self, now: float) -> bool:
        """Whether nobody else can hold the lead yet."""
        return now < self.until


def fencing_token(term: int, counter: int) -> int:
    """LeaderTerm of the workers' protocol: the term, then a counter the leader raises."""
    return (term << TERM_SHIFT) | counter


def first_attempt(term: int) -> int:
    """Attempt numbers grow within a term and never meet another term's."""
    return term << TERM_SHIFT
