"""Observations of a simulated day (one run of a site), and the violations of rules."""

from __future__ import annotations

from tests.sim.net import VirtualLoop


class DayRecord:
    """Observations that the rules use; all times are in seconds of the virtual clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.broken: list[str] = []  # violations of rules: time, rule and what happened
        self.grace_until = 0.0  # delays before this time are effects of faults and no violations
        self.accepted: set[str] = set()  # jobs whose submission was confirmed
        self.submitted: dict[str, float] = {}  # job -> when its submission was confirmed
        self.begun: dict[str, float] = {}  # job -> when its first task was on a machine
        self.cancelled: dict[str, float] = {}  # job -> when a user was first told of it
        self.last_response: dict[str, str] = {}  # job -> status in the last response to its user
        self.starts = 0  # attempts that were placed on machines
        self.starts_after_cancel = 0

    def report_violation(self, rule: str, details: str) -> None:
        """Records the violation of a rule."""
        self.broken.append(f"{self.loop.now:.2f} {rule}: {details}")
