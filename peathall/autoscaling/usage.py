"""Where rented machines' time goes: seconds by what the machine was doing, for the log."""

from __future__ import annotations

from collections import Counter

from peathall.cluster.job import AttemptPhase
from peathall.cluster.machine import Machine, MachinePhase
from peathall.protocol.cloud import MachineType


def share_in_use(machine: Machine) -> dict[str, float]:
    """Parts of the machine by activity, weighed by its scarcest kind of room."""
    if machine.phase in (MachinePhase.STARTING, MachinePhase.RECOVERED):
        return {"booting": 1.0}
    parts: Counter[str] = Counter()
    for attempt in machine.attempts.values():
        spec = attempt.job.spec
        part = spec.gpus / machine.gpus if machine.gpus else spec.cpus / max(machine.cpus, 1e-9)
        parts[label(attempt.phase)] += part  # type: ignore[assignment]
    if machine.phase is MachinePhase.DRAINING:
        parts["draining"] += max(0.0, 1.0 - sum(parts.values()))  # type: ignore[assignment]
    elif not machine.attempts:
        parts["empty"] = 1
    else:
        parts["part-empty"] += max(0.0, 1.0 - sum(parts.values()))  # type: ignore[assignment]
    return dict(parts)


def label(phase: AttemptPhase) -> str:
    """What a machine's time is spent on while an attempt is in this phase."""
    if phase in (AttemptPhase.PLANNED, AttemptPhase.INTENDED, AttemptPhase.SENT):
        return "starting"
    return phase.name.lower()


class UsageAccounting:
    """Money spent since the last line, split by activity."""

    def __init__(self) -> None:
        self.spent: dict[str, float] = {}

    def add(self, machines: list[Machine], types: dict[str, MachineType], seconds: float) -> None:
        """Count what all machines have been doing for so many seconds."""
        for machine in machines:
            kind = types.get(machine.type)
            if kind is None:
                continue
            price = (kind.spot_price if machine.spot else kind.price) * seconds / 3600.0
            for name, part in share_in_use(machine).items():
                self.spent[name] = self.spent.get(name, 0.0) + part * price

    def line(self) -> str:
        """Where the time went since the last line."""
        total = sum(self.spent.values())
        parts = sorted(self.spent.items(), key=lambda x: -x[1])
        self.spent = {}
        return f"spent {total:.2f}: " + ", ".join(f"{k} {v:.2f}" for k, v in parts)
