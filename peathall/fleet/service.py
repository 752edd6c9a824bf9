"""The cloud: renting, listing, returning. The only part that talks to it."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any
from urllib.parse import quote

from peathall import constants as c
from peathall.books import Books
from peathall.fleet.account import Account
from peathall.fleet.planner import Bin, Offer, all_offers, plan_rentals, suits
from peathall.jobs.model import JobPhase
from peathall.placement.views import JobView
from peathall.settings import CloudSettings, Params, WorkerSettings
from peathall.store.budget import Budget
from peathall.store.client import Put
from peathall.store.writer import Writer
from peathall.wire import body, names
from peathall.wire.http import HttpClient, NoAnswerError
from peathall.wire.names import ListedMachine, MachineType
from peathall.workers.model import Machine, MachinePhase
from peathall.workers.service import Workers

log = logging.getLogger("peathall.fleet")

TYPES = "types"


class CloudError(Exception):
    """The cloud gave no useful answer; `sent` as in NoAnswerError."""

    def __init__(self, why: str, sent: bool) -> None:
        super().__init__(why)
        self.sent = sent


class NoCapacityError(Exception):
    """Nothing of this type, zone and kind is to be had now."""


class CloudClient:
    def __init__(self, addr: str, settings: CloudSettings, may_send: Callable[[], bool]) -> None:
        self.http = HttpClient(addr, may_send=may_send)
        self.loop = asyncio.get_running_loop()
        self.budget = Budget(settings.rps * 0.9, settings.rps)

    async def _ask(self, method: str, path: str, value: Any = None) -> Any:
        while (pause := self.budget.wait(1, self.loop.time())) > 0:
            await asyncio.sleep(pause)
        data = b"" if value is None else body.cbor_bytes(value)
        try:
            status, raw = await self.http.request(method, path, data, c.CLOUD_TIMEOUT_S)
            answer = body.cbor_any(raw)
        except NoAnswerError as exc:
            raise CloudError(str(exc), exc.sent) from None
        except Exception as exc:
            raise CloudError(f"garbled answer: {exc}", True) from None
        if status == 503 and "capacity" in str((answer or {}).get("error", "")):
            raise NoCapacityError
        if status != 200:
            raise CloudError(f"cloud: {status}", False)
        return answer

    async def types(self) -> list[dict[str, Any]]:
        return list((await self._ask("GET", "/machine_types"))["builds"])

    async def machines(self) -> list[ListedMachine]:
        found: list[ListedMachine] = []
        after = ""
        while True:
            path = f"/hosts?most={c.LIST_PAGE}" + (f"&after={quote(after)}" if after else "")
            raw = await self._ask("GET", path)
            page = [names.listed_from_wire(x) for x in raw["halls"]]
            found += page
            if not raw.get("more") or not page:
                return found
            after = page[-1].name

    async def rent(self, request: str, offer: Offer, count: int) -> list[str]:
        wire = {
            "hire": request,
            "build": offer.type.name,
            "ward": offer.zone,
            "standby": offer.spot,
            "how_many": count,
        }
        return [str(x) for x in (await self._ask("POST", "/hosts", wire))["halls"]]

    async def delete(self, machines: list[str]) -> None:
        await self._ask("POST", "/hosts/delete", {"halls": machines})


class Fleet:
    def __init__(
        self,
        books: Books,
        params: Params,
        cloud: CloudClient,
        writer: Writer,
        workers: Workers,
        may_act: Callable[[], bool],
        on_change: Callable[[], None],
        idle_hold_s: float | None,
    ) -> None:
        self.books = books
        self.params = params
        self.settings: WorkerSettings = params.workers
        self.cloud = cloud
        self.writer = writer
        self.workers = workers
        self.may_act = may_act
        self.on_change = on_change
        self.idle_hold_s = idle_hold_s
        self.guaranteed = any(team.cpus or team.gpus for team in params.teams)
        self.loop = asyncio.get_running_loop()
        self.refused: dict[tuple[str, str, bool], float] = {}
        self.number = 0
        self.wake = asyncio.Event()
        self.short: list[tuple[JobView, int]] = []
        self.leftover: dict[str, list[float]] = {}  # room that the last round left free
        self.unsure: list[tuple[str, Offer, int]] = []  # rentals without an answer
        self.latest_up: dict[str, float] = {}  # machine type -> see _note_boots()
        self.made_way_at = -1e9
        self.failed: list[str] = []  # stopped by themselves; to be taken off the list
        self.account = Account()
        self.accounted = self.reported = self.loop.time()
        self.listed_once = False
        self.list_at = -1e9
        self.types_at = -1e9
        self.raw_types: list[dict[str, Any]] = []

    # --- machine types -------------------------------------------------------
    def set_types(self, raw: list[dict[str, Any]]) -> None:
        types = [names.machine_type_from_wire(x) for x in raw]
        self.books.types = {t.name: t for t in types}
        self.raw_types = raw
        for machine in self.books.machines.values():
            size = self.books.types.get(machine.type)
            if size is not None and not machine.cpus:
                machine.set_size(size)

    async def _refresh_types(self, now: float) -> None:
        self.types_at = now
        raw = await self.cloud.types()
        known = bool(self.books.types)
        if raw != self.raw_types:
            self.set_types(raw)
            # Kept in the store, so that a leader that starts during an outage of
            # the cloud can still judge jobs and place them.
            if body.json_size(raw) < self.writer.value_limit:
                self.writer.submit([Put(TYPES, {"builds": raw})])
        if not known:
            self.on_change()

    # --- loop ----------------------------------------------------------------
    def nudge(self) -> None:
        self.wake.set()

    async def run(self) -> None:
        """Looking, returning and renting go on side by side and share the cloud's calls: a
        slow answer to one must not hold up the others."""
        rest = asyncio.Event()  # never set: these two only follow the clock
        async with asyncio.TaskGroup() as loops:
            loops.create_task(self._repeat(self._look, rest))
            loops.create_task(self._repeat(self._return, rest))
            loops.create_task(self._repeat(self._rent, self.wake))

    async def _repeat(self, step: Callable[[], Awaitable[None]], wake: asyncio.Event) -> None:
        while True:
            try:
                await asyncio.wait_for(wake.wait(), c.TICK_S)
            except TimeoutError:
                pass
            wake.clear()
            if not self.may_act():
                continue
            try:
                await step()
            except CloudError as exc:
                log.info("%s", exc)
                await asyncio.sleep(c.TICK_S)

    def _account(self, now: float) -> None:
        if now - self.accounted < c.SAMPLE_S:
            return
        self.account.add(list(self.books.machines.values()), self.books.types, now - self.accounted)
        self.accounted = now
        if now - self.reported > c.ACCOUNT_S:
            self.reported = now
            phases = Counter(m.phase.name.lower() for m in self.books.machines.values())
            queued: Counter[str] = Counter()
            for job in self.books.jobs.values():
                if job.todo and job.phase is JobPhase.ACTIVE:
                    queued[job.spec.class_name] += len(job.todo)
            up = [m for m in self.books.machines.values() if m.phase is MachinePhase.UP]
            log.info(
                "%s; machines %s; cpus %.0f of %.0f, gpus %.0f of %.0f in use; queued %s",
                self.account.line(),
                dict(phases),
                sum(m.cpus - m.free_cpus for m in up),
                sum(m.cpus for m in up),
                sum(m.gpus - m.free_gpus for m in up),
                sum(m.gpus for m in up),
                dict(queued),
            )

    async def _look(self) -> None:
        now = self.loop.time()
        self._account(now)
        if not self.books.types or now - self.types_at > c.TYPES_S:
            await self._refresh_types(now)
        if now - self.list_at > c.LIST_S:
            self.list_at = now
            self._compare(await self.cloud.machines(), self.loop.time())

    # --- list ----------------------------------------------------------------
    def _compare(self, listed: list[ListedMachine], now: float) -> None:
        self.listed_once = True
        for item in listed:
            if item.name in self.books.deleted:
                continue
            # One that runs and is new to us came up under an earlier leader: whether it is
            # silent is judged by what it reports from now on, not by its age.
            up = item.state == "running"
            machine = self.books.machine(
                item.name,
                item.type,
                item.zone,
                item.spot,
                MachinePhase.UNHEARD if up else MachinePhase.BOOTING,
                now,
            )
            machine.born = min(machine.born, now - item.age_s)
            machine.listed_at = now
            machine.vouched = True
            if not machine.addr:
                machine.addr = item.addr
            if item.state == "failed":
                # It has stopped by itself, and everything on it with it.
                self.workers.machine_gone(machine, now, "failed")
                self.failed.append(item.name)
        patience = c.UNLISTED_LAGS * max(1.0, self.params.cloud.list_lag_s)
        for machine in list(self.books.machines.values()):
            quiet = self.workers.silence(machine, now)
            if now - machine.listed_at > patience and quiet > patience and not machine.attempts:
                # Taken back by the cloud, or never rented. Its room was returned before,
                # by the lapse of its lease; being unlisted alone proves nothing.
                self.workers.machine_gone(machine, now, "not listed any more")

    # --- returning -----------------------------------------------------------
    def _heard_share(self, now: float) -> float:
        up = self.workers.expected()
        limit = self.workers.suspect_s()
        reached = [m for m in up if m.deaf_since is None and self.workers.silence(m, now) < limit]
        return len(reached) / max(1, len(up))

    def _to_delete(self, now: float) -> list[Machine]:
        self.workers.attend(now)
        self._note_boots()
        heard, knocks = self._heard_share(now), self.workers.knocking()
        chosen = []
        for machine in self.books.machines.values():
            why = self._why_delete(machine, now, heard, knocks)
            if why:
                if machine.phase is not MachinePhase.DELETING:
                    log.info("machine %s is to be deleted: %s", machine.name, why)
                chosen.append(machine)
        for machine in self._make_way(now):
            log.info("machine %s is to be deleted: it may be in the way", machine.name)
            chosen.append(machine)
        chosen.sort(key=lambda m: not m.attempts)  # first those whose tasks wait for it
        return chosen[: c.DELETE_MAX]

    def _why_delete(
        self, machine: Machine, now: float, heard: float, knocks: Callable[[Machine], bool]
    ) -> str:
        phase = machine.phase
        if phase is MachinePhase.DELETING:
            return "again"
        if phase is MachinePhase.BOOTING:
            patience = c.BOOT_PATIENCE if self._overtaken(machine) else c.BOOT_PATIENCE_ALL
            late = now - machine.born > max(c.BOOT_PATIENCE_MIN_S, patience * self._boot_s(machine))
            return "it never came up" if late else ""
        if phase is MachinePhase.DRAINING:
            if not machine.attempts:
                return machine.why_draining
            if machine.taken_at is not None and now > machine.taken_at + c.TAKEN_S:
                return "taken back by now"  # the answer frees its tasks before their lease
            return ""
        if phase in (MachinePhase.UP, MachinePhase.UNHEARD) and heard >= c.HEARD_SHARE:
            lost_s = self.workers.lost_s()
            quiet = self.workers.ignored_us(machine, now)
            if quiet > lost_s and (heard >= c.SURE_SHARE or not knocks(machine)):
                return f"silent for {quiet:.0f} s"
            if machine.deaf_since is not None and now - machine.deaf_since > lost_s:
                return f"got no answer of ours for {now - machine.deaf_since:.0f} s"
            late = phase is MachinePhase.UP and not machine.confirmed
            if late and now - machine.came > 2 * lost_s:
                return "reported once, and nothing since shows that it exists"
        if (
            phase is MachinePhase.UP
            and not machine.attempts
            and now - machine.idle_since > self.hold_s(machine)
        ):
            return "idle"
        return ""

    def _make_way(self, now: float) -> list[Machine]:
        """A cloud that refuses what a job has long waited for may have given all it has: a few
        machines that have long been idle and are of no use to the job are not held beside it.
        Seldom, since clouds mostly count each type and zone by itself."""
        starved = [job.spec for job, _ in self.short if job.aged]
        refused = any(until > now for until in self.refused.values())
        if not starved or not refused or now - self.made_way_at < c.MAKE_WAY_S:
            return []
        idle = [
            (machine, self._offer(machine))
            for machine in self.books.machines.values()
            if machine.phase is MachinePhase.UP
            and not machine.attempts
            and now - machine.idle_since > c.MAKE_WAY_IDLE_S
        ]
        found = [m for m, kind in idle if kind and not any(suits(kind, s) for s in starved)]
        if found:
            self.made_way_at = now
        return found[: c.MAKE_WAY]

    def _nothing_to_do(self) -> bool:
        return not any(
            job.phase is JobPhase.ACTIVE and (job.todo or not job.spec.daemon)
            for job in self.books.jobs.values()
        )

    def hold_s(self, machine: Machine) -> float:
        """How long an idle machine is kept: as long as renting it anew would cost."""
        if self.idle_hold_s is not None:
            return self.idle_hold_s
        size = self.books.types.get(machine.type)
        if size is None:
            return c.GUARANTEED_HOLD_S
        quiet = self.loop.time() - self.books.last_arrival > size.boot_s
        if self.guaranteed and not (quiet and self._nothing_to_do()):
            return c.GUARANTEED_HOLD_S  # guaranteed teams need not wait: room is held ready
        if quiet:
            return c.QUIET_HOLD_S  # nothing arrives that it could be held for
        # A spot machine given back may come back only as an ordinary one.
        dearer = size.price / size.spot_price if machine.spot and size.spot_price else 1.0
        return c.IDLE_BOOTS * size.boot_s * dearer

    async def _return(self) -> None:
        while await self._return_some() == c.DELETE_MAX:
            pass  # there are more than one request may name

    async def _return_some(self) -> int:
        now = self.loop.time()
        chosen = self._to_delete(now)
        # A request with more names than the protocol allows would be refused for ever.
        room = c.DELETE_MAX - len(chosen)
        extra, self.failed = self.failed[:room], self.failed[room:]
        if not chosen and not extra:
            return 0
        for machine in chosen:
            machine.enter(MachinePhase.DELETING)
        try:
            await self.cloud.delete([m.name for m in chosen] + extra)
        except CloudError:
            self.failed += extra
            raise
        # The answer proves that the machines and everything on them are gone.
        now = self.loop.time()
        for machine in chosen:
            if self.books.machines.get(machine.name) is machine:  # not listed as failed meanwhile
                self.workers.machine_gone(machine, now, "deleted")
        self.on_change()
        return len(chosen) + len(extra)

    # --- renting -------------------------------------------------------------
    async def _rent(self) -> None:
        # A rental without an answer is repeated under its own name until it has one.
        await self._all_of([self._request(*entry) for entry in self.unsure])
        if not self.listed_once or not self.short:
            return
        now = self.loop.time()
        coming, left = [], []
        for machine in self.books.machines.values():
            kind = self._offer(machine)
            if kind is not None and self._wakes(machine, now):
                free = [machine.free_cpus, machine.free_gpus, machine.free_ram]
                coming.append(Bin(kind, free))
            elif kind is not None and machine.name in self.leftover:
                left.append(Bin(kind, list(self.leftover[machine.name])))
        offers = [
            o
            for o in all_offers(list(self.books.types.values()))
            if self.refused.get(o.key, -1e9) < now
        ]
        rent = plan_rentals(self.short, coming, left, offers)
        requests = []
        for offer, count in rent:
            for part in range(0, count, c.HIRE_MAX):
                self.number += 1
                # The term makes the name unique for good, whoever leads later.
                request = f"r-{self.books.term}-{self.number}"
                requests.append(self._request(request, offer, min(count - part, c.HIRE_MAX)))
        await self._all_of(requests)
        # Machines take long to boot: planning for them with every round would gain nothing.
        await asyncio.sleep(c.RENT_GAP_S)

    def _boot_s(self, machine: Machine) -> float:
        size = self.books.types.get(machine.type)
        return size.boot_s if size is not None else c.BOOT_PATIENCE_MIN_S

    def _overtaken(self, machine: Machine) -> bool:
        """Whether one like it, rented no sooner, has come up: then the delay is its own. If
        none has, the cloud is late with all, and others rented instead would be as late."""
        return machine.born <= self.latest_up.get(machine.type, -1e9) + c.BORN_TOGETHER_S

    def _note_boots(self) -> None:
        """When the latest-rented machine of each type was rented that has come up."""
        for machine in self.books.machines.values():
            if machine.phase is MachinePhase.UP and machine.vouched:
                latest = self.latest_up.get(machine.type, -1e9)
                self.latest_up[machine.type] = max(latest, machine.born)

    def _wakes(self, machine: Machine, now: float) -> bool:
        """Whether the machine, not in use yet, should soon be."""
        if machine.phase is MachinePhase.BOOTING:
            late = now - machine.born > c.BOOT_LATE * self._boot_s(machine)
            return not (late and self._overtaken(machine))
        if not machine.vouched:
            return False  # perhaps a late report, or a record, of one long gone
        if machine.phase is MachinePhase.UNHEARD:
            return self.workers.silence(machine, now) < self.workers.suspect_s()
        return machine.phase is MachinePhase.UP and not machine.confirmed

    @staticmethod
    async def _all_of(requests: list[Coroutine[Any, Any, None]]) -> None:
        """All at once, in full batches: hundreds of machines can be needed in one go."""
        for result in await asyncio.gather(*requests, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    def _offer(self, machine: Machine) -> Offer | None:
        size: MachineType | None = self.books.types.get(machine.type)
        return Offer(size, machine.zone, machine.spot) if size else None

    async def _request(self, request: str, offer: Offer, count: int) -> None:
        entry = (request, offer, count)
        if not self.may_act():
            return
        try:
            got = await self.cloud.rent(request, offer, count)
        except NoCapacityError:
            if entry in self.unsure:
                self.unsure.remove(entry)
            self.refused[offer.key] = self.loop.time() + c.NO_CAPACITY_S
            return
        except CloudError as exc:
            if exc.sent and entry not in self.unsure:
                self.unsure.append(entry)
            raise
        if entry in self.unsure:
            self.unsure.remove(entry)
        if len(got) < count:
            self.refused[offer.key] = self.loop.time() + c.NO_CAPACITY_S
        log.info(
            "rented %d of %d %s in %s%s",
            len(got),
            count,
            offer.type.name,
            offer.zone,
            " (spot)" if offer.spot else "",
        )
        now = self.loop.time()
        for name in got:
            if name not in self.books.deleted:
                machine = self.books.machine(
                    name, offer.type.name, offer.zone, offer.spot, MachinePhase.BOOTING, now
                )
                machine.born = now
                machine.vouched = True
