"""Responses of the cloud that must not end a leader's term or hold up other requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import pytest

from peathall.autoscaling.actions import (
    CloudError,
    NoCapacityError,
    ProvisionRequest,
    RejectedRequestError,
)
from peathall.autoscaling.provider_client import CloudClient
from peathall.config.platform import CloudSettings

REQUEST = ProvisionRequest("r-1-1", "g", "a", False, 2)
NO_CAPACITY = {"error": "no capacity"}


def answer_of(status: int, body: Any, ask: Callable[[CloudClient], Awaitable[Any]]) -> Any:
    """What the client returns or raises for this response of the cloud."""

    async def respond(*args: Any) -> tuple[int, bytes]:
        return status, cbor2.dumps(body)

    async def run() -> Any:
        client = CloudClient("10.9.0.1:1", CloudSettings(4.0, 4.0), lambda: True)
        client.http.request = respond  # type: ignore[method-assign]
        return await ask(client)

    return asyncio.run(run())


def test_machines_are_provisioned() -> None:
    names = ["m-1", "m-2"]
    assert answer_of(200, {"halls": names}, lambda c: c.provision(REQUEST)) == names


def test_a_provision_request_that_the_cloud_rejects_is_told_from_a_failed_one() -> None:
    with pytest.raises(RejectedRequestError):
        answer_of(400, {"error": "malformed"}, lambda c: c.provision(REQUEST))
    with pytest.raises(NoCapacityError):
        answer_of(503, NO_CAPACITY, lambda c: c.provision(REQUEST))


@pytest.mark.parametrize("ask", [CloudClient.types, CloudClient.machines])
def test_an_error_about_capacity_in_answer_to_a_read_is_retried(
    ask: Callable[[CloudClient], Awaitable[Any]],
) -> None:
    """Regression: it raised NoCapacityError, which ended the leader's term."""
    with pytest.raises(CloudError):
        answer_of(503, NO_CAPACITY, ask)


def test_an_error_about_capacity_in_answer_to_a_deletion_is_retried() -> None:
    """Regression: as for a read."""
    with pytest.raises(CloudError):
        answer_of(503, NO_CAPACITY, lambda c: c.delete(["m-1"]))


@pytest.mark.parametrize("body", [{}, {"halls": 3}, {"halls": [{}]}, {"builds": [{}]}, None, []])
@pytest.mark.parametrize(
    "ask", [CloudClient.types, CloudClient.machines, lambda c: c.provision(REQUEST)]
)
def test_a_response_with_a_missing_field_is_retried(
    ask: Callable[[CloudClient], Awaitable[Any]], body: Any
) -> None:
    """Regression: the decoder's exception ended the autoscaler, and with it the leader's term."""
    with pytest.raises(CloudError):
        answer_of(200, body, ask)
