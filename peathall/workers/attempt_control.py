"""Ending of attempts: stop commands, and the consequences of lost attempts."""

from __future__ import annotations

from peathall.cluster.job import Attempt, AttemptPhase, Job
from peathall.cluster.state import ClusterState
from peathall.workers.delivery import CommandDelivery
from peathall.workers.events import WorkerListener
from peathall.workers.start_tokens import StartTokens


class AttemptControl:
    """Stops attempts, and the rest of a gang when one of its attempts has ended."""

    def __init__(
        self,
        cluster: ClusterState,
        delivery: CommandDelivery,
        start_tokens: StartTokens,
        listener: WorkerListener,
    ) -> None:
        self.cluster = cluster
        self.delivery = delivery
        self.start_tokens = start_tokens
        self.listener = listener

    def stop(self, attempt: Attempt, grace_s: float, now: float) -> None:
        """Stop an attempt, giving it `grace_s` seconds to save a checkpoint.

        The command is sent at once, and repeated in every heartbeat response until the attempt is
        gone. A later call may only shorten the grace period.
        """
        if attempt.stopping and grace_s >= attempt.grace_s:
            return
        attempt.stopping = True
        attempt.grace_s = grace_s
        if attempt.phase is AttemptPhase.INTENDED:
            # No start command was sent, so the attempt is on no machine.
            self.cluster.release(attempt, now)
            return
        if attempt.phase is not AttemptPhase.PLANNED:
            self.delivery.push(self.cluster.machines[attempt.machine])

    def stop_gang(self, job: Job, number: int, now: float) -> None:
        """Stop the remaining attempts of a gang of which one has ended, without time to checkpoint:
        they cannot make progress alone."""
        if len(job.done) >= job.spec.tasks:
            return
        peers = [attempt for attempt in job.attempts.values() if attempt.number == number]
        for peer in peers:
            self.stop(peer, 0.0, now)

    def note_lost(self, attempts: list[Attempt], now: float) -> None:
        """Handle the loss of attempts, which are released already: their machine is gone, its lease
        expired, or its heartbeat does not report them."""
        for attempt in attempts:
            self.start_tokens.forget(attempt)
            if attempt.job.spec.gang:
                self.stop_gang(attempt.job, attempt.number, now)
        self.listener.state_changed()
