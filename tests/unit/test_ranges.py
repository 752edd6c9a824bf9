"""Ranges compared with the built-in set."""

import itertools
import random

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
            # Adjacent spans are merged, which keeps records short.
            spans = ranges.spans
            assert all(a[1] < b[0] for a, b in itertools.pairwise(spans))
        assert list(Ranges(ranges.to_record())) == sorted(expected)
