"""A client of the cloud's machine API that keeps to its rate limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

from peathall import constants
from peathall.autoscaling.actions import (
    CloudError,
    NoCapacityError,
    ProvisionRequest,
    RejectedRequestError,
)
from peathall.config.platform import CloudSettings
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec
from peathall.protocol.cloud import (
    DELETE_MACHINES_PATH,
    MACHINE_TYPES_PATH,
    MACHINES_PATH,
    ListedMachine,
    MachineType,
    decode_machine_page,
    decode_machine_types,
    decode_provisioned_machines,
    encode_deletion,
    encode_provision_request,
    is_capacity_error,
    machine_page_path,
)
from peathall.store.token_bucket import TokenBucket

T = TypeVar("T")

# Looked up once: in Python 3.11 each access to a member of an enum class takes some 0.4 us.
OK = HTTPStatus.OK
BAD_REQUEST = HTTPStatus.BAD_REQUEST
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE


class CloudClient:
    """Sends requests to the cloud; raises CloudError, or NoCapacityError if it has no capacity.

    `may_send` is checked before each request; `share` is this client's share of the rate limit.
    """

    def __init__(
        self, addr: str, settings: CloudSettings, may_send: Callable[[], bool], share: float = 1.0
    ) -> None:
        self.http = HttpClient(addr, may_send=may_send)
        self._loop = asyncio.get_running_loop()
        self._rate_limit = TokenBucket(settings.rps * share * 0.9, settings.rps * share)

    async def _request(
        self, method: str, path: str, value: Any = None, reserve_share: float = 0.0
    ) -> tuple[int, Any]:
        """Return status and decoded body; `reserve_share`: share of the burst left to others."""
        while (pause := self._rate_limit.try_acquire(1, self._loop.time(), reserve_share)) > 0:
            await asyncio.sleep(pause)
        data = b"" if value is None else codec.encode_cbor(value)
        try:
            status, raw = await self.http.request(method, path, data, constants.CLOUD_TIMEOUT_S)
        except NoAnswerError as exc:
            raise CloudError(str(exc), exc.sent) from None
        return status, _decoded(codec.decode_cbor, raw)

    async def _request_ok(
        self, method: str, path: str, value: Any = None, reserve_share: float = 0.0
    ) -> Any:
        """As `_request`, but return only the body; raises CloudError for any status but 200."""
        status, answer = await self._request(method, path, value, reserve_share)
        if status != OK:
            raise CloudError(f"the cloud responded to {method} {path} with status {status}", False)
        return answer

    async def types(self) -> list[MachineType]:
        """Read all machine types, with their present prices."""
        return _decoded(decode_machine_types, await self._request_ok("GET", MACHINE_TYPES_PATH))

    async def machines(self) -> list[ListedMachine]:
        """Read the whole machine list, page by page."""
        found: list[ListedMachine] = []
        after = ""
        while True:
            path = machine_page_path(constants.MACHINE_LIST_PAGE_SIZE, after)
            # The first page leaves no part of the burst: otherwise the list would never be read
            # while many other requests are waiting.
            raw = await self._request_ok(
                "GET", path, reserve_share=constants.MACHINE_LIST_BURST_RESERVE if after else 0.0
            )
            page = _decoded(decode_machine_page, raw)
            found += page.machines
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name

    async def provision(self, request: ProvisionRequest, /) -> list[str]:
        """Provision machines; repeating a request with the same name provisions nothing more."""
        body = encode_provision_request(
            request.request, request.type, request.zone, request.spot, request.count
        )
        status, answer = await self._request("POST", MACHINES_PATH, body)
        if status == SERVICE_UNAVAILABLE and is_capacity_error(answer):
            raise NoCapacityError
        if status == BAD_REQUEST:
            raise RejectedRequestError(f"the cloud rejected provision request {request.request}")
        if status != OK:
            raise CloudError(f"the cloud responded to a provision request with {status}", False)
        return _decoded(decode_provisioned_machines, answer)

    async def delete(self, machines: list[str], /) -> None:
        """Delete machines; once this returns, they and everything on them are gone."""
        await self._request_ok("POST", DELETE_MACHINES_PATH, encode_deletion(machines))


def _decoded(decode: Callable[[Any], T], raw: Any) -> T:
    """The decoded body; raises CloudError if that fails. The request was sent."""
    try:
        return decode(raw)
    except Exception as exc:
        # A damaged response can make the decoders raise anything.
        raise CloudError(f"cannot decode the cloud's response: {exc}", True) from None
