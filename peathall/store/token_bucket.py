"""Token buckets for the request and write limits of the outside services."""

from __future__ import annotations


class TokenBucket:
    """`rate` a second with a burst of one second's worth. Time comes in as an argument."""

    def __init__(self, rate: float, burst: float | None = None) -> None:
        self.rate = rate
        self.burst = max(1.0, burst if burst is not None else rate)
        self.level = self.burst
        self.at = 0.0

    def _refill(self, now: float) -> None:
        self.level = min(self.burst, self.level + max(0.0, now - self.at) * self.rate)
        self.at = now

    def set_rate(self, rate: float, now: float) -> None:
        """From now on so many a second."""
        self._refill(now)
        self.rate = rate
        self.burst = max(1.0, rate)
        self.level = min(self.level, self.burst)

    def wait(self, amount: float, now: float, keep: float = 0.0) -> float:
        """Seconds until `amount` may be spent, leaving `keep` of a burst; 0 spends it now."""
        self._refill(now)
        # More than a full burst can never be saved up: it goes out on a full bucket.
        need = min(amount + keep * self.burst, self.burst)
        if self.level >= need - 1e-9:
            self.level -= amount
            return 0.0
        return (need - self.level) / self.rate

    def spare(self, now: float) -> float:
        """How much may be spent now so that half a burst is left for what can't wait."""
        self._refill(now)
        return self.level - self.burst / 2

    def spend(self, amount: float, now: float) -> None:
        """Spend without asking: lease renewals go first, others then wait longer."""
        self._refill(now)
        self.level -= amount
