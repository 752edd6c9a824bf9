"""Sets of task numbers as sorted, disjoint, half-open ranges."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class Ranges:
    """A set of task numbers.

    `spans` holds ranges (low, high) that exclude `high`, in ascending order; no two of them are
    adjacent or overlap. A change takes time for the spans that it touches, and moves those behind
    them in memory: a large array has tens of thousands when tasks end out of order.
    """

    __slots__ = ("_count", "spans")

    def __init__(self, spans: Iterable[Iterable[int]] = ()) -> None:
        self.spans: list[tuple[int, int]] = []
        self._count = 0
        for low, high in spans:
            self.add(low, high)

    def __len__(self) -> int:
        return self._count

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
        self._replace(start, end, [(low, high)])

    def remove(self, low: int, high: int | None = None) -> None:
        """Remove the numbers from `low` to `high` - 1; `low` alone if there is no `high`."""
        high = low + 1 if high is None else high
        if low >= high:
            return  # an empty range must not split a span
        start, end = self._overlapping(low, high)
        if start == end:
            return
        first, last = self.spans[start], self.spans[end - 1]
        rest = []
        if first[0] < low:
            rest.append((first[0], low))
        if last[1] > high:
            rest.append((high, last[1]))
        self._replace(start, end, rest)

    def _overlapping(self, low: int, high: int) -> tuple[int, int]:
        """First and last + 1 index of the spans that contain numbers from `low` to `high` - 1."""
        start = bisect_right(self.spans, (low, -1))
        if start and self.spans[start - 1][1] > low:
            start -= 1
        return start, max(start, bisect_right(self.spans, (high, -1)))

    def _replace(self, start: int, end: int, spans: list[tuple[int, int]]) -> None:
        """Replace the spans at these indices."""
        self._count -= sum(high - low for low, high in self.spans[start:end])
        self._count += sum(high - low for low, high in spans)
        self.spans[start:end] = spans

    def between(self, low: int, high: int) -> list[list[int]]:
        """The ranges of the numbers from `low` to `high` - 1 as lists [low, high]."""
        start, end = self._overlapping(low, high)
        return [[max(a, low), min(b, high)] for a, b in self.spans[start:end]]

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
