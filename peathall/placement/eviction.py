"""Stopping attempts that placement wants elsewhere or gone: preemption, moves and draining."""

from __future__ import annotations

import logging

from peathall import constants
from peathall.cluster.job import Attempt
from peathall.cluster.machine import Machine
from peathall.cluster.state import ClusterState
from peathall.placement.plan import Move, TaskKey
from peathall.placement.reservations import Reservation, Reservations
from peathall.workers.workers import Workers

log = logging.getLogger("peathall.placement")


class Eviction:
    """Stops attempts, with time for a checkpoint where that is worth it. Times are steady."""

    def __init__(self, cluster: ClusterState, workers: Workers, reservations: Reservations) -> None:
        self.cluster = cluster
        self.workers = workers
        self.reservations = reservations

    def preempt(self, key: TaskKey, now: float) -> None:
        """Stop a task so that other work can run."""
        job = self.cluster.jobs.get(key.job)
        if job is None or key.task not in job.attempts:
            return  # it ended while the round was decided
        attempt, spec = job.attempts[key.task], job.spec
        log.info("task %s/%d is preempted on %s for other work", *key, attempt.machine)
        if not spec.gang and spec.checkpoint_s <= constants.CHECKPOINT_WORTH * spec.save_s:
            # Its work since its last periodic checkpoint is little, and the other work would have
            # to wait for a new one.
            self.workers.stop(attempt, 0.0, now)
        else:
            self._stop_gracefully(attempt, now)

    def move(self, move: Move, now: float) -> None:
        """Reserve the capacity of the replica's next machine, and stop it."""
        job = self.cluster.jobs.get(move.job)
        attempt = job.attempts.get(move.task) if job is not None else None
        if attempt is None or attempt.is_ending:  # it ended while the round was decided
            return
        log.info(
            "replica %s/%d moves from %s, which is being drained, to %s",
            move.job,
            move.task,
            attempt.machine,
            move.machine,
        )
        # By then the old attempt is gone in any case.
        until = now + self.workers.settings.lease_expiry_s
        self.reservations.add(Reservation(attempt.job.spec, move.task, move.machine, until))
        self._stop_gracefully(attempt, now)

    def drain(self, machine: Machine, now: float) -> None:
        """The cloud takes the machine back soon: stop what would not end before, so that it can
        checkpoint and go on elsewhere. Replicas are moved by the next rounds instead."""
        left_s = (machine.reclaimed_at or now) - now
        for attempt in list(machine.attempts.values()):
            spec = attempt.job.spec
            if attempt.is_ending or spec.daemon:
                continue
            rest_s = max(
                spec.expected_s - (now - attempt.since), spec.expected_s * constants.ESTIMATE_FLOOR
            )
            if not spec.checkpoint_s and attempt.running and rest_s < left_s:
                continue  # it may well be done before
            self._stop_gracefully(attempt, now)

    def _stop_gracefully(self, attempt: Attempt, now: float) -> None:
        """With time for a checkpoint; a gang is stopped as a whole, or its checkpoint fails."""
        spec = attempt.job.spec
        grace_s = spec.save_s + constants.CHECKPOINT_GRACE_S if spec.checkpoint_s else 0.0
        for target in list(attempt.job.attempts.values()) if spec.gang else [attempt]:
            self.workers.stop(target, grace_s, now)
