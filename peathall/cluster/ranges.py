"""Sets of task numbers as sorted, disjoint, half-open ranges."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class Ranges:
    """A set of task numbers."""

    __slots__ = ("spans",)

    def __init__(self, spans: Iterable[Iterable[int]] = ()) -> None:
        self.spans: list[tuple[int, int]] = []
        for low, high in spans:
            self.add(low, high)

    def __len__(self) -> int:
        return sum(high - low for low, high in self.spans)

    def __bool__(self) -> bool:
        return bool(self.spans)

    def __iter__(self) -> Iterator[int]:
        for low, high in self.spans:
            yield from range(low, high)

    def __contains__(self, number: int) -> bool:
        at = bisect_right(self.spans, (number, float("inf"))) - 1
        return at >= 0 and self.spans[at][0] <= number < self.spans[at][1]

    def add(self, low: int, high: int | None = None) -> None:
        """Add the numbers from `low` up to, not including, `high`."""
        high = low + 1 if high is None else high
        if low >= high:
            return
        at = bisect_right(self.spans, (low, -1))
        if at and self.spans[at - 1][1] >= low:
            at -= 1
            low = self.spans[at][0]
        end = at
        while end < len(self.spans) and self.spans[end][0] <= high:
            high = max(high, self.spans[end][1])
            end += 1
        self.spans[at:end] = [(low, high)]

    def remove(self, low: int, high: int | None = None) -> None:
        """Take out the numbers from `low` up to, not including, `high`."""
        high = low + 1 if high is None else high
        if low >= high:
            return  # an empty range must not cut a span in two
        result = []
        for a, b in self.spans:
            if b <= low or a >= high:
                result.append((a, b))
                continue
            if a < low:
                result.append((a, low))
            if b > high:
                result.append((high, b))
        self.spans = result

    def first_outside(self, other: Ranges) -> int | None:
        """The lowest number that `other` lacks."""
        for low, high in self.spans:
            at = bisect_right(other.spans, (low, float("inf"))) - 1
            end = other.spans[at][1] if at >= 0 else low
            if end < high:
                return max(low, end)
        return None

    def first(self, count: int) -> list[int]:
        """The lowest `count` numbers."""
        found: list[int] = []
        for low, high in self.spans:
            take = min(high - low, count - len(found))
            found.extend(range(low, low + take))
            if len(found) >= count:
                break
        return found

    def to_record(self) -> list[list[int]]:
        """As lists of two numbers."""
        return [[low, high] for low, high in self.spans]
