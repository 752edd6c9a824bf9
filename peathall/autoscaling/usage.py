"""Usage accounting: the cost of the machines by activity, for the log."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, defaultdict

from peathall import constants
from peathall.cluster.job import AttemptPhase, JobPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.cluster.state import ClusterState
from peathall.protocol.cloud import MachineType

log = logging.getLogger("peathall.autoscaling")


def activity_shares(machine: Machine) -> dict[str, float]:
    """Shares of the machine by activity, measured in its GPUs if it has any, else in its CPUs."""
    if machine.phase in (MachinePhase.STARTING, MachinePhase.RECOVERED):
        return {"startup": 1.0}
    shares: defaultdict[str, float] = defaultdict(float)
    for attempt in machine.attempts.values():
        spec = attempt.job.spec
        share = spec.gpus / machine.gpus if machine.gpus else spec.cpus / max(machine.cpus, 1e-9)
        shares[activity(attempt.phase)] += share
    if machine.phase is MachinePhase.DRAINING:
        shares["draining"] += max(0.0, 1.0 - sum(shares.values()))
    elif not machine.attempts:
        shares["idle"] = 1.0
    else:
        shares["partly-idle"] += max(0.0, 1.0 - sum(shares.values()))
    return dict(shares)


def activity(phase: AttemptPhase) -> str:
    """The activity under which the cost of an attempt in this phase is counted."""
    if phase in (AttemptPhase.PLANNED, AttemptPhase.INTENDED, AttemptPhase.SENT):
        return "starting"
    return phase.name.lower()


class UsageAccounting:
    """Sums up the cost since the last log line, by activity."""

    def __init__(self) -> None:
        self._cost: dict[str, float] = {}

    def add(self, machines: list[Machine], types: dict[str, MachineType], seconds: float) -> None:
        """Add the cost of the machines for so many seconds of their present activities."""
        for machine in machines:
            machine_type = types.get(machine.type)
            if machine_type is None:
                continue
            price = machine_type.spot_price if machine.spot else machine_type.price
            cost = price * seconds / 3600.0
            for name, share in activity_shares(machine).items():
                self._cost[name] = self._cost.get(name, 0.0) + share * cost

    def flush(self) -> str:
        """Return the cost since the last call, by activity, as text."""
        total = sum(self._cost.values())
        costs = sorted(self._cost.items(), key=lambda x: -x[1])
        self._cost = {}
        return f"cost {total:.2f}: " + ", ".join(f"{k} {v:.2f}" for k, v in costs)


class UsageLog:
    """Samples the activities of all machines, and logs their cost at intervals."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._accounting = UsageAccounting()
        self._sampled_at = self._logged_at = asyncio.get_running_loop().time()

    def sample(self, now: float) -> None:
        """Take a sample, and write the log line, if they are due."""
        if now - self._sampled_at < constants.USAGE_SAMPLE_INTERVAL_S:
            return
        machines = list(self._cluster.machines.values())
        self._accounting.add(machines, self._cluster.types, now - self._sampled_at)
        self._sampled_at = now
        if now - self._logged_at > constants.USAGE_LOG_INTERVAL_S:
            self._logged_at = now
            self._log(machines)

    def _log(self, machines: list[Machine]) -> None:
        phases = Counter(m.phase.name.lower() for m in machines)
        queued: Counter[str] = Counter()
        for job in self._cluster.jobs.values():
            if job.pending and job.phase is JobPhase.ACTIVE:
                queued[job.spec.class_name] += len(job.pending)
        up = [m for m in machines if m.phase is MachinePhase.UP]
        log.info(
            "%s; machines %s; cpus %.0f of %.0f, gpus %.0f of %.0f in use; tasks queued %s",
            self._accounting.flush(),
            dict(phases),
            sum(m.cpus - m.free_cpus for m in up),
            sum(m.cpus for m in up),
            sum(m.gpus - m.free_gpus for m in up),
            sum(m.gpus for m in up),
            dict(queued),
        )
