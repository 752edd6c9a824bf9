"""The hosts of a site's controllers: starts, crashes and freezes."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from peathall.config.platform import Settings
from peathall.controller.controller import Controller
from peathall.operator_config.settings import OperatorSettings
from tests.sim.net import Host
from tests.sim.site_network import SiteNetwork

# Creates a controller of another version from a wall clock and a random generator.
ControllerFactory = Callable[[Callable[[], float], random.Random], Any]


class ControllerHosts:
    """Runs the controllers of a site, each on its own host."""

    def __init__(self, network: SiteNetwork, rng: random.Random, settings: list[Settings]) -> None:
        self.network, self.loop, self.rng = network, network.loop, rng
        self.settings = settings
        self.operators: dict[int, OperatorSettings] = {}  # controllers with an operator config
        self.other_versions: dict[int, ControllerFactory] = {}  # take effect at the next start
        self.controllers: dict[int, tuple[Host, Controller]] = {}  # by their latest start

    def start(self, index: int) -> None:
        """Starts a controller on a new host."""
        host = Host(self.network.controller_ip(index))
        # Wall clocks differ between hosts, as on real machines.
        offset = self.rng.uniform(-0.5, 0.5)
        wall, rng = lambda: self.loop.now + 1e6 + offset, random.Random(self.rng.random())
        make = self.other_versions.get(index)
        operator = self.operators.get(index, OperatorSettings())
        controller = (
            make(wall, rng) if make else Controller(self.settings[index], operator, wall, rng)
        )
        self.controllers[index] = (host, controller)
        self.network.context(host).run(self.loop.create_task, controller.run())

    def crash(self, index: int, back_s: float) -> None:
        """Crashes a controller and restarts it after `back_s` seconds."""
        host, _ = self.controllers[index]
        if host.alive:
            self.loop.crash(host)
            self.loop.call_later(back_s, self.start, index)

    def freeze(self, index: int, seconds: float) -> None:
        """Freezes the controller's host: no code runs on it for this time."""
        host, _ = self.controllers[index]
        host.frozen_until = max(host.frozen_until, self.loop.now + seconds)

    def leader(self) -> int | None:
        """Index of the first controller that is leader, or None."""
        for index, (host, controller) in self.controllers.items():
            if host.alive and getattr(controller, "leader", None) is not None:
                return index
        return None
