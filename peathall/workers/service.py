"""Check-ins, leases and orders: the only part that talks to workers."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from peathall import constants as c
from peathall.books import Books
from peathall.jobs.model import Attempt, AttemptPhase, Job, JobPhase
from peathall.leadership.lease import token
from peathall.settings import WorkerSettings
from peathall.store.budget import Budget
from peathall.wire import body, names
from peathall.wire.http import HttpClient, NoAnswerError
from peathall.wire.names import Report, TaskReport, TaskState, Why
from peathall.workers.blame import Blame
from peathall.workers.model import Machine, MachinePhase

log = logging.getLogger("peathall.workers")

PHASE_OF = {
    TaskState.FETCHING: AttemptPhase.FETCHING,
    TaskState.WAITING: AttemptPhase.WAITING,
    TaskState.RUNNING: AttemptPhase.RUNNING,
    TaskState.SAVING: AttemptPhase.SAVING,
}


class Exits:
    """Exited attempts still in a machine's reports, kept until they may be forgotten."""

    __slots__ = ("direct_token", "done", "job", "number", "settled", "task")

    def __init__(
        self, job: str, task: int, number: int, done: bool, direct_token: int, settled: bool
    ) -> None:
        self.job = job
        self.task = task
        self.number = number
        self.done = done
        self.direct_token = direct_token
        self.settled = settled


class Workers:
    def __init__(
        self,
        books: Books,
        settings: WorkerSettings,
        now: float,
        may_act: Callable[[], bool],
        on_done: Callable[[Job], None],
        on_change: Callable[[], None],
        lines: int,
        patient_rate: float = c.PATIENT_ORDERS,
    ) -> None:
        self.books = books
        self.blame = Blame(books)
        self.settings = settings
        self.may_act = may_act
        self.on_done = on_done
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.took_over = now
        self.attended = self.attentive_since = now  # see attend()
        self.counter = 0
        # The mandate under which a start was sent directly; such a start may be
        # executed late until the worker has seen a higher one.
        self.direct: dict[Attempt, int] = {}
        self.exits: dict[str, dict[tuple[str, int, int], Exits]] = {}
        self.strays: dict[str, list[tuple[str, int, int]]] = {}  # tasks that nobody asked for
        self.couriers: dict[str, asyncio.Task[None]] = {}
        self.lines = lines  # direct connections at once
        self.patient = Budget(patient_rate)  # direct orders that might as well wait
        self.turn = asyncio.Semaphore(lines)
        self.clients: OrderedDict[str, HttpClient] = OrderedDict()  # least lately used first
        self.elsewhere: Callable[[], dict[str, tuple[int, int]]] = dict
        self.on_images: Callable[[Machine], None] = lambda machine: None
        self.on_confirmed: Callable[[Machine], None] = lambda machine: None
        self.on_notice: Callable[[Machine, float], None] = lambda machine, now: None

    # --- mandate and lease ---------------------------------------------------
    @property
    def base(self) -> int:
        return token(self.books.term, 0)

    @property
    def token(self) -> int:
        return token(self.books.term, self.counter)

    def lapse_s(self) -> float:
        """How long after our last answer a silent worker surely has no tasks any more."""
        return self.settings.lapse_s

    def silence(self, machine: Machine, now: float) -> float:
        return now - machine.last_heard

    def attend(self, now: float) -> None:
        """Called every second while we may act. A gap means that we stood still, or that our
        lease did: the reports of that time went unanswered, which is no machine's fault."""
        if now - self.attended > c.STALL_S:
            log.info("did not attend to the machines for %.1f s", now - self.attended)
            self.attentive_since = now
        self.attended = now

    def ignored_us(self, machine: Machine, now: float) -> float:
        """Seconds for which the machine could have reported to us, and has not."""
        return now - max(machine.last_heard, self.attentive_since)

    def suspect_s(self) -> float:
        """So long after a machine's last report it takes no new work."""
        return min(
            c.SUSPECT_REPORTS * self.settings.report_s, c.SUSPECT_LEASE * self.settings.lease_s
        )

    def lost_s(self) -> float:
        """So long after it, deleting the machine frees its tasks well before its lease does."""
        return min(c.LOST_REPORTS * self.settings.report_s, c.LOST_LEASE * self.settings.lease_s)

    def unreached_s(self) -> float:
        """Two missed reports: by then every machine would have been heard."""
        return 2 * self.settings.report_s + c.TICK_S

    def knocking(self) -> Callable[[Machine], bool]:
        """Tells of a machine whether it has lately sent another controller a report newer
        than all we had. A late copy of an old report is no sign of life."""
        elsewhere = self.elsewhere()
        return lambda machine: elsewhere.get(machine.name, (0, -1)) > machine.checked

    def expected(self) -> list[Machine]:
        """Machines that should report to us, known from reports or only from records."""
        phases = (MachinePhase.UP, MachinePhase.UNHEARD)
        return [m for m in self.books.machines.values() if m.phase in phases]

    def out_of_reach(self, now: float) -> bool:
        """Most machines are alive, but don't hear us or are not heard: our own trouble."""
        self.attend(now)
        up, limit = self.expected(), self.unreached_s()
        lost = [m for m in up if m.deaf_since is not None or self.ignored_us(m, now) > limit]
        return len(lost) > c.OUT_OF_REACH_SHARE * len(up) and any(map(self.knocking(), lost))

    # --- check-ins -----------------------------------------------------------
    def checkin(self, report: Report, now: float) -> tuple[int, dict[str, Any] | None]:
        if report.machine in self.books.deleted:
            # A late copy from a machine that no longer exists.
            return 503, None
        known = self.books.machines.get(report.machine)
        order = (report.session, report.seq)
        if known is not None and (order <= known.checked or report.session < known.session):
            # A copy, or of an ended session: it says nothing, and gets no answer that
            # would seem to renew a lease.
            return 503, None
        machine = known or self.books.machine(
            report.machine, report.type, report.zone, report.spot, MachinePhase.UP, now
        )
        if machine.checked == (0, -1):
            machine.came = machine.idle_since = now
        machine.checked = order
        if report.token >= machine.answered[0]:
            if machine.deaf_since is not None:
                log.info("machine %s hears us again", machine.name)
                self.on_change()
            machine.deaf_since = None
        elif machine.deaf_since is None:
            # It reports, yet has not seen the answer to its report before: what goes out
            # to it may be lost altogether. No new work until it proves to have heard us.
            machine.deaf_since = machine.answered[1]
            log.info("machine %s did not get our last answer", machine.name)
        if order > (machine.session, machine.seq):
            self._apply(machine, report, now, conclusive=True)
            if not machine.confirmed and report.token >= self.base:
                machine.confirmed = True
                self.on_confirmed(machine)
                log.info("machine %s confirmed, %d tasks", machine.name, len(machine.attempts))
                self.on_change()
        # A check-in overtaken by a direct answer is still answered, but tells nothing.
        machine.last_answer = now
        machine.answered = (self.token, now)
        return 200, names.checkin_answer(self.token, self._orders(machine, now, direct=False))

    def _apply(self, machine: Machine, report: Report, now: float, conclusive: bool) -> None:
        if machine.phase in (MachinePhase.BOOTING, MachinePhase.UNHEARD):
            log.info("machine %s (%s, %s) is up", machine.name, machine.type, machine.zone)
            machine.enter(MachinePhase.UP)
            self.on_change()
        if report.addr:
            machine.addr = report.addr
        if report.session > machine.session:
            # The worker's lease ended: it killed all its tasks and forgot them. That says
            # nothing of attempts whose session is not known: after a take-over, a late copy
            # of an old report may have come first.
            ended = [a for a in machine.attempts.values() if 0 < a.session < report.session]
            if ended:
                log.info("machine %s lost its lease, %d tasks lost", machine.name, len(ended))
                for lost in ended:
                    self.books.release(lost, now)
                self._lost(ended, now)
            self.exits.pop(machine.name, None)
        machine.session, machine.seq = report.session, report.seq
        machine.last_heard = now
        noticed = False
        if report.notice_s is not None and machine.taken_at is None:
            machine.taken_at = now + report.notice_s
            machine.why_draining = "spot notice"
            machine.enter(MachinePhase.DRAINING)
            log.info("machine %s will be taken in %.0f s", machine.name, report.notice_s)
            noticed = True
            self.on_change()
        present: set[Attempt] = set()
        exits: dict[tuple[str, int, int], Exits] = {}
        before = self.exits.get(machine.name, {})
        strays: list[tuple[str, int, int]] = []
        for item in report.tasks:
            attempt = machine.attempts.get(item.key)
            if attempt is not None:
                if attempt.number != item.attempt:
                    attempt = None
                else:
                    present.add(attempt)
                    if attempt.seen is item:
                        continue  # as in the report before
            if item.state is TaskState.EXITED:
                name = (item.job, item.task, item.attempt)
                told = before.get(name)
                if told is None or attempt is not None or not told.settled:
                    told = self._exited(machine, item, attempt, told, now)
                exits[name] = told  # until it may be forgotten
            elif attempt is not None:
                self._seen(machine, attempt, item, now)
            else:
                strays.append((item.job, item.task, item.attempt))
        self.exits[machine.name] = exits
        if strays and report.token >= self.base:  # else perhaps an old report, come late
            log.error("machine %s runs tasks that are not in the books: %s", machine.name, strays)
        self.strays[machine.name] = strays
        if noticed:
            self.on_notice(machine, now)
        if conclusive and report.token >= self.base:
            for attempt in list(machine.attempts.values()):
                if attempt not in present:
                    self._absent(machine, attempt, report.token, now)

    def _seen(self, machine: Machine, attempt: Attempt, item: TaskReport, now: float) -> None:
        if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.GONE):
            return
        before = attempt.phase
        attempt.seen = item
        attempt.session = machine.session
        attempt.job.began |= item.state is TaskState.RUNNING
        attempt.enter(PHASE_OF[item.state], now)
        if before is not attempt.phase:
            log.debug(
                "%s/%d is %s on %s", item.job, item.task, attempt.phase.name.lower(), machine.name
            )
        if item.state is not TaskState.FETCHING and before is not attempt.phase:
            self._saw_image(machine, attempt)

    def _saw_image(self, machine: Machine, attempt: Attempt) -> None:
        size = self.books.types.get(machine.type)
        if machine.saw_image(attempt.job.spec, size.cache_gb if size else 0.0):
            self.on_images(machine)

    def _exited(
        self,
        machine: Machine,
        item: TaskReport,
        attempt: Attempt | None,
        told: Exits | None,
        now: float,
    ) -> Exits:
        job = self.books.jobs.get(item.job)
        # A replica is never done, whatever is reported: it has ended, and runs again.
        done = item.why is Why.DONE and not (job is not None and job.spec.daemon)
        # Late copies of an earlier term's starts are fenced by this term's base already.
        direct_token = 0
        if attempt is not None:
            direct_token = self.direct.pop(attempt, 0)
            if attempt.phase in (AttemptPhase.FETCHING, AttemptPhase.SENT) and done:
                self._saw_image(machine, attempt)
        elif item.attempt >= self.base:
            direct_token = told.direct_token if told is not None else self.token
        if job is not None and done and job.phase is JobPhase.ACTIVE:
            self._done(job, item.task, machine, now)
        if attempt is not None and attempt.phase is not AttemptPhase.GONE:
            self._ended(machine, attempt, item, now)
        # The end of a job that is not known yet is looked at again.
        settled = job is not None or not done
        return Exits(item.job, item.task, item.attempt, done, direct_token, settled)

    def _done(self, job: Job, task: int, machine: Machine, now: float) -> None:
        job.began = True
        self._empty_sick(self.blame.went_well(job, machine, now))
        if job.spec.gang:
            # The tasks of a gang complete together: when one is done, all are.
            if len(job.done) < job.spec.tasks:
                job.mark_all_done()
                self.on_done(job)
        elif job.mark_done(task):
            self.on_done(job)

    def _ended(self, machine: Machine, attempt: Attempt, item: TaskReport, now: float) -> None:
        job = attempt.job
        number = attempt.number
        ran_s = now - attempt.since if attempt.running else 0.0
        self.books.release(attempt, now)
        if item.why is not Why.DONE:
            log.info(
                "task %s/%d ended on %s: %s",
                job.spec.id,
                attempt.task,
                machine.name,
                item.why.value if item.why else "?",
            )
        if item.why is Why.ERROR or (item.why is Why.DONE and job.spec.daemon):
            self._empty_sick(self.blame.failed(attempt, ran_s, now))
        elif item.why in (Why.NO_ROOM, Why.BUSY, Why.UNKNOWN):
            # Our books and the worker's differ: wait a little, its next report tells.
            job.backoff_until = max(job.backoff_until, now + c.ERROR_BACKOFF_S)
        if job.spec.gang and item.why is not Why.DONE:
            self.break_gang(job, number, now)

    def _empty_sick(self, machines: list[Machine]) -> None:
        for machine in machines:
            self.drain(machine, "it fails tasks that end well elsewhere")

    def drain(self, machine: Machine, why: str) -> None:
        if machine.enter(MachinePhase.DRAINING):
            machine.why_draining = why
            log.info("machine %s is emptied: %s", machine.name, why)
            self.on_change()

    def _absent(self, machine: Machine, attempt: Attempt, seen_token: int, now: float) -> None:
        """A current check-in does not show this attempt."""
        if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.INTENDED):
            return  # never sent
        # A start sent directly may still arrive until a higher mandate was seen.
        if self.direct.get(attempt, 0) >= seen_token:
            return
        if attempt.phase is AttemptPhase.SENT and not attempt.stopping and self._own(attempt):
            return  # the answer with the start was lost: the next one carries it again
        self.direct.pop(attempt, None)
        self.books.release(attempt, now)
        self._lost([attempt], now)

    def _own(self, attempt: Attempt) -> bool:
        """Started in this term, not inherited from records."""
        return attempt.number >= self.base

    def _lost(self, attempts: list[Attempt], now: float) -> None:
        for attempt in attempts:
            self.direct.pop(attempt, None)
            if attempt.job.spec.gang:
                self.break_gang(attempt.job, attempt.number, now)
        self.on_change()

    def break_gang(self, job: Job, number: int, now: float) -> None:
        """One task of a gang is gone: its mates cannot go on, so nothing is worth saving."""
        if len(job.done) >= job.spec.tasks:
            return
        mates = [a for a in job.attempts.values() if a.number == number]
        for mate in mates:
            self.stop(mate, 0.0, now)

    # --- orders --------------------------------------------------------------
    def stop(self, attempt: Attempt, grace: float, now: float) -> None:
        """Ask for the end of an attempt, at once and with every answer until it is gone."""
        if attempt.stopping and grace >= attempt.grace:
            return
        attempt.stopping = True
        attempt.grace = grace
        if attempt.phase is AttemptPhase.INTENDED:
            # Never sent, so it exists nowhere.
            self.books.release(attempt, now)
            return
        if attempt.phase is not AttemptPhase.PLANNED:
            self.push(self.books.machines[attempt.machine])

    def fence(self) -> None:
        """Starts that are under way are refused wherever an answer from now on gets."""
        self.counter += 1

    def in_reports(self, machine: Machine) -> int:
        """How many tasks its next report will name: those it has, and ends not yet forgotten."""
        return len(machine.attempts) + len(self.exits.get(machine.name, ()))

    def _orders(self, machine: Machine, now: float, direct: bool) -> list[dict[str, Any]]:
        orders: list[dict[str, Any]] = []
        usable = machine.confirmed and machine.phase in (MachinePhase.UP, MachinePhase.DRAINING)
        usable = usable and machine.deaf_since is None
        for (job_id, task), attempt in machine.attempts.items():
            if attempt.phase is AttemptPhase.RUNNING and not attempt.stopping:
                continue  # nearly all of them
            if len(orders) >= c.MACHINE_TASKS:
                break  # the next answer carries on
            if attempt.phase in (AttemptPhase.PLANNED, AttemptPhase.GONE):
                continue
            if attempt.stopping:
                orders.append(names.stop_order(job_id, task, attempt.number, attempt.grace))
            elif attempt.phase in (AttemptPhase.INTENDED, AttemptPhase.SENT) and (
                usable and attempt.job.phase is JobPhase.ACTIVE and self._own(attempt)
            ):
                orders.append(names.start_order(job_id, task, attempt.number))
                attempt.enter(AttemptPhase.SENT, now)
                attempt.session = machine.session
                if direct:
                    self.direct[attempt] = self.token
        if not direct:
            for known in self.exits.get(machine.name, {}).values():
                if len(orders) >= c.MACHINE_TASKS:
                    break
                job = self.books.jobs.get(known.job)
                stored = not known.done or job is None or job.over
                if not stored and job is not None:
                    stored = known.task in job.stored
                if not stored:
                    continue
                if known.direct_token < self.token:  # else the next tick raises the mandate
                    orders.append(names.forget_order(known.job, known.task, known.number))
            orders += [names.stop_order(*stray, 0.0) for stray in self.strays.get(machine.name, ())]
        return orders

    def push(self, machine: Machine, patient: bool = False) -> None:
        """Send what is due straight to the worker, one request at a time for each machine.

        What is patient goes out like this only while few such orders do: the more there is to
        start, the more of it waits for the next check-in, which comes anyway and carries all.
        """
        if patient and self.patient.wait(1, self.loop.time()) > 0:
            return
        if machine.addr and machine.name not in self.couriers and self.may_act():
            self.couriers[machine.name] = self.loop.create_task(self._deliver(machine))

    async def _deliver(self, machine: Machine) -> None:
        try:
            await asyncio.sleep(0)  # whatever is decided in this turn goes out together
            async with self.turn:
                await self._deliver_now(machine)
        except (NoAnswerError, body.MalformedError) as exc:
            log.info("direct orders to %s: %s", machine.name, exc)
        finally:
            del self.couriers[machine.name]

    async def _deliver_now(self, machine: Machine) -> None:
        orders = self._orders(machine, self.loop.time(), direct=True)
        if not orders or not self.may_act():
            return
        message = names.direct_orders(self.token, machine.session, orders)
        status, raw = await self._line(machine.addr).request(
            "POST", "/commands", body.cbor_bytes(message), c.DIRECT_TIMEOUT_S
        )
        if status == 200 and self.may_act():
            report = names.report_from_wire(body.cbor_map(raw))
            if (report.session, report.seq) > (machine.session, machine.seq):
                self._apply(machine, report, self.loop.time(), conclusive=False)
        elif status != 200:
            log.info("direct orders to %s refused: %d", machine.name, status)

    def _line(self, addr: str) -> HttpClient:
        """A connection to a worker; of the unused ones the oldest are closed, so that
        hundreds of machines do not use up the sockets."""
        client = self.clients.get(addr)
        if client is None:
            client = self.clients[addr] = HttpClient(addr, keep=1, may_send=self.may_act)
        self.clients.move_to_end(addr)
        unused = [a for a, other in self.clients.items() if not other.busy and other is not client]
        for other in unused[: max(0, len(self.clients) - self.lines)]:
            self.clients.pop(other).close()
        return client

    # --- time ----------------------------------------------------------------
    def tick(self, now: float) -> None:
        # Raised every second: late direct starts are refused from then on, and the token
        # that a report shows tells which of our answers the worker has had.
        self.fence()
        self.attend(now)
        self._empty_sick(self.blame.look(now))
        for machine in list(self.books.machines.values()):
            # Known from records only: if it still exists, its report or the cloud's list
            # brings it back.
            unproven = machine.phase is MachinePhase.UNHEARD and not machine.vouched
            if not machine.attempts and not unproven:
                continue
            since = max(machine.last_answer, self.took_over)
            if now - since > self.lapse_s():
                log.info("lease of machine %s has lapsed", machine.name)
                machine.confirmed = False
                self._lost(self.books.release_all(machine, now), now)
                self.exits.pop(machine.name, None)
                if unproven:
                    self.books.remove_machine(machine, now, "not heard since the take-over")

    def machine_gone(self, machine: Machine, now: float, why: str) -> None:
        self.books.deleted.add(machine.name)
        self.exits.pop(machine.name, None)
        client = self.clients.pop(machine.addr, None)
        if client is not None:
            client.close()
        self._lost(self.books.remove_machine(machine, now, why), now)

    def close(self) -> None:
        for task in self.couriers.values():
            task.cancel()
        for client in self.clients.values():
            client.close()
