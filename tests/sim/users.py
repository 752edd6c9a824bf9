"""Simulated users, who submit jobs, query their status and cancel some."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import cbor2

from peathall.config.platform import Settings
from peathall.http.client import HttpClient, NoAnswerError
from peathall.jobs.admission import rejection_reason
from peathall.protocol import codec
from peathall.protocol.cloud import decode_machine_type
from peathall.protocol.jobs import decode_submission
from tests.sim.cloud import MACHINE_TYPES
from tests.sim.net import Host
from tests.sim.site_network import SiteNetwork
from tests.sim.user_rules import FINAL_STATUSES, UserRules

SIMULATION_KEYS = ("run_s", "mistaken", "saving_s")  # keys of a drawn job that are not submitted
MAX_UNANSWERED_S = 75.0  # longest wait for a response while no fault has an effect


def submission(job: dict[str, Any]) -> dict[str, Any]:
    """The job as it is submitted, without the simulation's own keys."""
    return {k: v for k, v in job.items() if k not in SIMULATION_KEYS}


class Users:
    """The users of a site. Each has one job, and every response to a user is checked."""

    def __init__(
        self,
        network: SiteNetwork,
        rng: random.Random,
        rules: UserRules,
        settings: list[Settings],
    ) -> None:
        self.network, self.loop, self.rng = network, network.loop, rng
        self.rules, self.record, self.registry = rules, rules.record, rules.registry
        self.settings = settings
        self.failing_share = 0.0  # share of jobs that fail on every machine until cancelled
        self.cancel_at_end_share = 0.0  # share of jobs that are cancelled when their last task ends
        self.asks_while_cancelling = False  # users who have cancelled query the status as well
        self.asks_all_controllers = False  # each user, after submission and a final response
        self.cancel_requested: dict[str, bool] = {}  # job -> whether its user cancels it now
        self.cancellations_sent: set[str] = set()  # ids of jobs
        self.results_complete: dict[str, asyncio.Event] = {}  # job -> set when all tasks are done

    def can_run(self, job: dict[str, Any]) -> bool:
        """Whether the site's admission limits allow the job."""
        types = {t["label"]: decode_machine_type(t) for t in MACHINE_TYPES}
        spec = decode_submission(submission(job), 0.0)
        return rejection_reason(spec, types, self.settings[0].params) is None

    def task_succeeded(self, job_id: str) -> None:
        """Signals the job's user if all tasks of the job have succeeded."""
        event = self.results_complete.get(job_id)
        if event and not self.registry.missing_results(job_id):
            event.set()

    def submit(
        self, job: dict[str, Any], ip: str, cancel_after: float | None = None, wait_s: float = 0.0
    ) -> asyncio.Task[None]:
        """Starts a user at address `ip`, who submits the job after `wait_s` seconds."""

        async def begin() -> None:
            if wait_s:
                await asyncio.sleep(wait_s)
            await self.follow(job, cancel_after)

        return self.loop.create_task(begin(), context=self.network.context(Host(ip)))

    async def ask(
        self, method: str, path: str, raw: Any = None, at: int | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request to controller `at`, or to a random one. Returns status and body of the
        response; the status is 0 without a response."""
        index = self.rng.randrange(self.network.size) if at is None else at
        client = HttpClient(f"{self.network.controller_ip(index)}:8080", max_idle=0)
        data = b"" if raw is None else cbor2.dumps(raw)
        try:
            status, answer = await client.request(method, path, data, 5.0 if raw else 2.0)
            return status, codec.decode_cbor(answer) or {}
        except NoAnswerError:
            return 0, {}

    async def follow(self, job: dict[str, Any], cancel_after: float | None) -> None:
        """Submits the job, queries it until it has ended, and cancels it if asked to."""
        job_id = job["id"]
        self.registry.jobs[job_id] = job
        wire = submission(job)
        await self.submit_until_accepted(job_id, wire)
        submitted = answered = self.record.submitted[job_id] = self.loop.now
        if self.asks_all_controllers:
            await self.ask_all_controllers(job, wire, cancel_after is not None)
        all_done = None
        if self.cancel_at_end_share and self.rng.random() < self.cancel_at_end_share:
            all_done = self.results_complete[job_id] = asyncio.Event()
        while not self.rules.ended(job_id):
            requested = self.cancel_requested.get(job_id) or (
                all_done is not None and all_done.is_set()
            )
            if requested and cancel_after is None:
                cancel_after = 0.0
            cancels = cancel_after is not None and self.loop.now - submitted > cancel_after
            status, answer = await self.ask_or_cancel(job_id, cancels)
            if status == 200:
                answered = self.loop.now
                self.rules.check_response(job, answer["standing"], cancel_after is not None)
                if self.asks_all_controllers and answer["standing"] in FINAL_STATUSES:
                    await self.ask_all_controllers(job, wire, cancel_after is not None)
            elif status == 404:
                self.record.report_violation("forgotten", job_id)
            elif self.loop.now - max(answered, self.record.grace_until) > MAX_UNANSWERED_S:
                self.record.report_violation("forgotten", f"{job_id} unanswered for 75 s")
                return
            if all_done is None:
                await asyncio.sleep(1.0)
                continue
            try:
                await asyncio.wait_for(all_done.wait(), 1.0)
                await asyncio.sleep(0.2 * self.rng.random())
            except TimeoutError:
                pass
        await self.check_after_end(job, wire, cancel_after is not None)

    async def submit_until_accepted(self, job_id: str, wire: dict[str, Any]) -> None:
        """Repeats the submission until a controller has confirmed it."""
        while True:
            status, _ = await self.ask("POST", "/work", wire)
            if status in (200, 201):
                break
            if status in (400, 422):
                self.record.report_violation("forgotten", f"{job_id} got {status}")
            await asyncio.sleep(1.0)
        self.record.accepted.add(job_id)

    async def ask_or_cancel(self, job_id: str, cancels: bool) -> tuple[int, dict[str, Any]]:
        """Sends a cancellation if the user wants one, a query otherwise; returns the response."""
        if cancels and not (
            self.asks_while_cancelling
            and job_id in self.cancellations_sent
            and self.rng.random() < 0.5
        ):
            self.cancellations_sent.add(job_id)  # a query may report it from now on
            return await self.ask("POST", f"/work/{job_id}/withdraw", {})
        return await self.ask("GET", f"/work/{job_id}")

    async def check_after_end(
        self, job: dict[str, Any], wire: dict[str, Any], may_cancel: bool
    ) -> None:
        """Checks that the final status is kept and that an unknown job is not reported."""
        job_id = job["id"]
        for _ in range(3):
            await asyncio.sleep(4 * self.rng.random())
            method = "POST" if self.rng.random() < 0.5 else "GET"
            path = "/work" if method == "POST" else f"/work/{job_id}"
            status, answer = await self.ask(method, path, wire if method == "POST" else None)
            if status in (200, 201):
                self.rules.check_response(job, answer["standing"], may_cancel)
            elif status in (400, 404, 422):
                self.record.report_violation("forgotten", f"{job_id} got {status} after its end")
        status, _ = await self.ask("GET", f"/work/{job_id}9")
        if status == 200:
            self.record.report_violation("invented", job_id)

    async def ask_all_controllers(
        self, job: dict[str, Any], wire: dict[str, Any], may_cancel: bool
    ) -> None:
        """Queries and resubmits the job at all controllers at once, also with a changed submission.
        No response may be older than one that arrived before."""
        job_id = job["id"]

        async def checked(method: str, path: str, raw: Any, at: int) -> None:
            # Each response is checked on arrival, so that it is compared with those before it.
            status, answer = await self.ask(method, path, raw, at)
            if status in (200, 201):
                self.rules.check_response(job, answer["standing"], may_cancel)
            elif status in (400, 404, 422):
                self.record.report_violation(
                    "forgotten", f"{job_id} got {status} to {method} {raw}"
                )

        for change in ({}, {"vcpus": None}, {"desk": "nobody's"}):
            size = self.network.size
            asked = [checked("GET", f"/work/{job_id}", None, at) for at in range(size)]
            asked += [checked("POST", "/work", wire | change, at) for at in range(size)]
            await asyncio.gather(*asked)
        await self.check_unknown_job(job_id + "77", wire)

    async def check_unknown_job(self, unknown_id: str, wire: dict[str, Any]) -> None:
        """Checks that an invalid job is rejected and that a job never submitted is unknown."""
        for change, expected in (({"vcpus": None}, 400), ({"desk": "nobody's"}, 422), ({}, 0)):
            if expected:
                status, _ = await self.ask("POST", "/work", wire | {"id": unknown_id} | change)
                if status not in (expected, 503, 0):
                    self.record.report_violation(
                        "accepted", f"{unknown_id} with {change} got {status}"
                    )
            else:
                status, _ = await self.ask("GET", f"/work/{unknown_id}")
                if status == 200:
                    self.record.report_violation("invented", unknown_id)
