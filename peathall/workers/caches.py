"""Which images each machine has, kept in the state service across take-overs.

Only hints: reports do not tell what is cached, and a new leader that does not know
it sends tasks to fetch again what lies elsewhere. A stale hint costs a fetch.
"""

from __future__ import annotations

from peathall.books import Books
from peathall.store.client import Item, Put
from peathall.store.writer import Change, Writer
from peathall.workers.model import Machine

CACHE = "cache/"


class Caches:
    def __init__(self, books: Books, writer: Writer) -> None:
        self.books = books
        self.writer = writer
        self.loaded: dict[str, list[tuple[str, float]]] = {}

    def load(self, items: list[Item]) -> None:
        for item in items:
            self.writer.versions[item.key] = item.version
            self.loaded[item.key.removeprefix(CACHE)] = item.value["images"]

    def recall(self, machine: Machine) -> None:
        """The machine is up and known to us: take over what earlier leaders saw on it."""
        for image, size in self.loaded.pop(machine.name, ()):
            machine.images.setdefault(image, size)

    def changed(self, machine: Machine) -> None:
        """Written in its latest state when nothing that matters more waits for the store."""
        self.writer.offer(CACHE + machine.name, lambda: self._change(machine))

    def _change(self, machine: Machine) -> Change | None:
        if self.books.machines.get(machine.name) is not machine:
            return None
        images = [[image, size] for image, size in machine.images.items()]
        return Change({}, [Put(CACHE + machine.name, {"images": images})])

    def gone(self, machine: Machine) -> None:
        key = CACHE + machine.name
        if key in self.writer.versions:
            self.writer.offer_drop(key)

    def forget_unknown(self) -> None:
        """Records of machines that are no more, after the cloud's list was read."""
        for name in [n for n in self.loaded if n not in self.books.machines]:
            del self.loaded[name]
            self.writer.offer_drop(CACHE + name)
