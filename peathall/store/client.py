"""Client of the state service that keeps to this controller's share of the rate limits."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

from msgspec import Struct

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec, state_service
from peathall.protocol.state_service import Delete, KeyValue, Put, WatchEvent
from peathall.store.errors import (
    ConflictError,
    InvalidTransactionError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RateLimitError,
    StoreError,
)
from peathall.store.rate_limits import StoreRateLimits


class StoreResponse(Struct):
    """A response of the state service, with the decoded body."""

    status: int
    body: Any


class StoreClient:
    """Requests to the state service.

    Every request raises StoreError if it was not applied, and the subclass OutcomeUnknownError if
    it may have been applied.
    """

    def __init__(
        self,
        addr: str,
        limits: StateSettings,
        controllers: int,
        leader_writes: float = constants.LEADER_WRITE_SHARE,
    ) -> None:
        self.rate_limits = StoreRateLimits(limits, controllers, leader_writes)
        self.http = HttpClient(addr)
        self.watch_http = HttpClient(addr)  # separate, since a watch occupies its connection
        self.loop = asyncio.get_running_loop()
        self.last_response_at = -1e9  # monotonic time of the last response other than 429 or 503
        self.failing = False  # the latest request got no response, or 503

    def set_leading(self, leading: bool) -> None:
        """Switch to the leader's or a follower's share of the rate limits."""
        self.rate_limits.set_leading(leading)

    def is_fresh(self) -> bool:
        """Whether the service has responded recently, so that data from a watch is up to date."""
        return (
            self.loop.time() - self.last_response_at < constants.STORE_FRESH_S and not self.failing
        )

    def spare_writes(self) -> float:
        """Number of operations that deferred writes may use now."""
        return self.rate_limits.spare_writes()

    async def _request(
        self,
        method: str,
        path: str,
        value: Any = None,
        timeout: float = constants.STORE_TIMEOUT_S,
        http: HttpClient | None = None,
    ) -> StoreResponse:
        data = b"" if value is None else codec.encode_cbor(value)
        try:
            status, raw = await (http or self.http).request(method, path, data, timeout)
        except NoAnswerError as exc:
            self.failing = True
            raise (OutcomeUnknownError if exc.sent else StoreError)(str(exc)) from None
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self.failing = False
            raise RateLimitError(f"state service: {status}")
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.failing = True
            raise StoreError(f"state service unavailable: status {status}")
        self.last_response_at = self.loop.time()
        self.failing = False
        try:
            body = codec.decode_cbor(raw)
        # Malformed bytes make the decoder raise various errors: recursion, memory, value.
        except Exception as exc:
            raise OutcomeUnknownError(f"malformed response of the state service: {exc}") from None
        if body is not None and not isinstance(body, dict):
            raise OutcomeUnknownError("malformed response of the state service: not a map")
        return StoreResponse(status, body)

    async def get(self, key: str, prioritized: bool = False) -> KeyValue | None:
        """The record with this key, or None if it does not exist.

        A prioritized read may use the part of the request rate that is reserved for commits.
        """
        await self.rate_limits.acquire(prioritized=prioritized)
        response = await self._request("GET", state_service.record_path(key))
        if response.status == HTTPStatus.OK:
            return state_service.key_value_from_wire(response.body)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        raise StoreError(f"get of record {key} failed: status {response.status}")

    async def scan(self, prefix: str) -> tuple[list[KeyValue], int]:
        """All records whose keys have the prefix, and the revision after which to watch them."""
        items: list[KeyValue] = []
        after, revision = "", None
        while True:
            await self.rate_limits.acquire()
            response = await self._request("GET", state_service.scan_path(prefix, after))
            if response.status != HTTPStatus.OK:
                raise StoreError(f"scan of {prefix} failed: status {response.status}")
            if revision is None:
                # A watch from the first page's revision reports all changes during the scan.
                revision = state_service.revision_from_wire(response.body)
            page, more = state_service.scan_page_from_wire(response.body)
            items += page
            if not more:
                return items, revision
            after = page[-1].key

    async def commit(self, conditions: dict[str, int], ops: list[Put | Delete]) -> int:
        """Commit a transaction and return its revision.

        `conditions` maps keys to the version that each must have (0: no such record). Raises
        ConflictError, LeaseExpiredError, InvalidTransactionError and RateLimitError.
        """
        await self.rate_limits.acquire(len(ops))
        wire = state_service.transaction_to_wire(conditions, ops)
        try:
            response = await self._request("POST", state_service.COMMIT_PATH, wire)
        finally:
            self.rate_limits.note_writes_answered(len(ops))
        status, body = response.status, response.body
        if status == HTTPStatus.OK:
            return state_service.revision_from_wire(body)
        if status == HTTPStatus.CONFLICT:
            raise ConflictError(state_service.failed_conditions_from_wire(body))
        if status == HTTPStatus.BAD_REQUEST and state_service.is_ended_lease_error(body):
            raise LeaseExpiredError
        if status == HTTPStatus.BAD_REQUEST:
            raise InvalidTransactionError(f"commit: {status} {body}")
        raise StoreError(f"commit failed: status {status}, response {body}")

    async def grant_lease(self, ttl_s: float) -> int:
        """The id of a new lease, which expires `ttl_s` seconds after its last renewal."""
        self.rate_limits.count_unlimited_request()
        wire = state_service.lease_request_to_wire(ttl_s)
        response = await self._request("POST", state_service.LEASES_PATH, wire)
        if response.status != HTTPStatus.OK:
            raise StoreError(f"grant of a lease failed: status {response.status}")
        return state_service.lease_from_wire(response.body)

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease; LeaseExpiredError if it has expired. The timeout is in seconds."""
        self.rate_limits.count_unlimited_request()
        path = state_service.lease_renewal_path(lease)
        response = await self._request("POST", path, {}, timeout)
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError
        if response.status != HTTPStatus.OK:
            raise StoreError(f"renewal of a lease failed: status {response.status}")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the service deletes the records attached to it."""
        self.rate_limits.count_unlimited_request()
        await self._request("DELETE", state_service.lease_path(lease))

    async def watch(self, prefix: str, after: int) -> tuple[int, list[WatchEvent]] | None:
        """Wait up to WATCH_HOLD_S for changes after the revision `after`.

        Returns the changes, with the revision up to which they are reported. Returns None if the
        service no longer has all changes since `after`: the caller must scan again.
        """
        return await self._changes(prefix, after, constants.WATCH_HOLD_S, self.watch_http)

    async def changes_since(self, prefix: str, after: int) -> tuple[int, list[WatchEvent]] | None:
        """Like `watch`, but without waiting for changes."""
        return await self._changes(prefix, after, 0.0, self.http)

    async def _changes(
        self, prefix: str, after: int, hold_s: float, http: HttpClient
    ) -> tuple[int, list[WatchEvent]] | None:
        # Watches are few, so they need not leave requests to commits as other reads do.
        await self.rate_limits.acquire(prioritized=hold_s > 0)
        path = state_service.watch_path(prefix, after, hold_s)
        timeout = hold_s + constants.STORE_TIMEOUT_S
        response = await self._request("GET", path, timeout=timeout, http=http)
        if response.status == HTTPStatus.GONE:
            return None
        if response.status != HTTPStatus.OK:
            raise StoreError(f"watch failed: status {response.status}")
        events = state_service.watch_events_from_wire(response.body)
        return state_service.revision_from_wire(response.body), events
