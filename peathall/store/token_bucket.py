"""Token bucket for rate limits."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate` tokens per second, and bursts of `burst` tokens (default: one second's worth).

    Callers pass the current time in seconds; the bucket reads no clock.
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
        """Change the rate; the burst becomes the tokens of one second."""
        self._refill(now)
        self.rate = rate
        self.burst = max(1.0, rate)
        self.level = min(self.level, self.burst)

    def try_acquire(self, amount: float, now: float, reserve_share: float = 0.0) -> float:
        """Take `amount` tokens and return 0, or take none and return the seconds until they are
        available. The share `reserve_share` of a burst is left in the bucket."""
        self._refill(now)
        # The level never exceeds a burst, so a larger amount is taken from a full bucket, whose
        # level then becomes negative.
        need = min(amount + reserve_share * self.burst, self.burst)
        if self.level >= need - 1e-9:
            self.level -= amount
            return 0.0
        return (need - self.level) / self.rate

    def available_to_deferrable(self, now: float) -> float:
        """Tokens that deferrable requests may take now, so that half a burst is left for urgent
        ones; negative if less than that is left."""
        self._refill(now)
        return self.level - self.burst / 2

    def note_spent_late(self, amount: float, now: float) -> None:
        """Note that `amount` tokens taken before may have been counted by the other side only now:
        what has been added to the bucket meanwhile is not there on the other side."""
        self._refill(now)
        self.level = min(self.level, self.burst - amount)

    def force_spend(self, amount: float, now: float) -> None:
        """Take tokens even if there are too few, so later requests wait longer."""
        self._refill(now)
        self.level -= amount
