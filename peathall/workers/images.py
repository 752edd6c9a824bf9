"""Which images machines have cached, derived from the states of their tasks."""

from __future__ import annotations

from peathall.cluster.job import Attempt
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.workers.events import WorkerListener


class CachedImages:
    """Records the images of tasks that are past fetching; heartbeats do not list cached images."""

    def __init__(self, cluster: ClusterState, listener: WorkerListener) -> None:
        self.cluster = cluster
        self.listener = listener

    def note(self, machine: Machine, attempt: Attempt) -> None:
        """Record that the machine has fetched the image of this attempt."""
        size = self.cluster.types.get(machine.type)
        if machine.note_image(attempt.job.spec, size.cache_gb if size else 0.0):
            self.listener.images_changed(machine)
