"""Stand-in of the state service, as PROTOCOL-peathall.md describes it.

    python3 state_service.py PORT RECORD LIMITS-JSON

LIMITS has rps, write_rps, value_kb, txn_ops. POST /test/limits changes them (for the tests only).
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from wire import Record, serve


def size(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    def __init__(self, record: Record, limits: dict[str, float]) -> None:
        self.record = record
        self.set_limits(limits)
        self.epoch = 1
        self.items: dict[str, tuple[Any, int, int | None]] = {}  # key -> data, stamp, lease
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # lease -> ttl, end
        self.last_lease = 0
        self.alive_at = time.monotonic()
        self.changed = asyncio.Event()
        self.watched_at: dict[str, float] = {}  # prefix -> when a watch was last opened

    def set_limits(self, limits: dict[str, float]) -> None:
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])

    # --- changes -------------------------------------------------------------
    def note(self, event: dict[str, Any]) -> None:
        self.history.append((self.epoch, event))
        if len(self.history) > 10_000:
            del self.history[: len(self.history) - 10_000]

    def apply(self, ops: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for op in ops:
            if "write" in op:
                self.items[op["write"]] = (op["data"], self.epoch, op.get("tenancy"))
                self.note({"write": op["write"], "data": op["data"], "stamp": self.epoch})
            elif self.items.pop(op["drop"], None) is not None:
                self.note({"drop": op["drop"], "stamp": self.epoch})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[2] == lease]
        if keys:
            self.apply([{"drop": key} for key in keys])
        self.record.write("lease ended", lease=lease, keys=keys)

    def note_outage(self) -> None:
        """If this process stood still, that was an outage: leases have their full time again."""
        now = time.monotonic()
        if now - self.alive_at > 1.0:
            self.leases = {lease: (ttl, now + ttl) for lease, (ttl, _) in self.leases.items()}
            self.record.write("outage over", seconds=round(now - self.alive_at, 1))
        self.alive_at = now

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self.note_outage()
            now = time.monotonic()
            for lease in [x for x, (_, end) in self.leases.items() if now > end]:
                self.end_lease(lease)

    # --- requests ------------------------------------------------------------
    async def handle(
        self, method: str, path: str, query: dict[str, str], value: Any
    ) -> tuple[int, Any]:
        self.note_outage()
        if path == "/test/limits":
            self.set_limits(value)
            self.record.write("limits changed", **value)
            return 200, {}
        if path == "/test/watched":
            at = self.watched_at.get(value["prefix"])
            return 200, {"ago_s": None if at is None else time.monotonic() - at}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/commit":
            return self.commit(value)
        if path == "/watch":
            return await self.watch(query)
        if path.startswith("/leases"):
            return self.lease(method, path, value)
        if path == "/store":
            return self.scan(query)
        key = path.removeprefix("/store/")
        if key not in self.items:
            return 404, {"epoch": self.epoch}
        data, stamp, lease = self.items[key]
        return 200, {"k": key, "data": data, "stamp": stamp, "tenancy": lease}

    def scan(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        most = min(1000, int(query.get("most", 1000)))
        found: list[dict[str, Any]] = []
        total, more = 0, False
        for key in sorted(k for k in self.items if k.startswith(prefix) and k > after):
            item = {"k": key, "data": self.items[key][0], "stamp": self.items[key][1]}
            total += size(item)
            if len(found) == most or total > 512 * 1024:
                more = True
                break
            found.append(item)
        return 200, {"items": found, "more": more, "epoch": self.epoch}

    def commit(self, raw: dict[str, Any]) -> tuple[int, Any]:
        when, ops = raw.get("when", []), raw.get("apply", [])
        if not self.writes.take(len(ops)):
            return 429, {"error": "too many changes"}
        limits = self.limits
        if len(ops) > limits["txn_ops"] or len(when) > 4 * limits["txn_ops"]:
            self.record.write("commit refused", why="too many operations", ops=len(ops))
            return 400, {"error": "too many operations"}
        for op in ops:
            if "write" in op and size(op["data"]) > limits["value_kb"] * 1024:
                self.record.write(
                    "commit refused", why="value too large", key=op["write"], bytes=size(op["data"])
                )
                return 400, {"error": "value too large"}
        if size(raw) > 64 * 1024:
            return 400, {"error": "transaction too large"}
        for op in ops:
            if op.get("tenancy") is not None and op["tenancy"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if self.items.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if ops:
            self.apply(ops)
        return 200, {"epoch": self.epoch}

    def lease(self, method: str, path: str, value: Any) -> tuple[int, Any]:
        now = time.monotonic()
        if path == "/leases":
            self.last_lease += 1
            ttl = value["ttl_ms"] / 1000
            self.leases[self.last_lease] = (ttl, now + ttl)
            return 200, {"tenancy": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases or now > self.leases[lease][1] + 0.1:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, now + ttl)
        return 200, {}

    async def watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        self.watched_at[prefix] = time.monotonic()
        end = time.monotonic() + min(60_000, int(query.get("hold_ms", 0))) / 1000
        while True:
            if len(self.history) == 10_000 and self.history[0][0] > after + 1:
                return 410, {"error": "too old"}
            news = [
                event
                for stamp, event in self.history
                if stamp > after and (event.get("write") or event["drop"]).startswith(prefix)
            ]
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, {"epoch": self.epoch, "news": news}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass


async def main() -> None:
    port, record, limits = sys.argv[1:]
    state = StateService(Record(record, "state"), json.loads(limits))
    await serve(int(port), state.handle)
    await state.expire()


if __name__ == "__main__":
    asyncio.run(main())
