"""Late copies of start commands that workers have executed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import cbor2
import pytest

from peathall.http.message import Request, Response
from tests.sim.worker import Worker

COPY_EVERY_S = 0.05
RESPONSE_DROPPED_S = 4.0  # a worker drops the response to a heartbeat after this time


@dataclass(frozen=True)
class ExecutedMessage:
    """A message with start commands, as a worker received and executed it."""

    worker: Worker
    body: dict[str, Any]  # of a request to `/commands`, or of the response to a heartbeat
    is_response: bool
    epoch: int  # of the worker when it executed the message
    at: float


class LateCopies:
    """Keeps every message with a start command that a worker executes, and delivers copies of all
    of them, again and again. Notes what a copy starts."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.executed: list[ExecutedMessage] = []
        self.started_by_copy: list[str] = []
        self.copies = 0  # delivered
        self._delivering = False
        execute, handle, start_task = Worker.execute, Worker.handle, Worker.start_task
        in_request = False

        async def handle_and_keep(worker: Worker, request: Request) -> Response:
            nonlocal in_request
            in_request = True  # the handler does not wait
            response = await handle(worker, request)
            in_request = False
            if request.path == "/commands" and response.status == 200:
                self._keep(worker, cbor2.loads(request.body), is_response=False)
            return response

        def execute_and_keep(worker: Worker, commands: list[dict[str, Any]]) -> None:
            execute(worker, commands)
            if not in_request:
                body = {"mandate": worker.fencing_token, "writs": commands}
                self._keep(worker, body, is_response=True)

        def start_and_note(worker: Worker, name: str, attempt: int) -> None:
            if self._delivering:
                self.started_by_copy.append(f"{worker.loop.now:.2f} {name} on {worker.name}")
            start_task(worker, name, attempt)

        monkeypatch.setattr(Worker, "handle", handle_and_keep)
        monkeypatch.setattr(Worker, "execute", execute_and_keep)
        monkeypatch.setattr(Worker, "start_task", start_and_note)

    def _keep(self, worker: Worker, body: dict[str, Any], is_response: bool) -> None:
        starts = any(command["writ"] == "start" for command in body["writs"])
        if starts and not self._delivering:
            message = ExecutedMessage(worker, body, is_response, worker.epoch, worker.loop.now)
            self.executed.append(message)

    def starts_of(self, job_id: str, by_response: bool) -> int:
        """Number of messages kept that start a task of the job."""
        return sum(
            message.is_response == by_response
            and any(command["parcel"].startswith(job_id) for command in message.body["writs"])
            for message in self.executed
        )

    async def deliver_for(self, seconds: float) -> None:
        """Delivers copies of all messages kept, every COPY_EVERY_S, for so long."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            for message in list(self.executed):
                if message.worker.state == "running":
                    self._delivering = True
                    await self._deliver(message)
                    self._delivering = False
                    self.copies += 1
            await asyncio.sleep(COPY_EVERY_S)

    async def _deliver(self, message: ExecutedMessage) -> None:
        worker, body = message.worker, message.body
        if not message.is_response:
            request = Request("POST", "/commands", "", cbor2.dumps(body))
            await worker.handle(request)
            return
        # The worker's own rules for responses: a token that is not lower, the session of the
        # heartbeat, and no longer than it waits for them.
        in_time = worker.loop.now - message.at < RESPONSE_DROPPED_S
        if in_time and body["mandate"] >= worker.fencing_token and message.epoch == worker.epoch:
            worker.fencing_token = body["mandate"]
            worker.execute(body["writs"])
