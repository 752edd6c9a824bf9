"""Which images each machine has, kept in the state service across take-overs.

Only hints: reports do not tell what is cached, and a new leader that does not know
it sends tasks to fetch again what lies elsewhere. A stale hint costs a fetch.
"""

from __future__ import annotations

from peathall.books import Books
from peathall.store.client import Drop, Item, Put
from peathall.store.writer import Writer
from peathall.workers.model import Machine

CACHE = "cache/"


class Caches:
    def __init__(self, books: Books, writer: Writer) -> None:
        self.books = books
        self.writer = writer
        self.dirty: dict[str, None] = {}  # machines whose record is out of date, oldest first
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
        self.dirty[machine.name] = None

    def write_one(self) -> None:
        """One record at a time, when nothing that matters more waits for the store."""
        if not self.dirty or not self.writer.idle:
            return
        name = next(iter(self.dirty))
        del self.dirty[name]
        machine = self.books.machines.get(name)
        if machine is not None:
            images = [[image, size] for image, size in machine.images.items()]
            self.writer.submit([Put(CACHE + name, {"images": images})])

    def gone(self, machine: Machine) -> None:
        key = CACHE + machine.name
        if key in self.writer.versions:
            self.writer.submit([Drop(key)])

    def forget_unknown(self) -> None:
        """Records of machines that are no more, after the cloud's list was read."""
        for name in [n for n in self.loaded if n not in self.books.machines]:
            del self.loaded[name]
            self.writer.submit([Drop(CACHE + name)])
