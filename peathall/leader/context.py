"""What a controller gives to each leader that it runs."""

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
    """The election, as far as a leader needs it."""

    def is_leader(self) -> bool:
        """Whether this controller leads and its leader lease is valid now."""

    def step_down(self) -> None:
        """End the term: the leader key was found to be another controller's."""


class ControllerContext(Struct, frozen=True):
    """The parts of a controller that outlive its terms and that its leaders use."""

    settings: Settings
    operator: Operator
    store: StoreClient
    cloud: CloudClient
    leadership: Leadership
    heartbeats_elsewhere: HeartbeatsElsewhere  # latest heartbeats that other controllers received
    wall: Callable[[], float]  # time of day, in seconds
    rng: random.Random
    duties: Duties | None = None  # None: the operator has not enabled duties
