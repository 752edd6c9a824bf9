"""What was read lately, kept for as long as it is read again."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class DecodeCache(Generic[Key, Value]):
    """Results of a reading function in two generations.

    What was not asked for during a whole generation is forgotten, so the size follows what is in
    use: a fixed number of entries, once exceeded by what comes again and again in the same order,
    would find nothing any more.
    """

    def __init__(self, read: Callable[[Key], Value]) -> None:
        self._read = read
        self._current: dict[Key, Value] = {}
        self._previous: dict[Key, Value] = {}

    def __call__(self, key: Key) -> Value:
        """The result for the key, the same object as last time if that was lately."""
        found = self._current.get(key)
        if found is None:
            found = self._previous.get(key)
            if found is None:
                found = self._read(key)
            self._current[key] = found
        return found

    def __len__(self) -> int:
        """How many results are kept."""
        return len(self._current | self._previous)

    def begin_generation(self) -> None:
        """Forget what was not asked for since this was last called."""
        self._previous, self._current = self._current, {}
