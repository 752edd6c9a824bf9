"""Stand-in of the state service, after its published protocol."""

from __future__ import annotations

import asyncio
from bisect import bisect_right as bisect
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.protocol import codec
from tests.sim.net import CALLER, VirtualLoop


class State:
    def __init__(self, loop: VirtualLoop, ip: str = "10.2.0.1") -> None:
        self.loop = loop
        self.ip = ip
        self.data: dict[str, tuple[Any, int, int | None]] = {}  # value, version, lease
        self.leases: dict[int, tuple[float, float]] = {}  # id -> ttl, ends
        self.revision = 0
        self.changes: list[tuple[int, str, Any, bool]] = []
        self.changed = asyncio.Event()
        self.next_lease = 0
        self.down_until = -1.0
        self.copies = 0.0  # share of requests of which a late copy is carried out once more
        self.value_kb, self.txn_ops = 8.0, 12
        self.page = 7  # keys; small, so that paging is exercised
        self.on_invalid: Callable[[str], None] = lambda what: None
        # Called with each transaction whose conditions hold, just before it is applied.
        self.on_accepted: Callable[[dict[str, Any]], None] = lambda raw: None
        # Called with each transaction before it is carried out; its answer is lost if it says so.
        self.on_commit: Callable[[dict[str, Any]], bool] = lambda raw: False
        self.limits: tuple[float, float] = (1e9, 1e9)  # requests and changes a second
        self.spent = [0.0, 0.0]
        self.spent_at = 0.0
        self.requests = self.refused = 0
        self.refused_until: dict[str, float] = {}  # callers that alone get 503
        self.late = 0.0  # share of commits without an answer that are carried out 2 to 12 s late
        self.lost = 0.0  # share of commits that are carried out at once, their answer lost
        self.slow = 0.0  # share of requests that, and of answers that, take up to a second
        self.lossy = 0.0  # share of commits without an answer; half of them are applied late

    @property
    def down(self) -> bool:
        return self.loop.now < self.down_until

    def outage(self, seconds: float) -> None:
        self.down_until = self.loop.now + seconds
        # After an outage all leases have their full time again.
        self.leases = {k: (ttl, self.down_until + ttl) for k, (ttl, _) in self.leases.items()}

    async def start(self) -> None:
        await HttpServer(self.handle, 10_000).start(self.ip, 2379)
        self.loop.create_task(self.expire())

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                for lease, (_, ends) in list(self.leases.items()):
                    if self.loop.now > ends:
                        self.end(lease)

    def end(self, lease: int) -> None:
        if self.leases.pop(lease, None) is not None:
            for key, (_, _, owner) in list(self.data.items()):
                if owner == lease:
                    self.revision += 1
                    self.drop(key)

    def note(self, key: str, value: Any, deleted: bool) -> None:
        self.changes.append((self.revision, key, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def drop(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            self.note(key, None, True)

    def commit(self, raw: dict[str, Any]) -> Response:
        failed = [
            w["k"] for w in raw["when"] if self.data.get(w["k"], (None, 0, None))[1] != w["stamp"]
        ]
        if failed:
            return codec.cbor_response(409, {"failed": failed, "epoch": self.revision})
        size = max([codec.json_size(op["data"]) for op in raw["apply"] if "write" in op], default=0)
        if len(raw["apply"]) > self.txn_ops or size > self.value_kb * 1024:
            self.on_invalid(f"{len(raw['apply'])} changes, a value of {size} bytes: {raw}")
            return codec.cbor_response(400, {"error": "too large"})
        for op in raw["apply"]:
            if op.get("tenancy") is not None and op["tenancy"] not in self.leases:
                return codec.cbor_response(400, {"error": "no such lease"})
        self.on_accepted(raw)
        self.revision += 1
        for op in raw["apply"]:
            if "write" in op:
                self.data[op["write"]] = (op["data"], self.revision, op.get("tenancy"))
                self.note(op["write"], op["data"], False)
            else:
                self.drop(op["drop"])
        return codec.cbor_response(200, {"epoch": self.revision})

    def again(self, method: str, path: str, raw: Any) -> None:
        """A late copy of a request that was carried out."""
        if self.down:
            return
        if path == "/commit":
            self.commit(raw)
        elif method == "DELETE":
            self.end(int(path.split("/")[2]))
        elif path.endswith("/renew") and (lease := int(path.split("/")[2])) in self.leases:
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, self.loop.now + ttl)

    def over_limit(self, changes: int) -> bool:
        """Bursts of one second's worth are allowed."""
        self.requests += 1
        for kind, rate in enumerate(self.limits):
            self.spent[kind] = max(0.0, self.spent[kind] - rate * (self.loop.now - self.spent_at))
        self.spent_at = self.loop.now
        for kind, amount in enumerate((1, changes)):
            if self.spent[kind] + amount > self.limits[kind] + 1.0:
                self.refused += 1
                return True
            self.spent[kind] += amount
        return False

    async def handle(self, request: Request) -> Response:
        await asyncio.sleep(self.loop.rng.random() * 0.01)
        # Nothing is drawn for a trouble that is not on: the days of old seeds stay as they were.
        if self.slow and self.loop.rng.random() < self.slow:
            await asyncio.sleep(self.loop.rng.random())
        response = await self.carry_out(request)
        if (
            self.slow and self.loop.rng.random() < self.slow
        ):  # what was done, others may read before the answer
            await asyncio.sleep(self.loop.rng.random())
        return response

    async def carry_out(self, request: Request) -> Response:
        path, query = request.path, {k: v[0] for k, v in parse_qs(request.query).items()}
        raw = codec.cbor_any(request.body)
        if self.over_limit(len(raw["apply"]) if path == "/commit" else 0):
            return codec.cbor_response(429, {})
        if path == "/watch":
            return await self.watch(query)
        if self.down or self.loop.now < self.refused_until.get(CALLER.get(), -1.0):
            return codec.cbor_response(503, {})
        if request.method != "GET" and self.loop.rng.random() < self.copies:
            delay = 0.5 + 30 * self.loop.rng.random()
            self.loop.call_later(delay, self.again, request.method, path, raw)
        if path == "/commit":
            if self.on_commit(raw):
                self.commit(raw)
                await asyncio.sleep(3600)
            drawn = self.loop.rng.random() if self.late + self.lost else 1.0
            if drawn < self.late + self.lost:
                if drawn < self.late:
                    self.loop.call_later(2 + 10 * self.loop.rng.random(), self.again, "", path, raw)
                else:
                    self.commit(raw)
                await asyncio.sleep(3600)
            if self.loop.rng.random() < self.lossy:
                if self.loop.rng.random() < 0.5:
                    self.loop.call_later(1 + 5 * self.loop.rng.random(), self.commit, raw)
                else:
                    self.commit(raw)
                await asyncio.sleep(3600)
            return self.commit(raw)
        if path == "/store":
            return self.scan(query)
        if path.startswith("/store/"):
            key = unquote(path.removeprefix("/store/"))
            if key not in self.data:
                return codec.cbor_response(404, {"epoch": self.revision})
            value, version, _ = self.data[key]
            return codec.cbor_response(200, {"k": key, "data": value, "stamp": version})
        if path == "/leases":
            self.next_lease += 1
            ttl = raw["ttl_ms"] / 1000
            self.leases[self.next_lease] = (ttl, self.loop.now + ttl)
            return codec.cbor_response(200, {"tenancy": self.next_lease})
        lease = int(path.split("/")[2])
        if request.method == "DELETE":
            self.end(lease)
            return codec.cbor_response(200, {})
        if lease not in self.leases:
            return codec.cbor_response(404, {})
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, self.loop.now + ttl)
        return codec.cbor_response(200, {})

    def scan(self, query: dict[str, str]) -> Response:
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.data if k.startswith(prefix) and k > after)
        page = keys[: self.page]
        items = [{"k": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in page]
        more = len(keys) > len(page)
        return codec.cbor_response(200, {"items": items, "more": more, "epoch": self.revision})

    async def watch(self, query: dict[str, str]) -> Response:
        after, ends = int(query["after"]), self.loop.now + int(query["hold_ms"]) / 1000
        while True:
            news = [
                {"drop": k, "stamp": r} if gone else {"write": k, "data": v, "stamp": r}
                for r, k, v, gone in self.changes[bisect(self.changes, after, key=lambda c: c[0]) :]
                if k.startswith(query["prefix"])
            ]
            left = ends - self.loop.now
            caller = self.refused_until.get(CALLER.get(), -1.0)
            if (news or left <= 0) and not self.down and self.loop.now >= caller:
                return codec.cbor_response(200, {"epoch": self.revision, "news": news})
            waiter = self.changed.wait()
            try:
                await asyncio.wait_for(waiter, min(1.0, max(0.1, left)))
            except TimeoutError:
                pass
