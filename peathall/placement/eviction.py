"""Stopping running attempts: preemption, moves of replicas, and draining of machines."""

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
    """Stops attempts, with time for a checkpoint if that saves enough work. Times are monotonic."""

    def __init__(self, cluster: ClusterState, workers: Workers, reservations: Reservations) -> None:
        self.cluster = cluster
        self.workers = workers
        self.reservations = reservations

    def preempt(self, key: TaskKey, now: float) -> None:
        """Stop a task to free its capacity for a job that goes first."""
        job = self.cluster.jobs.get(key.job)
        if job is None or key.task not in job.attempts:
            return  # the task ended while the round was planned
        attempt, spec = job.attempts[key.task], job.spec
        log.info("stopping task %s/%d on %s: preempted for another job", *key, attempt.machine)
        if (
            not spec.gang
            and spec.checkpoint_s <= constants.CHECKPOINT_INTERVAL_FACTOR * spec.save_s
        ):
            # Little work is lost since the last periodic checkpoint, and a new checkpoint would
            # delay the preempting job.
            self.workers.stop(attempt, 0.0, now)
        else:
            self._stop_gracefully(attempt, now)

    def move(self, move: Move, now: float) -> None:
        """Reserve capacity for the replica on its next machine, then stop the replica."""
        job = self.cluster.jobs.get(move.job)
        attempt = job.attempts.get(move.task) if job is not None else None
        if attempt is None or attempt.is_ending:  # the replica ended while the round was planned
            return
        log.info(
            "stopping replica %s/%d on %s, which is draining; moving it to %s",
            move.job,
            move.task,
            attempt.machine,
            move.machine,
        )
        # The old attempt has ended by then in any case.
        until = now + self.workers.settings.lease_expiry_s
        self.reservations.add(Reservation(attempt.job.spec, move.task, move.machine, until))
        self._stop_gracefully(attempt, now)

    def drain(self, machine: Machine, now: float) -> None:
        """Stop the attempts that would not end before the cloud provider reclaims the machine, so
        that they can checkpoint and resume elsewhere. The next rounds move replicas instead."""
        left_s = (machine.reclaimed_at or now) - now
        for attempt in list(machine.attempts.values()):
            spec = attempt.job.spec
            if attempt.is_ending or spec.daemon:
                continue
            rest_s = max(
                spec.expected_s - (now - attempt.since),
                spec.expected_s * constants.MIN_REMAINING_SHARE,
            )
            if not spec.checkpoint_s and attempt.running and rest_s < left_s:
                continue  # expected to end before the machine is reclaimed
            self._stop_gracefully(attempt, now)

    def _stop_gracefully(self, attempt: Attempt, now: float) -> None:
        """Stop the attempt with time for a checkpoint. A gang is stopped as a whole, since the
        checkpoint of only part of it fails."""
        spec = attempt.job.spec
        grace_s = spec.save_s + constants.CHECKPOINT_GRACE_S if spec.checkpoint_s else 0.0
        for target in list(attempt.job.attempts.values()) if spec.gang else [attempt]:
            self.workers.stop(target, grace_s, now)
