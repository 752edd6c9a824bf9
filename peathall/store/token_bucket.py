"""Token buckets for the rate limits of the outside services."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate` tokens a second, and bursts of `burst` tokens (by default those of one second).

    Times are in seconds and come from the caller; the bucket keeps no clock.
    """

    def __init__(self, rate: float, burst: float | None = None) -> None:
        self.rate = rate
        self.burst = max(1.0, burst if burst is not None else rate)
        self.level = self.burst
        self.refilled_at = 0.0

    def _refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + max(0.0, now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on; the burst becomes that of one second."""
        self._refill(now)
        self.rate = rate
        self.burst = max(1.0, rate)
        self.level = min(self.level, self.burst)

    def wait(self, amount: float, now: float, keep: float = 0.0) -> float:
        """Take `amount` tokens and return 0, or take none and return the seconds until they will
        be there. The fraction `keep` of a burst is left in the bucket."""
        self._refill(now)
        # More than a burst never gathers: it is taken from a full bucket, whose level then falls
        # below zero.
        need = min(amount + keep * self.burst, self.burst)
        if self.level >= need - 1e-9:
            self.level -= amount
            return 0.0
        return (need - self.level) / self.rate

    def available_to_deferrable(self, now: float) -> float:
        """Tokens that may be taken now with half a burst left for what can't wait; negative if
        there is less than that."""
        self._refill(now)
        return self.level - self.burst / 2

    def force_spend(self, amount: float, now: float) -> None:
        """Take tokens whether they are there or not: others wait longer for it."""
        self._refill(now)
        self.level -= amount
