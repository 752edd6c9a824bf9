"""A cache of decoded values that evicts those no longer requested."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class DecodeCache(Generic[Key, Value]):
    """Results of a decoding function, cached for two generations.

    A result that is not requested during a whole generation is evicted, so the size follows the
    number of keys in use. An LRU cache of fixed size would never hit once the keys that recur in
    the same order, as the tasks of all machines do, outnumber its entries.
    """

    def __init__(self, decode: Callable[[Key], Value]) -> None:
        self._decode = decode
        self._current: dict[Key, Value] = {}
        self._previous: dict[Key, Value] = {}

    def __call__(self, key: Key) -> Value:
        """The decoded value of the key: the same object as before while it is cached. Exceptions of
        the decoding function are passed on, and not cached."""
        found = self._current.get(key)
        if found is None:
            found = self._previous.get(key)
            if found is None:
                found = self._decode(key)
            self._current[key] = found
        return found

    def __len__(self) -> int:
        """Number of cached results in both generations."""
        return len(self._current | self._previous)

    def begin_generation(self) -> None:
        """Evict the results that were not requested since the previous call."""
        self._previous, self._current = self._current, {}
