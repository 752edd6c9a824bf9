"""Expiry of worker leases."""

from __future__ import annotations

import logging

from peathall.cluster.machine import MachinePhase
from peathall.cluster.state import ClusterState
from peathall.workers.attempt_control import AttemptControl
from peathall.workers.exits import ExitedAttempts

log = logging.getLogger("peathall.workers")


class LeaseExpiry:
    """Releases the attempts of machines whose lease has expired: the worker has killed them."""

    def __init__(
        self,
        cluster: ClusterState,
        lease_expiry_s: float,
        exits: ExitedAttempts,
        control: AttemptControl,
    ) -> None:
        self.cluster = cluster
        self.lease_expiry_s = lease_expiry_s
        self.exits = exits
        self.control = control

    def check(self, now: float, failover_at: float) -> None:
        """Release the attempts of machines whose lease has expired.

        A lease begins with the latest response to a heartbeat, or with the failover if that is
        later: an earlier leader may have renewed the lease until then.
        """
        for machine in list(self.cluster.machines.values()):
            # A machine that is known only from records of an earlier term is removed. If it still
            # exists, a heartbeat or the cloud's list of machines adds it again.
            may_be_gone = machine.phase is MachinePhase.RECOVERED and not machine.listed_by_cloud
            if not machine.attempts and not may_be_gone:
                continue
            if now - max(machine.lease_renewed_at, failover_at) <= self.lease_expiry_s:
                continue
            log.info(
                "machine %s is no longer confirmed since its lease expired: %d tasks lost",
                machine.name,
                len(machine.attempts),
            )
            machine.confirmed = False
            self.control.note_lost(self.cluster.release_all(machine, now), now)
            self.exits.drop(machine.name)
            if may_be_gone:
                self.cluster.remove_machine(machine, now, "no heartbeat since the failover")
