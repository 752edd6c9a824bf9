"""Virtual time and an in-memory network, so that whole controllers run in a test."""

from __future__ import annotations

import asyncio
import contextvars
import random
import selectors
import time
from collections.abc import Callable
from typing import Any


class Host:
    """One life of a machine on the network; a restart is a new Host with the same address."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.alive = True
        self.deferred = 0
        self.frozen_until = -1.0  # nothing of it runs until then, though its clocks go on
        self.tasks: dict[asyncio.Task[Any], None] = {}  # ordered, unlike a set
        self.transports: dict[MemoryTransport, None] = {}
        self.share = 0.0  # of a core that it has; 0: nothing is charged
        self.busy_s = 0.0  # processor time that it took, while it is charged or metered
        self.metered = False


HOST: contextvars.ContextVar[Host] = contextvars.ContextVar("host")
CALLER: contextvars.ContextVar[str] = contextvars.ContextVar("caller")  # who asks a server


class VirtualSelector(selectors.SelectSelector):
    """Instead of waiting, moves the clock."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing left to happen"
            self.loop.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, seed: int) -> None:
        self.now = 0.0
        selector = VirtualSelector()
        selector.loop = self
        super().__init__(selector)
        self.rng = random.Random(seed)
        self.listeners: dict[tuple[str, int], tuple[Host, Callable[[], Any], Any]] = {}
        self.held: set[tuple[str, str]] = set()  # from, to: hosts whose packets are held back
        self.set_task_factory(self._make_task)

    def time(self) -> float:
        return self.now

    # --- hosts that stand still ----------------------------------------------
    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:
        return self._gated(super().call_soon, callback, args, context)

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> Any:
        return self._gated(super().call_at, callback, args, context, when)

    def _gated(self, call: Any, callback: Any, args: Any, context: Any, *when: float) -> Any:
        """What belongs to a host runs when the host does; cancelling it works meanwhile."""
        context = context or contextvars.copy_context()
        host = context.get(HOST)
        if host is None:
            return call(*when, callback, *args, context=context)
        handles: list[Any] = []

        def run() -> None:
            if self.now >= host.frozen_until:
                if not host.metered:
                    callback(*args)
                    return
                began = time.thread_time()
                callback(*args)
                spent = time.thread_time() - began
                host.busy_s += spent
                if host.share:  # what it does takes it longer than us
                    host.frozen_until = self.now + spent / host.share
            elif host.alive and not handles[0].cancelled():
                # In the order in which it would have run: all of it is due at once.
                host.deferred += 1
                at = host.frozen_until + 1e-9 * host.deferred
                super(VirtualLoop, self).call_at(at, again, context=contextvars.copy_context())

        def again() -> None:
            if not handles[0].cancelled():
                run()

        handles.append(call(*when, run, context=context))
        return handles[0]

    @staticmethod
    def _make_task(loop: Any, coro: Any, **kwargs: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, **kwargs)
        host = HOST.get(None)
        if host is not None:
            host.tasks[task] = None
            task.add_done_callback(lambda t: host.tasks.pop(t, None))
        return task

    # --- network -------------------------------------------------------------
    def delay(self) -> float:
        return 0.0005 + self.rng.random() * 0.002 + (0.2 if self.rng.random() < 0.001 else 0.0)

    def cut(self, a: str, b: str) -> bool:
        """Whether packets from a to b are held back."""
        return (a, b) in self.held

    async def create_server(
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        me = HOST.get()
        key = (host, port)
        self.listeners[key] = (me, factory, contextvars.copy_context())
        return MemoryServer(self, key, me)

    async def create_connection(
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        me = HOST.get()
        await asyncio.sleep(self.delay())
        if self.cut(me.ip, host):
            await asyncio.sleep(3600)
        entry = self.listeners.get((host, port))
        if entry is None or not entry[0].alive or not me.alive:
            raise ConnectionRefusedError("refused")
        there, make, context = entry
        mine = MemoryTransport(self, me, contextvars.copy_context())
        yours = MemoryTransport(self, there, context.copy())
        mine.peer, yours.peer = yours, mine
        yours.context.run(CALLER.set, me.ip)
        mine.protocol, yours.protocol = factory(), yours.context.run(make)
        yours.context.run(yours.protocol.connection_made, yours)
        mine.protocol.connection_made(mine)
        return mine, mine.protocol

    def crash(self, host: Host) -> None:
        host.alive = False
        self.listeners = {k: v for k, v in self.listeners.items() if v[0] is not host}
        for transport in list(host.transports):
            transport.vanish()
        for task in list(host.tasks):
            task.cancel()


class MemoryServer:
    def __init__(self, loop: VirtualLoop, key: tuple[str, int], host: Host) -> None:
        self.loop, self.key, self.host = loop, key, host

    def close(self) -> None:
        entry = self.loop.listeners.get(self.key)
        if entry is not None and entry[0] is self.host:
            del self.loop.listeners[self.key]


class MemoryTransport(asyncio.Transport):
    peer: MemoryTransport
    protocol: Any

    def __init__(self, loop: VirtualLoop, host: Host, context: contextvars.Context) -> None:
        super().__init__()
        self.loop, self.host, self.context = loop, host, context
        self.closed = False
        self.last = 0.0  # arrival of the latest packet sent: order is kept
        host.transports[self] = None

    def is_closing(self) -> bool:
        return self.closed

    def _later(self, action: Callable[[], None]) -> None:
        # Strictly later than the one before: timers of one instant come in no order.
        self.last = max(self.last + 1e-6, self.loop.now + self.loop.delay())
        self.loop.call_at(self.last, self._arrive, action, context=self.peer.context)

    def _arrive(self, action: Callable[[], None]) -> None:
        if self.loop.cut(self.host.ip, self.peer.host.ip):
            # Held back, and delivered in order after the cut, however late.
            self.loop.call_later(0.25, self._arrive, action, context=self.peer.context)
        else:
            action()

    def write(self, data: Any) -> None:
        if data and not self.closed and self.host.alive:
            self._later(lambda: self.peer.receive(bytes(data)))

    def receive(self, data: bytes) -> None:
        if not self.closed and self.host.alive:
            self.protocol.data_received(data)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.host.transports.pop(self, None)
            self.loop.call_soon(self.protocol.connection_lost, None, context=self.context)
            self._later(self.peer.vanish)

    abort = close

    def vanish(self) -> None:
        """The other side closed, or this host died."""
        if self.closed:
            return
        self.closed = True
        self.host.transports.pop(self, None)
        if self.host.alive:
            self.protocol.connection_lost(None)
        else:
            self._later(self.peer.vanish)
