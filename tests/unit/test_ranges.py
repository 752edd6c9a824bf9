"""Ranges compared with a plain set."""

import itertools
import random

from peathall.cluster.ranges import Ranges


def test_ranges_behave_like_a_set() -> None:
    rng = random.Random(7)
    for _ in range(60):
        plain: set[int] = set()
        ranges = Ranges()
        for _ in range(60):
            low = rng.randrange(40)
            high = low + rng.randrange(6)
            if rng.random() < 0.6:
                ranges.add(low, high)
                plain |= set(range(low, high))
            else:
                ranges.remove(low, high)
                plain -= set(range(low, high))
            assert list(ranges) == sorted(plain)
            assert len(ranges) == len(plain)
            assert [n in ranges for n in range(50)] == [n in plain for n in range(50)]
            assert ranges.first(3) == sorted(plain)[:3]
            # Adjacent spans are merged, which keeps records short.
            spans = ranges.spans
            assert all(a[1] < b[0] for a, b in itertools.pairwise(spans))
        assert list(Ranges(ranges.to_record())) == sorted(plain)
