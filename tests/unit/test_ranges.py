"""Ranges compared with the built-in set."""

import itertools
import random
import time

from peathall.cluster.ranges import Ranges


def test_ranges_behave_like_a_set() -> None:
    rng = random.Random(7)
    for _ in range(60):
        expected: set[int] = set()
        ranges = Ranges()
        for _ in range(60):
            low = rng.randrange(40)
            high = low + rng.randrange(6)
            if rng.random() < 0.6:
                ranges.add(low, high)
                expected |= set(range(low, high))
            else:
                ranges.remove(low, high)
                expected -= set(range(low, high))
            assert list(ranges) == sorted(expected)
            assert len(ranges) == len(expected)
            assert [n in ranges for n in range(50)] == [n in expected for n in range(50)]
            assert ranges.first(3) == sorted(expected)[:3]
            low, high = rng.randrange(40), rng.randrange(50)
            between = [n for a, b in ranges.between(low, high) for n in range(a, b)]
            assert between == [n for n in sorted(expected) if low <= n < high]
            # Adjacent spans are merged, which keeps records short.
            spans = ranges.spans
            assert all(a[1] < b[0] for a, b in itertools.pairwise(spans))
        assert list(Ranges(ranges.to_record())) == sorted(expected)


def test_changes_of_many_spans_take_little_time() -> None:
    """Regression: `remove` copied all spans, so that a new leader took longer than its lease to
    load an array of which every second task was done (review/4)."""
    ranges = Ranges([(0, 100_000)])
    began = time.thread_time()
    for number in range(0, 100_000, 2):
        ranges.remove(number)
    for number in range(1, 100_000, 2):
        ranges.remove(number)
    assert len(ranges) == 0
    # With a copy of all spans for each change it takes minutes.
    assert time.thread_time() - began < 5.0
