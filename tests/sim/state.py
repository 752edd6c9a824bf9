"""Simulated state service, which implements the published protocol."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.protocol import codec
from tests.sim.net import CALLER, VirtualLoop

NO_ANSWER_S = 3600.0  # a request without an answer is held this long
CONDITIONS_PER_CHANGE = 4  # times `txn_ops`: limit of conditions in one transaction
MAX_TRANSACTION_BYTES = 64 * 1024


class StateService:
    """Keeps records and leases and answers requests, with limits and injected faults."""

    def __init__(self, loop: VirtualLoop, ip: str = "10.2.0.1") -> None:
        self.loop = loop
        self.ip = ip
        self.data: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, version, lease
        self.leases: dict[int, tuple[float, float]] = {}  # id -> TTL in seconds, expiry time
        self.revision = 0
        self.changes: list[tuple[int, str, Any, bool]] = []  # revision, key, value, deleted
        self.changed = asyncio.Event()
        self.next_lease = 0

        # Limits.
        self.value_kb, self.txn_ops = 8.0, 12
        self.page_size = 7  # keys; small, so that scans take several pages
        self.rate_limits: tuple[float, float] = (1e9, 1e9)  # requests/s and changes/s
        self.limit_used = [0.0, 0.0]  # used part of the burst of each rate
        self.limit_used_at = 0.0
        self.requests = self.refused = 0

        # Faults. A share is a fraction of the requests or commits that the fault can hit.
        self.down_until = -1.0
        self.refused_until: dict[str, float] = {}  # caller -> until when it alone gets 503
        self.copies_share = 0.0  # of writing requests that are executed again later
        self.late_share = 0.0  # of commits that are executed 2 to 12 s late and not answered
        self.lost_share = 0.0  # of commits that are executed at once and not answered
        self.slow_share = 0.0  # of requests, and of answers, that take up to 1 s more
        self.lossy_share = 0.0  # of commits not answered; half of them are applied 1 to 6 s late

        # Observers.
        self.on_invalid: Callable[[str], None] = lambda what: None
        # Called with each transaction whose conditions hold, just before it is applied.
        self.on_accepted: Callable[[dict[str, Any]], None] = lambda raw: None
        # Called with each transaction before it is executed; no answer is sent if it returns True.
        self.on_commit: Callable[[dict[str, Any]], bool] = lambda raw: False

    @property
    def down(self) -> bool:
        """Whether there is an outage now."""
        return self.loop.now < self.down_until

    def outage(self, seconds: float) -> None:
        """Rejects requests with 503 for this time; watches are not answered until it is over."""
        self.down_until = self.loop.now + seconds
        # After an outage all leases start again with their full TTL.
        self.leases = {k: (ttl, self.down_until + ttl) for k, (ttl, _) in self.leases.items()}

    async def start(self) -> None:
        """Listens on the host of the current context."""
        await HttpServer(self.handle, 10_000).start(self.ip, 2379)
        self.loop.create_task(self.expire_leases())

    # --- records and leases --------------------------------------------------
    async def expire_leases(self) -> None:
        """Ends each lease that has expired; no lease expires during an outage."""
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                for lease, (_, ends) in list(self.leases.items()):
                    if self.loop.now > ends:
                        self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Ends the lease and deletes the records attached to it."""
        if self.leases.pop(lease, None) is not None:
            for key, (_, _, owner) in list(self.data.items()):
                if owner == lease:
                    self.revision += 1
                    self.delete(key)

    def renew_lease(self, lease: int) -> None:
        """Restarts the lease's TTL."""
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, self.loop.now + ttl)

    def record_change(self, key: str, value: Any, deleted: bool) -> None:
        """Adds the change to the log that watches read, and wakes them."""
        self.changes.append((self.revision, key, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def delete(self, key: str) -> None:
        """Deletes a record if it exists."""
        if self.data.pop(key, None) is not None:
            self.record_change(key, None, True)

    def exceeds_limits(self, raw: dict[str, Any]) -> bool:
        """Whether a transaction exceeds a limit, which is reported to `on_invalid`."""
        changes, conditions = len(raw["apply"]), len(raw["when"])
        values = {op["write"]: codec.json_size(op["data"]) for op in raw["apply"] if "write" in op}
        key, size = max(values.items(), key=lambda value: value[1], default=("", 0))
        total = codec.json_size(raw)
        exceeds = (
            changes > self.txn_ops
            or conditions > CONDITIONS_PER_CHANGE * self.txn_ops
            or size > self.value_kb * 1024
            or total > MAX_TRANSACTION_BYTES
        )
        if exceeds:
            self.on_invalid(
                f"{changes} changes, {conditions} conditions, {total} bytes in total,"
                f" {size} bytes as the value of {key!r}: {raw}"
            )
        return exceeds

    def commit(self, raw: dict[str, Any]) -> Response:
        """Executes a transaction if its conditions hold and it is within the limits."""
        if self.exceeds_limits(raw):
            return codec.cbor_response(400, {"error": "too large"})
        failed = [
            w["k"] for w in raw["when"] if self.data.get(w["k"], (None, 0, None))[1] != w["stamp"]
        ]
        if failed:
            return codec.cbor_response(409, {"failed": failed, "epoch": self.revision})
        for op in raw["apply"]:
            if op.get("tenancy") is not None and op["tenancy"] not in self.leases:
                return codec.cbor_response(400, {"error": "no such lease"})
        self.on_accepted(raw)
        self.revision += 1
        for op in raw["apply"]:
            if "write" in op:
                self.data[op["write"]] = (op["data"], self.revision, op.get("tenancy"))
                self.record_change(op["write"], op["data"], False)
            else:
                self.delete(op["drop"])
        return codec.cbor_response(200, {"epoch": self.revision})

    # --- faults --------------------------------------------------------------
    def execute_late_copy(self, method: str, path: str, raw: Any) -> None:
        """Executes a late copy of a request, unless there is an outage."""
        if self.down:
            return
        if path == "/commit":
            self.commit(raw)
        elif method == "DELETE":
            self.end_lease(int(path.split("/")[2]))
        elif path.endswith("/renew") and (lease := int(path.split("/")[2])) in self.leases:
            self.renew_lease(lease)

    async def commit_with_faults(self, raw: Any) -> Response:
        """Executes a transaction with the injected faults: late, or without an answer."""
        rng = self.loop.rng
        if self.on_commit(raw):
            self.commit(raw)
            await asyncio.sleep(NO_ANSWER_S)
        drawn = rng.random() if self.late_share + self.lost_share else 1.0
        if drawn < self.late_share + self.lost_share:
            if drawn < self.late_share:
                self.loop.call_later(
                    2 + 10 * rng.random(), self.execute_late_copy, "", "/commit", raw
                )
            else:
                self.commit(raw)
            await asyncio.sleep(NO_ANSWER_S)
        if rng.random() < self.lossy_share:
            if rng.random() < 0.5:
                self.loop.call_later(1 + 5 * rng.random(), self.commit, raw)
            else:
                self.commit(raw)
            await asyncio.sleep(NO_ANSWER_S)
        return self.commit(raw)

    def over_limit(self, changes: int) -> bool:
        """Whether a request exceeds a rate limit; bursts of one second's worth are allowed."""
        self.requests += 1
        passed = self.loop.now - self.limit_used_at
        for kind, rate in enumerate(self.rate_limits):
            self.limit_used[kind] = max(0.0, self.limit_used[kind] - rate * passed)
        self.limit_used_at = self.loop.now
        for kind, amount in enumerate((1, changes)):
            if self.limit_used[kind] + amount > self.rate_limits[kind] + 1.0:
                self.refused += 1
                return True
            self.limit_used[kind] += amount
        return False

    # --- requests ------------------------------------------------------------
    async def handle(self, request: Request) -> Response:
        """Answers a request after a random delay."""
        await asyncio.sleep(self.loop.rng.random() * 0.01)
        # Draws no random number for a fault that is off, so that seeds keep giving the same days.
        if self.slow_share and self.loop.rng.random() < self.slow_share:
            await asyncio.sleep(self.loop.rng.random())
        response = await self.carry_out(request)
        # Other clients may read the change before its author gets the answer.
        if self.slow_share and self.loop.rng.random() < self.slow_share:
            await asyncio.sleep(self.loop.rng.random())
        return response

    async def carry_out(self, request: Request) -> Response:
        """Answers a request, subject to the limits and the injected faults."""
        path, query = request.path, {k: v[0] for k, v in parse_qs(request.query).items()}
        raw = codec.decode_cbor(request.body)
        if self.over_limit(len(raw["apply"]) if path == "/commit" else 0):
            return codec.cbor_response(429, {})
        if path == "/watch":
            return await self.watch(query)
        if self.down or self.loop.now < self.refused_until.get(CALLER.get(), -1.0):
            return codec.cbor_response(503, {})
        if request.method != "GET" and self.loop.rng.random() < self.copies_share:
            delay = 0.5 + 30 * self.loop.rng.random()
            self.loop.call_later(delay, self.execute_late_copy, request.method, path, raw)
        if path == "/commit":
            return await self.commit_with_faults(raw)
        if path == "/store":
            return self.scan(query)
        if path.startswith("/store/"):
            return self.get(unquote(path.removeprefix("/store/")))
        if path == "/leases":
            self.next_lease += 1
            ttl = raw["ttl_ms"] / 1000
            self.leases[self.next_lease] = (ttl, self.loop.now + ttl)
            return codec.cbor_response(200, {"tenancy": self.next_lease})
        lease = int(path.split("/")[2])
        if request.method == "DELETE":
            self.end_lease(lease)
            return codec.cbor_response(200, {})
        if lease not in self.leases:
            return codec.cbor_response(404, {})
        self.renew_lease(lease)
        return codec.cbor_response(200, {})

    def get(self, key: str) -> Response:
        """Answers with one record."""
        if key not in self.data:
            return codec.cbor_response(404, {"epoch": self.revision})
        value, version, _ = self.data[key]
        return codec.cbor_response(200, {"k": key, "data": value, "stamp": version})

    def scan(self, query: dict[str, str]) -> Response:
        """Answers with one page of the records under a prefix."""
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.data if k.startswith(prefix) and k > after)
        page = keys[: self.page_size]
        items = [{"k": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in page]
        more = len(keys) > len(page)
        return codec.cbor_response(200, {"items": items, "more": more, "epoch": self.revision})

    async def watch(self, query: dict[str, str]) -> Response:
        """Waits for watch events after a revision, at most for the requested time."""
        after, ends = int(query["after"]), self.loop.now + int(query["hold_ms"]) / 1000
        while True:
            first = bisect_right(self.changes, after, key=lambda change: change[0])
            events = [
                {"drop": k, "stamp": r} if deleted else {"write": k, "data": v, "stamp": r}
                for r, k, v, deleted in self.changes[first:]
                if k.startswith(query["prefix"])
            ]
            left = ends - self.loop.now
            refused_until = self.refused_until.get(CALLER.get(), -1.0)
            if (events or left <= 0) and not self.down and self.loop.now >= refused_until:
                return codec.cbor_response(200, {"epoch": self.revision, "news": events})
            waiter = self.changed.wait()
            try:
                await asyncio.wait_for(waiter, min(1.0, max(0.1, left)))
            except TimeoutError:
                pass
