"""A cache of decoded values that keeps what is asked for again."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class DecodeCache(Generic[Key, Value]):
    """Results of a decoding function in two generations.

    A result that was not asked for during a whole generation is evicted, so the size follows what
    is in use. An LRU cache of fixed size would find nothing once more keys than it holds come again
    and again in the same order, as the tasks of all machines do.
    """

    def __init__(self, decode: Callable[[Key], Value]) -> None:
        self._decode = decode
        self._current: dict[Key, Value] = {}
        self._previous: dict[Key, Value] = {}

    def __call__(self, key: Key) -> Value:
        """The decoded value of the key: the same object as before if the cache still has it.
        Whatever the decoding function raises is passed on, and not kept."""
        found = self._current.get(key)
        if found is None:
            found = self._previous.get(key)
            if found is None:
                found = self._decode(key)
            self._current[key] = found
        return found

    def __len__(self) -> int:
        """Number of results in both generations."""
        return len(self._current | self._previous)

    def begin_generation(self) -> None:
        """Evict what was not asked for since this was last called."""
        self._previous, self._current = self._current, {}
