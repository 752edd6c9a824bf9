"""Rounds at the leader: gather, decide, store the intent, then let the starts go."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from itertools import groupby
from typing import Any

from peathall import constants as c
from peathall.books import Books
from peathall.jobs.model import Attempt, AttemptPhase, Job, JobPhase, Trust
from peathall.jobs.ranges import Ranges
from peathall.placement.ordering import gathering_s, latest_start
from peathall.placement.planner import Round
from peathall.placement.views import Detail, JobView, MachineView, Plan, Start, Victim
from peathall.settings import Params
from peathall.store.client import Item, Put, StoreError
from peathall.store.writer import Writer
from peathall.wire.body import json_size
from peathall.wire.names import JobSpec
from peathall.workers.model import Machine, MachinePhase
from peathall.workers.service import Workers

log = logging.getLogger("peathall.placement")

ROUND = "round/"


def split_record(entries: list[list[Any]], limit: int) -> list[list[list[Any]]]:
    """Cut a round's entries into pieces that fit into one value each, between two jobs where one
    job's entries fit into a value: the intent of a gang is one step."""
    pieces: list[list[list[Any]]] = [[]]
    size = json_size({"a": []})
    empty = size
    for _, group in groupby(entries, key=lambda entry: entry[0]):
        job = list(group)
        sizes = [json_size(entry) + 1 for entry in job]
        whole = sum(sizes)
        if pieces[-1] and size + whole > limit and empty + whole <= limit:
            pieces.append([])
            size = empty
        for entry, need in zip(job, sizes, strict=True):
            if pieces[-1] and size + need > limit:
                pieces.append([])
                size = empty
            pieces[-1].append(entry)
            size += need
    return [piece for piece in pieces if piece]


class Placement:
    def __init__(
        self,
        books: Books,
        params: Params,
        writer: Writer,
        workers: Workers,
        wall: Callable[[], float],
        may_act: Callable[[], bool],
    ) -> None:
        self.books = books
        self.params = params
        self.writer = writer
        self.workers = workers
        self.wall = wall
        self.may_act = may_act
        self.teams = {team.name: team for team in params.teams}
        self.loop = asyncio.get_running_loop()
        self.wake = asyncio.Event()
        self.number = 0
        self.shapes: dict[str, JobSpec] = {}  # by class, see _shapes
        self.covered: set[str] = set()  # jobs within their teams' guarantees, at the last round
        self.short: list[tuple[JobView, int]] = []
        self.leftover: dict[str, list[float]] = {}
        self.on_short: Callable[[], None] = lambda: None
        books.on_round_over = self._round_over
        workers.on_notice = self.evacuate

    # --- records -------------------------------------------------------------
    def load(self, items: list[Item], now: float) -> None:
        for item in items:
            self.writer.versions[item.key] = item.version
            for job_id, number, machine_name, spans in item.value["a"]:
                job = self.books.jobs.get(job_id)
                if job is None:
                    continue  # archived, which is done only after all its attempts were gone
                machine = self.books.machine(machine_name, "", "", False, MachinePhase.UNHEARD, now)
                for task in Ranges(spans):
                    if task in job.done:
                        continue  # it has exited, and is never started again
                    if task in job.attempts:
                        # An older round still holds it: the later attempt was made
                        # after the earlier one was surely gone.
                        if job.attempts[task].number >= number:
                            continue
                        self.books.release(job.attempts[task], now)
                    attempt = self.books.book(job, task, number, machine, item.key)
                    attempt.enter(AttemptPhase.SENT, now)
        for item in items:
            if item.key not in self.books.rounds:
                self._round_over(item.key)

    def _round_over(self, key: str) -> None:
        if key in self.writer.versions:
            self.writer.offer_drop(key)

    # --- rounds --------------------------------------------------------------
    def nudge(self) -> None:
        self.wake.set()

    async def run(self) -> None:
        """Rounds follow one another at a distance that grows with what a round takes."""
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), c.ROUND_IDLE_S)
            except TimeoutError:
                pass
            await asyncio.sleep(c.ROUND_GAP_S)
            self.wake.clear()
            if not self.may_act():
                continue
            began = self.loop.time()
            await self.round(began)
            await asyncio.sleep(min(c.ROUND_IDLE_S, (self.loop.time() - began) * c.ROUND_LOAD))

    async def round(self, now: float) -> None:
        plan = await self.decide(now)
        self.short, self.leftover = plan.short, plan.leftover
        self.on_short()
        for job_id, task in plan.stops:
            self._preempt(job_id, task, now)
        if plan.starts:
            await self._start(plan, now)

    async def decide(self, now: float) -> Plan:
        """One plan, on views taken at its beginning. Others get their turn between jobs:
        a long round must not hold up check-ins, users and the renewal of the lead."""
        wall = self.wall()
        covered = self.covered = self._covered()
        active = [job for job in self.books.jobs.values() if job.phase is JobPhase.ACTIVE]
        jobs = [
            self._job_view(job, wall, now, covered)
            for job in active
            if job.todo
            and now >= job.backoff_until
            and not self._zone_unknown(job)
            and not (job.trust is Trust.SUSPECT and job.attempts)  # one probe at a time
        ]
        if not jobs:
            return Plan()
        machines = [
            self._machine_view(m, now, covered)
            for m in self.books.machines.values()
            if self._usable(m, now)
        ]
        strict = any(not job.spec.spot for job in active)
        lowest = max((job.spec.priority for job in active if job.attempts), default=-1)
        current = Round(machines, self.teams, self.books.usage, strict, self._shapes(wall), lowest)
        since = self.loop.time()
        for _ in current.run(jobs):
            if self.loop.time() - since > c.SLICE_S:
                await asyncio.sleep(0)
                since = self.loop.time()
        return current.plan

    def _shapes(self, wall: float) -> list[JobSpec]:
        """The largest gang of each class that came lately."""
        gangs = [job.spec for job in self.books.jobs.values() if job.spec.gang]
        lately = [
            spec
            for spec in [*self.shapes.values(), *gangs]
            if wall - spec.submitted < c.SHAPE_MEMORY_S
        ]
        self.shapes = {}
        for spec in lately:
            known = self.shapes.get(spec.class_name)
            if known is None or (spec.tasks, spec.submitted) >= (known.tasks, known.submitted):
                self.shapes[spec.class_name] = spec
        return list(self.shapes.values())

    def _usable(self, machine: Machine, now: float) -> bool:
        silent = self.workers.silence(machine, now)
        return machine.usable and machine.cpus > 0 and silent < self.workers.suspect_s()

    def _covered(self) -> set[str]:
        """Jobs that fit into their team's guarantee with the team's earlier unfinished ones."""
        sums: dict[str, list[float]] = {}
        covered = set()
        active = [
            j
            for j in self.books.jobs.values()
            # What may be mistaken takes its team's guarantee from no other job.
            if j.phase is JobPhase.ACTIVE and j.trust is not Trust.SUSPECT
        ]
        for job in sorted(active, key=lambda j: j.spec.submitted):
            team = self.teams.get(job.spec.team)
            if team is None or not (team.cpus or team.gpus):
                continue
            use = sums.setdefault(team.name, [0.0, 0.0])
            left = job.spec.tasks - len(job.done)
            use[0] += job.spec.cpus * left
            use[1] += job.spec.gpus * left
            asks = (team.gpus and job.spec.gpus) or (team.cpus and job.spec.cpus)
            if (
                asks
                and (not team.cpus or use[0] <= team.cpus)
                and (not team.gpus or use[1] <= team.gpus)
            ):
                covered.add(job.spec.id)
        return covered

    def _zone_unknown(self, job: Job) -> bool:
        """Whether its other tasks decide where the next may go, and one of them is on a machine
        whose zone is not known: known from records only, neither heard nor listed yet."""
        if not (job.spec.one_zone or job.spec.spread):
            return False
        return any(not self.books.machines[a.machine].zone for a in job.attempts.values())

    def _job_view(self, job: Job, wall: float, now: float, covered: set[str]) -> JobView:
        zones: dict[str, int] = {}
        if job.spec.one_zone or job.spec.spread:
            for attempt in job.attempts.values():
                zone = self.books.machines[attempt.machine].zone
                zones[zone] = zones.get(zone, 0) + 1
        if job.trust is Trust.SUSPECT:
            # A probe, in room that nobody else wants: whether it goes well is soon known.
            probe = job.spec.tasks if job.spec.gang else 1
            last = wall + c.PROBE_LATER_S
            avoid = self.workers.blame.avoid(job)
            return JobView(
                job.spec, probe, False, last, zones, urgent=False, avoid=avoid, probe=True
            )
        latest = latest_start(job.spec, self.params.objectives, wall, 0.0)
        aged = not job.attempts and self._has_aged(job, now)
        return JobView(
            job.spec,
            len(job.todo),
            job.spec.id in covered,
            latest,
            zones,
            lingering=job.spec.gang and bool(job.attempts),
            urgent=aged or job.spec.daemon or latest - wall < c.URGENT_S,
            aged=aged,
            hosts={a.machine for a in job.attempts.values()} if job.spec.daemon else (),
            avoid=self.workers.blame.avoid(job),
            fetch_s=self._fetch_s(job.spec),
        )

    @staticmethod
    def _has_aged(job: Job, now: float) -> bool:
        return now - job.idle_since > c.AGED_S - gathering_s(job.spec)

    def _fetch_s(self, spec: JobSpec) -> float:
        kinds = self.books.types.values()
        rates = [k.fetch_gb_per_s for k in kinds if spec.types is None or k.name in spec.types]
        return spec.image_gb / min(rates, default=1.0)

    def _machine_view(self, machine: Machine, now: float, covered: set[str]) -> MachineView:
        report_s = self.params.workers.report_s * 1.25  # reports come up to a quarter late
        return MachineView(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            (machine.cpus, machine.gpus, machine.ram),
            (machine.free_cpus, machine.free_gpus, machine.free_ram),
            machine.images,
            int(self.workers.silence(machine, now) / report_s),
            lambda: self._detail(machine, now, covered),
            max(0, c.MACHINE_TASKS - self.workers.in_reports(machine)),
        )

    def _detail(self, machine: Machine, now: float, covered: set[str]) -> Detail:
        cpus = gpus = ram = 0.0
        for attempt in machine.attempts.values():
            if attempt.leaving:
                spec = attempt.job.spec
                cpus, gpus, ram = cpus + spec.cpus, gpus + spec.gpus, ram + spec.ram
        return Detail(machine.fetching(), (cpus, gpus, ram), self._victims(machine, now, covered))

    def _victims(self, machine: Machine, now: float, covered: set[str]) -> Iterator[Victim]:
        for (job_id, task), attempt in machine.attempts.items():
            if attempt.leaving:
                continue
            spec = attempt.job.spec
            ran = now - attempt.since if attempt.running else 0.0
            if attempt.job.late and ran < c.SETTLED_S:
                continue  # it has waited so long that its start shall count
            lost = spec.save_s if spec.checkpoint_s else ran
            if ran < c.SETTLED_S:
                lost += c.SETTLED_S  # its start would not count any more
            share = max(spec.cpus / machine.cpus, spec.gpus / max(machine.gpus, 1.0))
            lost = (lost + c.RESTART_S) * share
            yield Victim(
                (job_id, task),
                (spec.cpus, spec.gpus, spec.ram),
                spec.priority,
                spec.team,
                job_id in covered,
                lost,
                max(1.0, spec.expected_s - ran),
            )

    def _preempt(self, job_id: str, task: int, now: float) -> None:
        job = self.books.jobs.get(job_id)
        if job is None or task not in job.attempts:
            return
        log.info("task %s/%d is stopped to make room", job_id, task)
        attempt, spec = job.attempts[task], job.spec
        if not spec.gang and spec.checkpoint_s <= c.SAVES_WORTH * spec.save_s:
            # What it has done since it last saved by itself is little; whoever needs the
            # room would wait for the save.
            self.workers.stop(attempt, 0.0, now)
        else:
            self._stop_in_order(attempt, now)

    def evacuate(self, machine: Machine, now: float) -> None:
        """The cloud takes the machine back soon: save what can be saved, and go on elsewhere."""
        left = (machine.taken_at or now) - now
        for attempt in list(machine.attempts.values()):
            spec = attempt.job.spec
            if attempt.leaving:
                continue
            rest = max(spec.expected_s - (now - attempt.since), spec.expected_s * c.ESTIMATE_FLOOR)
            if not spec.checkpoint_s and attempt.running and rest < left:
                continue  # it may well be done before
            self._stop_in_order(attempt, now)

    def _stop_in_order(self, attempt: Attempt, now: float) -> None:
        """With time to save; a gang is stopped as a whole, or the save fails."""
        spec = attempt.job.spec
        grace = spec.save_s + c.SAVE_GRACE_S if spec.checkpoint_s else 0.0
        for target in list(attempt.job.attempts.values()) if spec.gang else [attempt]:
            self.workers.stop(target, grace, now)

    def _still_valid(self, starts: list[Start], now: float) -> list[Start]:
        """What may have changed while the round was decided: jobs that ended, machines that
        are not to be used any more. Room and limits cannot: only rounds take them."""
        dead = set()
        wanted: dict[str, int] = {}
        for start in starts:
            wanted[start.job] = wanted.get(start.job, 0) + start.count
            machine = self.books.machines.get(start.machine)
            if machine is None or not self._usable(machine, now):
                dead.add(start.job)
        for job_id, count in wanted.items():
            job = self.books.jobs.get(job_id)
            if job is None or job.phase is not JobPhase.ACTIVE or len(job.todo) < count:
                dead.add(job_id)
        return [start for start in starts if start.job not in dead]

    def _tell(self, starts: list[Start]) -> None:
        """One line for each job, however many machines it goes to."""
        wall = self.wall()
        for job_id, group in groupby(starts, key=lambda start: start.job):
            spec = self.books.jobs[job_id].spec
            chosen = [(self.books.machines[start.machine], start.count) for start in group]
            log.info(
                "%s %s: %d tasks to %d machines (%s; %d to fetch) after %.1f s",
                spec.class_name,
                job_id,
                sum(count for _, count in chosen),
                len(chosen),
                ", ".join(sorted({machine.type for machine, _ in chosen})),
                sum(spec.image not in machine.images for machine, _ in chosen),
                wall - spec.submitted,
            )
            for machine, count in chosen:
                log.debug("%s: %d tasks to %s", job_id, count, machine.name)

    async def _start(self, plan: Plan, now: float) -> None:
        """Book the room, store the intent, and only then let the starts go out."""
        entries: list[list[Any]] = []
        fresh: list[list[Attempt]] = []
        numbers: dict[str, int] = {}
        starts = self._still_valid(plan.starts, now)
        self._tell(starts)
        for start in starts:
            job = self.books.jobs[start.job]
            job.late |= (
                job.trust is not Trust.SUSPECT and not job.attempts and self._has_aged(job, now)
            )
            number = numbers.get(start.job) or self.books.new_attempt_number()
            numbers[start.job] = number
            tasks = Ranges()
            for task in job.todo.first(start.count):
                tasks.add(task)
            entry = [start.job, number, start.machine, tasks.to_record()]
            machine = self.books.machines[start.machine]
            entries.append(entry)
            fresh.append([self.books.book(job, t, number, machine, "") for t in tasks])
        limit = self.writer.value_limit
        writes = []
        at = 0
        for piece in split_record(entries, limit):
            self.number += 1
            key = f"{ROUND}{self.books.term:08d}-{self.number:07d}"
            attempts = [a for group in fresh[at : at + len(piece)] for a in group]
            at += len(piece)
            self.books.rounds[key] = len(attempts)
            for attempt in attempts:
                attempt.round = key
            writes.append((self.writer.submit([Put(key, {"a": piece})]), key, attempts))
        self.books.rounds.pop("", None)
        waiting: list[tuple[str, list[Attempt]]] = []
        for at, (write, key, attempts) in enumerate(writes):
            try:
                await write
            except StoreError:  # nothing of it was written, and nothing started
                for attempt in attempts:
                    self.books.release(attempt, self.loop.time())
                continue
            waiting.append((key, attempts))
            # A gang that one value can't hold starts once all its pieces stand.
            last, after = attempts[-1].job, writes[at + 1 : at + 2]
            if last.spec.gang and after and after[0][2][0].job is last:
                continue
            for stored in waiting:
                self._stored(*stored)
            waiting.clear()

    def _stored(self, key: str, attempts: list[Attempt]) -> None:
        now = self.loop.time()
        pushed: dict[str, bool] = {}  # machine -> whether all that it starts may wait
        for attempt in attempts:
            if attempt.phase is not AttemptPhase.PLANNED:
                continue
            attempt.enter(AttemptPhase.INTENDED, now)
            if attempt.stopping or attempt.job.phase is not JobPhase.ACTIVE:
                self.books.release(attempt, now)
            else:
                spec = attempt.job.spec
                patient = not spec.gang and spec.id not in self.covered
                pushed[attempt.machine] = patient and pushed.get(attempt.machine, True)
        if key not in self.books.rounds:
            self._round_over(key)
        for name, patient in pushed.items():
            machine = self.books.machines.get(name)
            if machine is not None:
                self.workers.push(machine, patient)
