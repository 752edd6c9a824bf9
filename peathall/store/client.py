"""Client of the state service: the only place that knows its paths and words."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from msgspec import Struct

from peathall import constants
from peathall.config.platform import StateSettings
from peathall.http.client import HttpClient, NoAnswerError
from peathall.protocol import codec
from peathall.store.token_bucket import TokenBucket


class StoreError(Exception):
    """The request was not carried out, or its answer was of no use."""


class OutcomeUnknownError(StoreError):
    """No answer: it may have been carried out, or still be carried out later."""


class InvalidTransactionError(StoreError):
    """The service will never carry it out as it is: too large, perhaps."""


class RateLimitError(StoreError):
    """Refused for its rate: not carried out, and nothing is wrong with it but its time or size."""


class ConflictError(Exception):
    """A condition did not hold; `failed` names the keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed


class LeaseExpiredError(Exception):
    """The lease has ended."""


class KeyValue(Struct):
    """A record as it is stored."""

    key: str
    value: Any
    version: int


class WatchEvent(Struct):
    """News of a record from a watch."""

    key: str
    version: int
    value: Any = None
    deleted: bool = False


class Put(Struct):
    """Write a record."""

    key: str
    value: Any
    lease: int | None = None

    def to_wire(self) -> dict[str, Any]:
        """As the protocol writes it."""
        wire = {"write": self.key, "data": self.value}
        if self.lease is not None:
            wire["tenancy"] = self.lease
        return wire


class Delete(Struct):
    """Delete a record."""

    key: str

    def to_wire(self) -> dict[str, Any]:
        """As the protocol writes it."""
        return {"drop": self.key}


class SingleFlightRead:
    """Whoever asks while a read is on its way shares the next one: what is known afterwards
    is no older than the question, and a storm of questions costs one read at a time."""

    def __init__(self, read: Callable[[], Awaitable[None]]) -> None:
        self.read = read
        self._reading: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def refresh(self) -> None:
        """Wait for a read that begins after this call."""
        if self._next is None:
            # A read that is on its way may have been carried out before this call.
            self._next = asyncio.create_task(self._read_after(self._reading))
            self._next.add_done_callback(lambda t: t.cancelled() or t.exception())
        await asyncio.shield(self._next)

    async def _read_after(self, earlier: asyncio.Task[None] | None) -> None:
        if earlier is not None and not earlier.done():
            await asyncio.wait([earlier])
        self._reading, self._next = self._next, None
        await self.read()


class StoreClient:
    """The state service's calls, within this controller's part of its budgets."""

    def __init__(
        self,
        addr: str,
        limits: StateSettings,
        controllers: int,
        leader_writes: float = constants.LEADER_WRITE_SHARE,
    ) -> None:
        self.limits = limits
        self.leader_writes = leader_writes  # the leader's part of the changes a second
        self.followers = max(1, controllers - 1)
        self.http = HttpClient(addr)
        self.watch_http = HttpClient(addr)
        self.loop = asyncio.get_running_loop()
        self.requests = TokenBucket(limits.rps * self._share(constants.LEADER_RPS_SHARE, False))
        self.writes = TokenBucket(limits.write_rps * self._share(leader_writes, False))
        self.last_good = -1e9
        self.failing = False  # the latest request was not answered, or refused

    def set_leading(self, leading: bool) -> None:
        """The leader and its followers have different parts of the budgets."""
        now = self.loop.time()
        self.requests.set_rate(
            self.limits.rps * self._share(constants.LEADER_RPS_SHARE, leading), now
        )
        self.writes.set_rate(self.limits.write_rps * self._share(self.leader_writes, leading), now)

    def is_fresh(self) -> bool:
        """What we know from the service is no older than a watch's hold."""
        return self.loop.time() - self.last_good < constants.STORE_FRESH_S and not self.failing

    def spare_writes(self) -> float:
        """Changes that the budget has to spare now."""
        return self.writes.spare(self.loop.time())

    def _share(self, leaders: float, leading: bool) -> float:
        """Of a budget: the leader's part, or an equal part of what that leaves. Whatever the
        number of controllers, the sum stays within the whole."""
        return leaders if leading else (1.0 - leaders) / self.followers

    async def _budget(self, writes: int = 0, first: bool = False) -> None:
        """Reads leave some of the budget to what goes first, and are given up in time: more of
        them than it allows would else wait in an ever longer line."""
        keep = 0.0 if writes or first else constants.READ_RATE_RESERVE
        until = self.loop.time() + constants.STORE_TIMEOUT_S
        while (pause := self.requests.wait(1, self.loop.time(), keep)) > 0:
            if keep and self.loop.time() + pause > until:
                raise StoreError("the request budget is used up")
            await asyncio.sleep(pause)
        while writes and (pause := self.writes.wait(writes, self.loop.time())) > 0:
            await asyncio.sleep(pause)

    async def _ask(
        self,
        method: str,
        path: str,
        value: Any = None,
        timeout: float = constants.STORE_TIMEOUT_S,
        http: HttpClient | None = None,
    ) -> tuple[int, Any]:
        data = b"" if value is None else codec.cbor_bytes(value)
        try:
            status, raw = await (http or self.http).request(method, path, data, timeout)
        except NoAnswerError as exc:
            self.failing = True
            raise (OutcomeUnknownError if exc.sent else StoreError)(str(exc)) from None
        if status == 429:
            self.failing = False
            raise RateLimitError(f"state service: {status}")
        if status == 503:
            self.failing = True
            raise StoreError(f"state service: {status}")
        self.last_good = self.loop.time()
        self.failing = False
        try:
            return status, codec.cbor_any(raw)
        except Exception as exc:
            raise OutcomeUnknownError(f"garbled answer: {exc}") from None

    async def get(self, key: str, first: bool = False) -> KeyValue | None:
        """One record, or None."""
        await self._budget(first=first)
        status, raw = await self._ask("GET", f"/store/{quote(key)}")
        if status == 200:
            return KeyValue(raw["k"], raw["data"], raw["stamp"])
        if status == 404:
            return None
        raise StoreError(f"get {key}: {status}")

    async def scan(self, prefix: str) -> tuple[list[KeyValue], int]:
        """All keys with the prefix, and the revision from which to watch on."""
        items: list[KeyValue] = []
        after, revision = "", None
        while True:
            await self._budget()
            path = f"/store?prefix={quote(prefix)}&most=1000"
            if after:
                path += f"&after={quote(after)}"
            status, raw = await self._ask("GET", path)
            if status != 200:
                raise StoreError(f"list {prefix}: {status}")
            if revision is None:
                # The first page's revision: what changes during the paging is watched.
                revision = raw["epoch"]
            items += [KeyValue(x["k"], x["data"], x["stamp"]) for x in raw["items"]]
            if not raw.get("more") or not raw["items"]:
                return items, revision
            after = raw["items"][-1]["k"]

    async def commit(self, conditions: dict[str, int], ops: list[Put | Delete]) -> int:
        """Carry out a transaction; the revision."""
        await self._budget(len(ops))
        wire = {
            "when": [{"k": key, "stamp": version} for key, version in conditions.items()],
            "apply": [op.to_wire() for op in ops],
        }
        status, raw = await self._ask("POST", "/commit", wire)
        if status == 200:
            return int(raw["epoch"])
        if status == 409:
            raise ConflictError(list(raw["failed"]))
        if status == 400 and "lease" in str((raw or {}).get("error", "")):
            raise LeaseExpiredError
        if status == 400:
            raise InvalidTransactionError(f"commit: {status} {raw}")
        raise StoreError(f"commit: {status} {raw}")

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        self.requests.spend(1, self.loop.time())
        status, raw = await self._ask("POST", "/leases", {"ttl_ms": int(ttl_s * 1000)})
        if status != 200:
            raise StoreError(f"lease: {status}")
        return int(raw["tenancy"])

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease; LeaseExpiredError if it has ended."""
        self.requests.spend(1, self.loop.time())
        status, _ = await self._ask("POST", f"/leases/{lease}/renew", {}, timeout)
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise StoreError(f"renew: {status}")

    async def revoke_lease(self, lease: int) -> None:
        """End a lease at once."""
        self.requests.spend(1, self.loop.time())
        await self._ask("DELETE", f"/leases/{lease}")

    async def watch(self, prefix: str, after: int) -> tuple[int, list[WatchEvent]] | None:
        """Changes after a revision; None if the service no longer knows that far back."""
        return await self._changes(prefix, after, constants.WATCH_HOLD_S, self.watch_http)

    async def changes_since(self, prefix: str, after: int) -> tuple[int, list[WatchEvent]] | None:
        """The same without waiting for any."""
        return await self._changes(prefix, after, 0.0, self.http)

    async def _changes(
        self, prefix: str, after: int, hold: float, http: HttpClient
    ) -> tuple[int, list[WatchEvent]] | None:
        await self._budget(first=hold > 0)  # such are few
        path = f"/watch?prefix={quote(prefix)}&after={after}&hold_ms={int(hold * 1000)}"
        status, raw = await self._ask(
            "GET", path, timeout=hold + constants.STORE_TIMEOUT_S, http=http
        )
        if status == 410:
            return None
        if status != 200:
            raise StoreError(f"watch: {status}")
        changes = [
            WatchEvent(x["write"], x["stamp"], x.get("data"))
            if "write" in x
            else WatchEvent(x["drop"], x["stamp"], deleted=True)
            for x in raw["news"]
        ]
        return int(raw["epoch"]), changes
