"""The parts of a controller that each of its leaders uses."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

from peathall.autoscaling.provider_client import CloudClient
from peathall.config.platform import Settings
from peathall.operator_config.settings import Operator
from peathall.store.client import StoreClient
from peathall.workers.health import HeartbeatsElsewhere

if TYPE_CHECKING:
    from peathall.duties.duties import Duties


class Leadership(Protocol):
    """The part of the election that a leader uses."""

    def is_leader(self) -> bool:
        """Whether this controller leads and its leader lease is valid now."""

    def step_down(self) -> None:
        """End the term, since the leader key turned out not to be this controller's any more."""


class ControllerContext(Struct, frozen=True):
    """Parts that exist as long as the controller, not only for one term."""

    settings: Settings
    operator: Operator
    store: StoreClient
    cloud: CloudClient
    leadership: Leadership
    heartbeats_elsewhere: HeartbeatsElsewhere  # the latest heartbeats received by other controllers
    wall: Callable[[], float]  # wall-clock time, in seconds since the epoch
    rng: random.Random
    duties: Duties | None = None  # None: duties are not enabled
