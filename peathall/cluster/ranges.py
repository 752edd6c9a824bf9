"""Sets of task numbers as sorted, disjoint, half-open ranges."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class Ranges:
    """A set of task numbers.

    `spans` holds ranges (low, high) that exclude `high`, in ascending order; no two of them are
    adjacent or overlap.
    """

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
        index = bisect_right(self.spans, (number, float("inf"))) - 1
        return index >= 0 and self.spans[index][0] <= number < self.spans[index][1]

    def add(self, low: int, high: int | None = None) -> None:
        """Add the numbers from `low` to `high` - 1; `low` alone if there is no `high`."""
        high = low + 1 if high is None else high
        if low >= high:
            return
        start = bisect_right(self.spans, (low, -1))
        if start and self.spans[start - 1][1] >= low:
            start -= 1
            low = self.spans[start][0]
        end = start
        while end < len(self.spans) and self.spans[end][0] <= high:
            high = max(high, self.spans[end][1])
            end += 1
        self.spans[start:end] = [(low, high)]

    def remove(self, low: int, high: int | None = None) -> None:
        """Remove the numbers from `low` to `high` - 1; `low` alone if there is no `high`."""
        high = low + 1 if high is None else high
        if low >= high:
            return  # an empty range must not split a span
        result = []
        for span_low, span_high in self.spans:
            if span_high <= low or span_low >= high:
                result.append((span_low, span_high))
                continue
            if span_low < low:
                result.append((span_low, low))
            if span_high > high:
                result.append((high, span_high))
        self.spans = result

    def first_outside(self, other: Ranges) -> int | None:
        """The lowest number of this set that is not in `other`; None if all are."""
        for low, high in self.spans:
            index = bisect_right(other.spans, (low, float("inf"))) - 1
            end = other.spans[index][1] if index >= 0 else low
            if end < high:
                return max(low, end)
        return None

    def first(self, count: int) -> list[int]:
        """The lowest `count` numbers, or all if there are fewer."""
        found: list[int] = []
        for low, high in self.spans:
            take = min(high - low, count - len(found))
            found.extend(range(low, low + take))
            if len(found) >= count:
                break
        return found

    def to_record(self) -> list[list[int]]:
        """The ranges as lists [low, high], the form in which they are stored."""
        return [[low, high] for low, high in self.spans]
