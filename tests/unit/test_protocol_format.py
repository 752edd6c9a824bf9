"""The wire formats: one literal for every message, compared byte for byte when it is sent, and with
the decoded value when it is received.

The literals are part of the protocols and must not change when names in the code do. The helpers at
the head use most of the code's names, so that the tests below them hold few.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import cbor2
import msgspec
import orjson
import pytest

from peathall.autoscaling.actions import CloudError, NoCapacityError, ProvisionRequest
from peathall.autoscaling.provider_client import CloudClient
from peathall.cells import model as cells
from peathall.cells.cell_leader import CellEnvironment, CellLeader
from peathall.cells.client import CellClient
from peathall.cells.settings import Neighbour
from peathall.cells.status import CellsStatus, CellStatus, HandoffStatus
from peathall.cluster.machine import Machine, MachinePhase
from peathall.config.platform import parse
from peathall.controller.controller import Controller
from peathall.controller.user_routes import user_response
from peathall.duties import model as duties
from peathall.duties.duties import Duties
from peathall.duties.settings import DutySettings
from peathall.duties.status import DutiesStatus, DutyStatus
from peathall.http.message import Request, Response
from peathall.jobs import records
from peathall.jobs.responses import JobResponse
from peathall.leadership.records import LeaderRecord, TermRecord
from peathall.operator_config.file import load_operator_settings
from peathall.operator_config.settings import OperatorSettings
from peathall.protocol.cloud import decode_machine_type, encode_machine_type
from peathall.protocol.heartbeats import (
    Command,
    ForgetCommand,
    StartCommand,
    StopCommand,
    encode_commands,
    encode_heartbeat_response,
)
from peathall.protocol.jobs import JobStatus, encode_job_status, spec_to_record
from peathall.store import client as store
from peathall.workers import delivery, probes

CBOR, JSON = "application/cbor", "application/json"
Call = tuple[str, str, Any]  # method, path, decoded body; None: no body


# --- helpers ------------------------------------------------------------------------------------
def encode(value: Any, content_type: str = CBOR) -> bytes:
    return cbor2.dumps(value) if content_type == CBOR else orjson.dumps(value)


def check_bytes(raw: bytes, expected: Any, content_type: str = CBOR) -> None:
    """Compare the values first, for a readable difference, then the bytes, which show the order of
    fields and the types of numbers too."""
    assert (cbor2.loads(raw) if content_type == CBOR else orjson.loads(raw)) == expected
    assert raw == encode(expected, content_type)


class RecordingHttpClient:
    """Fake HTTP client: records the requests and returns the given responses in order."""

    def __init__(self, *responses: tuple[int, Any], content_type: str = CBOR) -> None:
        self.responses = list(responses)
        self.content_type = content_type
        self.calls: list[tuple[str, str, bytes]] = []
        self.in_flight = 0

    async def request(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        self.calls.append((method, path, body))
        status, value = self.responses.pop(0)
        return status, encode(value, self.content_type)

    def close(self) -> None:
        pass

    def check(self, *expected: Call) -> None:
        assert [call[:2] for call in self.calls] == [call[:2] for call in expected]
        for (_, _, raw), (_, _, value) in zip(self.calls, expected, strict=True):
            if value is None:
                assert raw == b""
            else:
                check_bytes(raw, value, self.content_type)


class FakeLeader:
    """Records the requests, and gives the same response to each."""

    cells = None

    def __init__(self, *response: Any) -> None:
        self.response = response
        self.requests: list[Any] = []

    def is_active(self) -> bool:
        return True

    async def accept(self, spec: Any) -> JobResponse:
        self.requests.append(spec_to_record(spec))
        return JobResponse(*self.response)

    async def query(self, job_id: str) -> JobResponse:
        self.requests.append(("query", job_id))
        return JobResponse(*self.response)

    async def cancel(self, job_id: str) -> JobResponse:
        self.requests.append(("cancel", job_id))
        return JobResponse(*self.response)

    async def handle_heartbeat(self, heartbeat: Any) -> Any:
        self.requests.append(decoded_heartbeat(heartbeat))
        return self.response


def decoded_heartbeat(heartbeat: Any) -> dict[str, Any]:
    """The fields of a decoded worker heartbeat that the tests compare."""
    return {
        "worker": (
            heartbeat.machine,
            heartbeat.addr,
            heartbeat.type,
            heartbeat.zone,
            heartbeat.spot,
        ),
        "order": (heartbeat.epoch, heartbeat.sequence),
        "token": heartbeat.fencing_token,
        "notice_s": heartbeat.notice_s,
        "tasks": [
            (
                t.job,
                t.task,
                t.attempt,
                t.state.name,
                t.exit_reason and t.exit_reason.name,
                t.checkpointed,
            )
            for t in heartbeat.tasks
        ],
    }


def new_controller(
    leader: FakeLeader | None = None, operator: OperatorSettings | None = None
) -> Any:
    controller: Any = Controller(parse(SETTINGS), operator or OperatorSettings(), lambda: 5.0)
    controller.assemble()
    controller.leader = leader
    return controller


def set_peer_responses(controller: Any, *responses: tuple[int, Any]) -> RecordingHttpClient:
    """Let the other controller, hall-1, give these responses; returns the client of hall-1."""
    http = RecordingHttpClient(*responses, content_type=JSON)
    controller.peers.views["hall-1"].client = http
    return http


async def ping(controller: Any) -> None:
    task = asyncio.create_task(controller.peers.ping_all())
    for _ in range(5):
        await asyncio.sleep(0)
    task.cancel()


async def new_follower(*responses: tuple[int, Any]) -> tuple[Any, RecordingHttpClient]:
    """A controller that knows hall-1 as the leader, and its client of hall-1."""
    controller = new_controller()
    set_peer_responses(controller, (200, {"leads": True}))
    await ping(controller)
    return controller, set_peer_responses(controller, *responses)


async def public_request(controller: Any, method: str, path: str, value: Any = None) -> Response:
    """The response to a request of a user or worker."""
    raw = b"" if value is None else encode(value)
    response: Response = await controller.public_routes.serve(Request(method, path, "", raw))
    return response


async def peer_request(
    controller: Any, method: str, path: str, value: Any = None, query: str = ""
) -> Response:
    """The response to a request of another controller."""
    raw = b"" if value is None else encode(value, JSON)
    response: Response = await controller.peer_server.serve(Request(method, path, query, raw))
    return response


def new_state_client(http: RecordingHttpClient) -> Any:
    limits = parse(SETTINGS).params.state
    client: Any = store.StoreClient("10.9.0.1:2", limits, 2)
    client.http = client.watch_http = http
    return client


def new_cloud_client(http: RecordingHttpClient) -> Any:
    limits = parse(SETTINGS).params.cloud
    client: Any = CloudClient("10.9.0.1:1", limits, lambda: True)
    client.http = http
    return client


def new_cell_client(http: RecordingHttpClient) -> Any:
    client: Any = CellClient(Neighbour("south", ["10.0.1.1:8081"]), lambda: True, lambda: 0.0)
    client.clients = [http]
    return client


def new_cell_leader() -> Any:
    """The leader of cell north, which has no machines, in term 4."""
    stub: Any = MagicMock()
    stub.term, stub.types = 4, {}
    operator = operator_with_cells()
    params = parse(SETTINGS).params
    leader: Any = CellLeader(
        operator.cells, stub, params, stub, stub, stub, stub,
        CellEnvironment(lambda: 0.0, lambda: True, lambda: True, random.Random(1)),
    )  # fmt: skip
    return leader


def new_duties(state: RecordingHttpClient, send: Any) -> Any:
    return Duties(
        parse(SETTINGS), DutySettings(), new_state_client(state), send,
        lambda: True, lambda: 5.0, random.Random(1),
    )  # fmt: skip


def operator_with_cells() -> OperatorSettings:
    own = {"name": "north", "neighbour": [{"name": "south", "controller": ["10.0.1.1:8081"]}]}
    return msgspec.convert({"cells": own}, OperatorSettings)


def check_response(
    response: Response,
    status: str,
    value: Any,
    content_type: str = CBOR,
    extra_headers: Iterable[str] = (),
) -> None:
    """Compare the whole response, head and body."""
    raw = b"" if value is NO_BODY else encode(value, content_type)
    head, _, body = response.encode().partition(b"\r\n\r\n")
    if raw:
        check_bytes(body, value, content_type)
    assert body == raw
    assert head.decode().split("\r\n") == [
        f"HTTP/1.1 {status}", f"Content-Type: {content_type}", f"Content-Length: {len(raw)}",
        *extra_headers,
    ]  # fmt: skip


NO_BODY = object()
RETRY_AFTER = ("Retry-After: 1",)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario()

    asyncio.run(main())


# --- settings ----------------------------------------------------------------------------------
SETTINGS = """
member = "hall-0"
location = "a"
api_addr = "10.0.0.1:8080"
back = "10.0.0.1:8081"
[[known]]
member = "hall-1"
location = "b"
endpoint = "10.0.0.2:8081"
[services]
cloud = "10.9.0.1:1"
state = "10.9.0.1:2"
[params]
size = 2
zones = ["a", "b"]
clock_off_ms = 5.0
[[params.teams]]
name = "vision"
cpus = 10.0
cpus_max = 20.0
gpus = 30.0
gpus_max = 40.0
[[params.objectives]]
kind = "wait"
class = "train"
within_s = 9.0
share = 0.8
times = 1.5
[params.workers]
report_s = 3.0
lease_s = 22.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 42.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 16
[params.state.next]
rps = 140.0
write_rps = 45.0
value_kb = 12.0
txn_ops = 12
[params.cloud]
rps = 4.0
list_lag_s = 6.0
[params.machine_limits]
cpu_share = 0.5
ram_mb = 512.0
fd_limit = 256
"""

DECODED_SETTINGS = {
    "member": "hall-0",
    "location": "a",
    "api_addr": "10.0.0.1:8080",
    "back": "10.0.0.1:8081",
    "services": {"cloud": "10.9.0.1:1", "state": "10.9.0.1:2"},
    "params": {
        "workers": {
            "report_s": 3.0, "lease_s": 22.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0,
            "cancel_s": 42.0,
        },
        "state": {"rps": 140.0, "write_rps": 45.0, "value_kb": 12.0, "txn_ops": 12, "next": None},
        "cloud": {"rps": 4.0, "list_lag_s": 6.0},
        "teams": [
            {"name": "vision", "cpus": 10.0, "cpus_max": 20.0, "gpus": 30.0, "gpus_max": 40.0}
        ],
        "size": 2,
        "zones": ["a", "b"],
        "clock_off_ms": 5.0,
        "objectives": [
            {"kind": "wait", "class": "train", "within_s": 9.0, "share": 0.8, "times": 1.5}
        ],
        "machine_limits": {"cpu_share": 0.5, "ram_mb": 512.0, "fd_limit": 256},
    },
    "known": [{"member": "hall-1", "location": "b", "endpoint": "10.0.0.2:8081"}],
}  # fmt: skip


def test_platform_settings_with_every_field() -> None:
    settings = parse(SETTINGS)
    assert msgspec.to_builtins(settings) == DECODED_SETTINGS
    assert (settings.name, settings.zone, settings.listen, settings.peer_listen) == (
        "hall-0", "a", "10.0.0.1:8080", "10.0.0.1:8081",
    )  # fmt: skip
    peer, objective = settings.peers[0], settings.params.objectives[0]
    assert (peer.name, peer.zone, peer.addr) == ("hall-1", "b", "10.0.0.2:8081")
    assert (objective.kind, objective.class_name) == ("wait", "train")


OPERATOR_TEXT = """
idle_hold_s: 45
duties { mode: "retiring" hold: "renting" hold: "cleanup" lease_s: 6 }
cells {
  name: "north"
  mode: "off"
  lease_s: 31
  neighbour { name: "south" controller: "10.0.1.1:8081" controller: "10.0.1.2:8081" }
}
"""

OPERATOR_STRUCT = """
fields { key: "idle_hold_s" value { number_value: 45 } }
fields { key: "duties" value { struct_value {
  fields { key: "mode" value { string_value: "retiring" } }
  fields { key: "hold" value { list_value {
    values { string_value: "renting" } values { string_value: "cleanup" } } } }
  fields { key: "lease_s" value { number_value: 6 } } } } }
fields { key: "cells" value { struct_value {
  fields { key: "name" value { string_value: "north" } }
  fields { key: "mode" value { string_value: "off" } }
  fields { key: "lease_s" value { number_value: 31 } }
  fields { key: "neighbour" value { list_value { values { struct_value {
    fields { key: "name" value { string_value: "south" } }
    fields { key: "controller" value { list_value {
      values { string_value: "10.0.1.1:8081" } values { string_value: "10.0.1.2:8081" } } } }
  } } } } } } } }
"""

DECODED_OPERATOR = {
    "idle_hold_s": 45.0,
    "duties": {"mode": "retiring", "hold": ["renting", "cleanup"], "lease_s": 6.0},
    "cells": {
        "name": "north",
        "neighbour": [{"name": "south", "controller": ["10.0.1.1:8081", "10.0.1.2:8081"]}],
        "mode": "off",
        "lease_s": 31.0,
    },
}


@pytest.mark.parametrize("text", [OPERATOR_TEXT, OPERATOR_STRUCT], ids=["schema", "struct"])
def test_operator_settings_are_read_in_both_forms(text: str, tmp_path: Path) -> None:
    file = tmp_path / "operator.textproto"
    file.write_text(text)
    assert msgspec.to_builtins(load_operator_settings(str(file))) == DECODED_OPERATOR


# --- users -------------------------------------------------------------------------------------
SUBMISSION: dict[str, Any] = {
    "id": "j-000412", "docket": "train", "desk": "vision", "shape": "ensemble",
    "precedence": "high", "parcels": 16, "vcpus": 8.0, "cards": 1.0, "ram_gb": 64.0,
    "kit": "img-07", "image_gb": 6.5, "builds": ["g8"], "ward": "a", "together": True,
    "scatter": False, "standby": True, "reckon_s": 240.0, "tally_s": 30.0, "stow_s": 4.0,
    "due_s": 900.0,
}  # fmt: skip

# The same job as sent between controllers and as stored.
JOB_RECORD: dict[str, Any] = {
    "id": "j-000412", "class_name": "train", "team": "vision", "gang": True, "priority": 1,
    "tasks": 16, "cpus": 8.0, "gpus": 1.0, "ram": 64.0, "image": "img-07", "image_gb": 6.5,
    "types": ["g8"], "zone": "a", "one_zone": True, "spread": False, "spot": True,
    "estimate_s": 240.0, "checkpoint_s": 30.0, "save_s": 4.0, "deadline_s": 900.0,
    "submitted": 5.0, "daemon": False,
}  # fmt: skip

DECODED_SUBMISSIONS: list[tuple[dict[str, Any], dict[str, Any]]] = [
    ({}, {}),
    ({"not_known_yet": 1}, {}),
    ({"shape": "sweep"}, {"gang": False}),
    ({"shape": "daemon"}, {"gang": False, "daemon": True}),
    ({"precedence": "critical"}, {"priority": 0}),
    ({"precedence": "standard"}, {"priority": 2}),
    ({"precedence": "idle"}, {"priority": 3}),
    ({"builds": None}, {"types": None}),
    ({"ward": None}, {"zone": None}),
    ({"due_s": None}, {"deadline_s": None}),
    ({"together": False, "scatter": True}, {"one_zone": False, "spread": True}),
    ({"standby": False}, {"spot": False}),
]

QUEUED_STATUS = {"id": "j-000412", "standing": "queued", "done": 0, "running": 0}


@pytest.mark.parametrize(("change", "meaning"), DECODED_SUBMISSIONS, ids=repr)
def test_submission_is_decoded(change: dict[str, Any], meaning: dict[str, Any]) -> None:
    async def scenario() -> None:
        leader = FakeLeader(201, encode_job_status("j-000412", JobStatus("queued")))
        response = await public_request(
            new_controller(leader), "POST", "/work", SUBMISSION | change
        )
        check_response(response, "201 Created", QUEUED_STATUS)
        check_bytes(encode(leader.requests, JSON), [JOB_RECORD | meaning], JSON)

    run(scenario)


@pytest.mark.parametrize("field", [f for f in SUBMISSION if f not in ("builds", "ward", "due_s")])
def test_submission_without_a_field_is_malformed(field: str) -> None:
    async def scenario() -> None:
        remaining = {k: v for k, v in SUBMISSION.items() if k != field}
        response = await public_request(
            new_controller(FakeLeader(404, None)), "POST", "/work", remaining
        )
        why = {"error": f"Object missing required field `{field}`"}
        check_response(response, "400 Bad Request", why)

    run(scenario)


INVALID_SUBMISSIONS: list[tuple[Any, str]] = [
    ([1], "not a map with text keys"),
    ({1: 2}, "not a map with text keys"),
    (SUBMISSION | {"shape": "cron"}, "Invalid enum value 'cron' - at `$.shape`"),
    (SUBMISSION | {"precedence": "urgent"}, "Invalid enum value 'urgent' - at `$.precedence`"),
    (SUBMISSION | {"parcels": 0}, "Expected `int` >= 1 - at `$.parcels`"),
    (SUBMISSION | {"parcels": 100_001}, "Expected `int` <= 100000 - at `$.parcels`"),
    (SUBMISSION | {"vcpus": -1.0}, "Expected `float` >= 0.0 - at `$.vcpus`"),
    (SUBMISSION | {"together": 1}, "Expected `bool`, got `int` - at `$.together`"),
    (SUBMISSION | {"ram_gb": float("inf")}, "an amount is not finite"),
]


@pytest.mark.parametrize(
    ("value", "why"), INVALID_SUBMISSIONS, ids=lambda x: x if isinstance(x, str) else ""
)
def test_invalid_submission_is_malformed(value: Any, why: str) -> None:
    async def scenario() -> None:
        response = await public_request(
            new_controller(FakeLeader(404, None)), "POST", "/work", value
        )
        check_response(response, "400 Bad Request", {"error": why})

    run(scenario)


STANDINGS = ["queued", "running", "done", "aborted"]


def test_every_job_status_is_listed() -> None:
    assert [standing.value for standing in JobStatus] == STANDINGS


@pytest.mark.parametrize("standing", STANDINGS)
@pytest.mark.parametrize(
    ("method", "path", "asked"),
    [
        ("GET", "/work/j-000412", ("query", "j-000412")),
        ("POST", "/work/j-000412/withdraw", ("cancel", "j-000412")),
    ],
)
def test_query_and_cancellation_return_the_job_status(
    method: str, path: str, asked: Any, standing: str
) -> None:
    async def scenario() -> None:
        status = encode_job_status("j-000412", JobStatus(standing), 3, 13)
        leader = FakeLeader(200, status)
        response = await public_request(new_controller(leader), method, path)
        expected = {"id": "j-000412", "standing": standing, "done": 3, "running": 13}
        check_response(response, "200 OK", expected)
        assert leader.requests == [asked]

    run(scenario)


USER_ERRORS: list[tuple[tuple[int, Any], str, Any, Any]] = [
    ((400, {"error": "x"}), "400 Bad Request", {"error": "x"}, ()),
    ((404, None), "404 Not Found", {}, ()),
    ((422, {"error": "unknown team"}), "422 Unprocessable Content", {"error": "unknown team"}, ()),
    ((429, None), "429 Too Many Requests", {}, RETRY_AFTER),
    ((503, None), "503 Service Unavailable", {}, RETRY_AFTER),
    ((504, None), "504 Gateway Timeout", {}, RETRY_AFTER),
]


@pytest.mark.parametrize(
    ("answer", "status", "value", "more"), USER_ERRORS, ids=lambda x: str(x)[:3]
)
def test_error_responses_to_users(answer: Any, status: str, value: Any, more: Any) -> None:
    check_response(user_response(answer), status, value, extra_headers=more)


@pytest.mark.parametrize(
    ("method", "path", "status", "value", "more"),
    [
        ("GET", "/healthz", "200 OK", NO_BODY, ()),
        ("POST", "/healthz", "405 Method Not Allowed", NO_BODY, ()),
        ("GET", "/work", "405 Method Not Allowed", NO_BODY, ()),
        ("GET", "/checkin", "405 Method Not Allowed", NO_BODY, ()),
        ("GET", "/nowhere", "404 Not Found", {"error": "no such path"}, ()),
        ("GET", "/work/x-1", "404 Not Found", {"error": "no such job"}, ()),
        ("POST", "/work/j-1/withdraw", "503 Service Unavailable", {}, RETRY_AFTER),
    ],
)
def test_responses_without_a_leader(
    method: str, path: str, status: str, value: Any, more: Any
) -> None:
    async def scenario() -> None:
        controller = new_controller()
        # The state service is reachable, so connections stay open.
        controller.store.last_response_at = controller.loop.time()
        check_response(
            await public_request(controller, method, path), status, value, extra_headers=more
        )

    run(scenario)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"desk": "no-such", "parcels": 2}, "unknown team"),
        ({"parcels": 3}, "needs more than its team's limit"),
        ({"builds": ["c4"], "parcels": 1}, "a task fits no allowed machine type"),
    ],
)
def test_job_that_can_never_run_is_rejected(change: dict[str, Any], why: str) -> None:
    async def scenario() -> None:
        controller, _ = new_controller_with_store((404, {"epoch": 1}))
        response = await public_request(controller, "POST", "/work", SUBMISSION | change)
        check_response(response, "422 Unprocessable Content", {"error": why})

    run(scenario)


def new_controller_with_store(response: tuple[int, Any]) -> tuple[Any, RecordingHttpClient]:
    """A controller without a leader, and its client of a state service that holds no job yet. The
    response is for the third request."""
    controller = new_controller()
    nothing_listed = {"items": [], "more": False, "epoch": 1}
    controller.store.http = RecordingHttpClient(
        (200, nothing_listed), (200, {"epoch": 1, "news": []}), response
    )
    controller.follower_service.set_types([decode_machine_type(MACHINE_TYPE)])
    return controller, controller.store.http


def test_job_is_stored_without_a_leader() -> None:
    async def scenario() -> None:
        controller, state = new_controller_with_store((200, {"epoch": 2}))
        response = await public_request(controller, "POST", "/work", SUBMISSION | {"parcels": 2})
        check_response(response, "201 Created", QUEUED_STATUS)
        absent = [{"k": "live/job/j-000412", "stamp": 0}, {"k": "past/j-000412", "stamp": 0}]
        stored = [{"write": "live/job/j-000412", "data": JOB_RECORD | {"tasks": 2}}]
        state.check(
            ("GET", "/store?prefix=live/&most=1000", None),
            ("GET", "/watch?prefix=live/&after=1&hold_ms=0", None),
            ("POST", "/commit", {"when": absent, "apply": stored}),
        )

    run(scenario)


# --- workers -----------------------------------------------------------------------------------
WORKER_HEARTBEAT: dict[str, Any] = {
    "hall": "m-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "ward": "a",
    "standby": True, "tenure": 1, "tick": 88, "mandate": 41, "recall_s": 20.5, "parcels": [],
}  # fmt: skip
DECODED_HEARTBEAT: dict[str, Any] = {
    "worker": ("m-000231", "10.1.0.232:9000", "g8", "a", True),
    "order": (1, 88),
    "token": 41,
    "notice_s": 20.5,
    "tasks": [],
}
MINIMAL_HEARTBEAT = {"hall": "m-000231", "tenure": 2, "tick": 3}
DECODED_MINIMAL_HEARTBEAT = {
    "worker": ("m-000231", "", "", "", False),
    "order": (2, 3),
    "token": 0,
    "notice_s": None,
    "tasks": [],
}

DECODED_TASKS: list[tuple[dict[str, Any], tuple[Any, ...]]] = [
    ({"standing": "pulling"}, ("FETCHING", None, False)),
    ({"standing": "waiting"}, ("WAITING", None, False)),
    ({"standing": "running"}, ("RUNNING", None, False)),
    ({"standing": "flushing"}, ("CHECKPOINTING", None, False)),
    ({"standing": "exited", "cause": "done"}, ("EXITED", "DONE", False)),
    ({"standing": "exited", "cause": "halted"}, ("EXITED", "STOPPED", False)),
    ({"standing": "exited", "cause": "halted", "kept": True}, ("EXITED", "STOPPED", True)),
    ({"standing": "exited", "cause": "halted", "kept": False}, ("EXITED", "STOPPED", False)),
    ({"standing": "exited", "cause": "mates_gone"}, ("EXITED", "PEER_LOST", False)),
    ({"standing": "exited", "cause": "incomplete"}, ("EXITED", "GANG_INCOMPLETE", False)),
    ({"standing": "exited", "cause": "error"}, ("EXITED", "ERROR", False)),
    ({"standing": "exited", "cause": "full"}, ("EXITED", "NO_CAPACITY", False)),
    ({"standing": "exited", "cause": "busy"}, ("EXITED", "BUSY", False)),
    ({"standing": "exited", "cause": "unknown"}, ("EXITED", "UNKNOWN", False)),
    ({"standing": "exited", "cause": "a new word"}, ("EXITED", "ERROR", False)),
]


async def receive_heartbeat(heartbeat: dict[str, Any]) -> Any:
    leader = FakeLeader(200, {})
    response = await public_request(new_controller(leader), "POST", "/checkin", heartbeat)
    check_response(response, "200 OK", {})
    return leader.requests


@pytest.mark.parametrize(("task", "meaning"), DECODED_TASKS, ids=repr)
def test_task_status_of_a_worker_heartbeat_is_decoded(
    task: dict[str, Any], meaning: tuple[Any, ...]
) -> None:
    async def scenario() -> None:
        task_status = {"parcel": "j-000412/3", "try": 2, **task}
        expected = DECODED_HEARTBEAT | {"tasks": [("j-000412", 3, 2, *meaning)]}
        assert await receive_heartbeat(WORKER_HEARTBEAT | {"parcels": [task_status]}) == [expected]

    run(scenario)


@pytest.mark.parametrize(
    ("report", "meaning"),
    [
        (WORKER_HEARTBEAT, DECODED_HEARTBEAT),
        (WORKER_HEARTBEAT | {"recall_s": None}, DECODED_HEARTBEAT | {"notice_s": None}),
        (MINIMAL_HEARTBEAT, DECODED_MINIMAL_HEARTBEAT),
    ],
    ids=["all", "no notice", "least"],
)
def test_worker_heartbeat_is_decoded(report: dict[str, Any], meaning: dict[str, Any]) -> None:
    async def scenario() -> None:
        assert await receive_heartbeat(report) == [meaning]

    run(scenario)


@pytest.mark.parametrize("field", ["hall", "tenure", "tick"])
def test_worker_heartbeat_without_a_field_is_malformed(field: str) -> None:
    async def scenario() -> None:
        remaining = {k: v for k, v in WORKER_HEARTBEAT.items() if k != field}
        response = await public_request(
            new_controller(FakeLeader(200, {})), "POST", "/checkin", remaining
        )
        why = {"error": f"Object missing required field `{field}`"}
        check_response(response, "400 Bad Request", why)

    run(scenario)


START_COMMAND = {"writ": "start", "parcel": "j-000412/4", "try": 2}
STOP_COMMAND = {"writ": "stop", "parcel": "j-000377/1", "try": 1, "leave_s": 10.0}
FORGET_COMMAND = {"writ": "forget", "parcel": "j-000398/0", "try": 3}


def commands() -> list[Command]:
    return [
        StartCommand("j-000412", 4, 2),
        StopCommand("j-000377", 1, 1, 10.0),
        ForgetCommand("j-000398", 0, 3),
    ]


def test_response_to_a_worker_heartbeat() -> None:
    async def scenario() -> None:
        controller = new_controller(FakeLeader(200, encode_heartbeat_response(41, commands())))
        response = await public_request(controller, "POST", "/checkin", WORKER_HEARTBEAT)
        check_response(
            response,
            "200 OK",
            {"mandate": 41, "writs": [START_COMMAND, STOP_COMMAND, FORGET_COMMAND]},
        )

    run(scenario)


def test_worker_heartbeat_is_refused_while_the_leader_may_not_respond() -> None:
    async def scenario() -> None:
        response = await public_request(
            new_controller(FakeLeader(503, {})), "POST", "/checkin", WORKER_HEARTBEAT
        )
        check_response(response, "503 Service Unavailable", {"error": "not entitled now"})

    run(scenario)


def test_worker_heartbeat_is_redirected_to_the_leader() -> None:
    async def scenario() -> None:
        controller, _ = await new_follower()
        response = await public_request(controller, "POST", "/checkin", WORKER_HEARTBEAT)
        check_response(response, "421 Misdirected Request", {"steward": "hall-1"})

    run(scenario)


def test_worker_heartbeat_without_a_leader() -> None:
    async def scenario() -> None:
        response = await public_request(new_controller(), "POST", "/checkin", WORKER_HEARTBEAT)
        check_response(response, "421 Misdirected Request", {"error": "no leader"})

    run(scenario)


def test_direct_commands_and_their_response(monkeypatch: pytest.MonkeyPatch) -> None:
    http = RecordingHttpClient((200, WORKER_HEARTBEAT))
    monkeypatch.setattr(delivery, "HttpClient", lambda *_, **__: http)
    received: list[Any] = []

    async def scenario() -> None:
        source: Any = SimpleNamespace(
            commands_due=lambda _: encode_commands(41, 1, commands()),
            note_command_response=lambda _, heartbeat: received.append(
                decoded_heartbeat(heartbeat)
            ),
        )
        machine = Machine("m-000231", "g8", "a", True, MachinePhase.UP)
        machine.addr = "10.1.0.232:9000"
        command_delivery = delivery.CommandDelivery(source, lambda: True, 2, 1.0)
        command_delivery.push(machine)
        await asyncio.gather(*command_delivery.requests_in_flight.values())

    run(scenario)
    http.check(
        (
            "POST",
            "/commands",
            {"mandate": 41, "tenure": 1, "writs": [START_COMMAND, STOP_COMMAND, FORGET_COMMAND]},
        )
    )
    assert received == [DECODED_HEARTBEAT]


def test_liveness_probe_is_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    http = RecordingHttpClient((200, WORKER_HEARTBEAT))
    monkeypatch.setattr(probes, "HttpClient", lambda *_, **__: http)

    async def scenario() -> None:
        machine = Machine("m-000231", "g8", "a", True, MachinePhase.UP)
        machine.addr, machine.replicas = "10.1.0.232:9000", 1
        health: Any = MagicMock()
        health.expected_machines.return_value = [machine]
        probes.LivenessProbes(health, lambda: True).tick(0.0)
        for _ in range(5):
            await asyncio.sleep(0)

    run(scenario)
    http.check(("GET", "/inspect", None))


# --- cloud -------------------------------------------------------------------------------------
MACHINE_TYPE: dict[str, Any] = {
    "label": "g8", "vcpus": 96.0, "cards": 8.0, "ram_gb": 768.0, "cache_gb": 200.0,
    "pull_gb_per_s": 1.5, "rate": 12.0, "market_price": 4.5, "startup_s": 45.0,
    "wards": ["a", "b"],
}  # fmt: skip
MACHINE: dict[str, Any] = {
    "id": "m-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "ward": "a",
    "standby": True, "standing": "running", "held_s": 61.5,
}  # fmt: skip


def test_machine_types_are_read() -> None:
    http = RecordingHttpClient(
        (200, {"builds": [MACHINE_TYPE, {"label": "c", "vcpus": 4, "ram_gb": 8}]})
    )

    async def scenario() -> None:
        full, minimal = await new_cloud_client(http).types()
        assert msgspec.structs.astuple(full) == (
            "g8", 96.0, 8.0, 768.0, 200.0, 1.5, 12.0, 4.5, 45.0, ["a", "b"],
        )  # fmt: skip
        assert msgspec.structs.astuple(minimal) == (
            "c", 4.0, 0.0, 8.0, 0.0, 1.0, 0.0, 0.0, 60.0, [],
        )  # fmt: skip
        check_bytes(encode(encode_machine_type(full)), MACHINE_TYPE)

    run(scenario)
    http.check(("GET", "/machine_types", None))


PROVISION = {"hire": "r-17", "build": "g8", "ward": "a", "standby": True, "how_many": 12}


def provision_request() -> ProvisionRequest:
    return ProvisionRequest("r-17", "g8", "a", True, 12)


def test_provision_request_is_sent() -> None:
    http = RecordingHttpClient((200, {"halls": ["m-000231", "m-000232"]}))

    async def scenario() -> None:
        assert await new_cloud_client(http).provision(provision_request()) == [
            "m-000231",
            "m-000232",
        ]

    run(scenario)
    http.check(("POST", "/hosts", PROVISION))


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((503, {"error": "no capacity"}), NoCapacityError),
        ((503, {"error": "trouble"}), CloudError),
        ((400, {"error": "malformed"}), CloudError),
        ((429, {}), CloudError),
    ],
)
def test_refused_provision_request(answer: tuple[int, Any], error: type[Exception]) -> None:
    async def scenario() -> None:
        with pytest.raises(error):
            await new_cloud_client(RecordingHttpClient(answer)).provision(provision_request())

    run(scenario)


def test_deletion_of_machines_is_sent() -> None:
    http = RecordingHttpClient((200, {}))
    run(lambda: new_cloud_client(http).delete(["m-000231", "m-000232"]))
    http.check(("POST", "/hosts/delete", {"halls": ["m-000231", "m-000232"]}))


def test_machine_list_is_read_in_pages() -> None:
    second_machine = {"id": "m-000232", "standing": "starting"}
    http = RecordingHttpClient(
        (200, {"halls": [MACHINE], "more": True}), (200, {"halls": [second_machine], "more": False})
    )

    async def scenario() -> None:
        found = await new_cloud_client(http).machines()
        assert [msgspec.structs.astuple(machine) for machine in found] == [
            ("m-000231", "10.1.0.232:9000", "g8", "a", True, "running", 61.5),
            ("m-000232", "", "", "", False, "starting", 0.0),
        ]

    run(scenario)
    http.check(("GET", "/hosts?most=500", None), ("GET", "/hosts?most=500&after=m-000231", None))


# --- state service -----------------------------------------------------------------------------
KEY_VALUE = {"k": "a/b", "data": {"x": 1}, "stamp": 412, "tenancy": 7}
COMMIT = {
    "when": [{"k": "a/b", "stamp": 0}, {"k": "a/c", "stamp": 9}],
    "apply": [
        {"write": "a/b", "data": {"x": 1}},
        {"write": "a/c", "data": [2], "tenancy": 7},
        {"drop": "c/d"},
    ],
}
CHANGES = {
    "epoch": 433,
    "news": [
        {"write": "c/9", "data": {"x": 1}, "stamp": 433},
        {"drop": "c/d", "stamp": 432},
    ],
}
WATCH_EVENTS = (433, [("c/9", 433, {"x": 1}, False), ("c/d", 432, None, True)])


def to_tuples(value: Any) -> Any:
    """The value with all structs replaced by tuples."""
    if isinstance(value, msgspec.Struct):
        return msgspec.structs.astuple(value)
    return type(value)(map(to_tuples, value)) if isinstance(value, (list, tuple)) else value


async def commit_transaction(client: Any) -> Any:
    puts = [store.Put("a/b", {"x": 1}), store.Put("a/c", [2], 7)]
    return await client.commit({"a/b": 0, "a/c": 9}, [*puts, store.Delete("c/d")])


ClientCall = Callable[[Any], Awaitable[Any]]
GET_CALL: Call = ("GET", "/store/a/b", None)
COMMIT_CALL: Call = ("POST", "/commit", COMMIT)
WATCH_CALL: Call = ("GET", "/watch?prefix=c/&after=431&hold_ms=6000", None)
LEASE_CALL: Call = ("POST", "/leases", {"ttl_ms": 5000})
RENEW_CALL: Call = ("POST", "/leases/7/renew", {})

STATE_CALLS: list[tuple[str, ClientCall, tuple[int, Any], Call, Any]] = [
    ("get", lambda c: c.get("a/b"), (200, KEY_VALUE), GET_CALL, ("a/b", {"x": 1}, 412)),
    ("get none", lambda c: c.get("a/b"), (404, {"epoch": 431}), GET_CALL, None),
    ("commit", commit_transaction, (200, {"epoch": 432}), COMMIT_CALL, 432),
    ("lease", lambda c: c.grant_lease(5.0), (200, {"tenancy": 7}), LEASE_CALL, 7),
    ("renew", lambda c: c.renew_lease(7, 1.0), (200, {}), RENEW_CALL, None),
    ("end", lambda c: c.revoke_lease(7), (200, {}), ("DELETE", "/leases/7", None), None),
    ("watch", lambda c: c.watch("c/", 431), (200, CHANGES), WATCH_CALL, WATCH_EVENTS),
    ("too old", lambda c: c.watch("c/", 431), (410, {}), WATCH_CALL, None),
    (
        "news",
        lambda c: c.changes_since("c/", 431),
        (200, CHANGES),
        ("GET", "/watch?prefix=c/&after=431&hold_ms=0", None),
        WATCH_EVENTS,
    ),
]


@pytest.mark.parametrize(
    ("use", "answer", "call", "expected"),
    [case[1:] for case in STATE_CALLS],
    ids=[case[0] for case in STATE_CALLS],
)
def test_requests_to_the_state_service(
    use: ClientCall, answer: Any, call: Call, expected: Any
) -> None:
    http = RecordingHttpClient(answer)

    async def scenario() -> None:
        assert to_tuples(await use(new_state_client(http))) == expected

    run(scenario)
    http.check(call)


STATE_ERRORS: list[tuple[ClientCall, tuple[int, Any], type[Exception]]] = [
    (commit_transaction, (409, {"failed": ["a/b"], "epoch": 431}), store.ConflictError),
    (commit_transaction, (400, {"error": "no such lease"}), store.LeaseExpiredError),
    (commit_transaction, (400, {"error": "too large"}), store.InvalidTransactionError),
    (commit_transaction, (429, {}), store.RateLimitError),
    (commit_transaction, (503, {}), store.StoreError),
    (lambda c: c.renew_lease(7, 1.0), (404, {}), store.LeaseExpiredError),
]


@pytest.mark.parametrize(("use", "answer", "error"), STATE_ERRORS)
def test_errors_of_the_state_service(use: ClientCall, answer: Any, error: type[Exception]) -> None:
    async def scenario() -> None:
        with pytest.raises(error) as raised:
            await use(new_state_client(RecordingHttpClient(answer)))
        assert type(raised.value) is error
        assert getattr(raised.value, "failed", ["a/b"]) == ["a/b"]

    run(scenario)


def test_scan_is_read_in_pages() -> None:
    first = {"k": "c/7", "data": {"x": 1}, "stamp": 5}
    second = {"k": "c/8", "data": None, "stamp": 6}
    http = RecordingHttpClient(
        (200, {"items": [first], "more": True, "epoch": 431}),
        (200, {"items": [second], "more": False, "epoch": 440}),
    )

    async def scenario() -> None:
        found = await new_state_client(http).scan("c/")
        assert to_tuples(found) == ([("c/7", {"x": 1}, 5), ("c/8", None, 6)], 431)

    run(scenario)
    http.check(
        ("GET", "/store?prefix=c/&most=1000", None),
        ("GET", "/store?prefix=c/&most=1000&after=c/7", None),
    )


# --- between controllers -----------------------------------------------------------------------
@pytest.mark.parametrize(
    ("query", "expected"),
    [("", {"leads": False}), ("knocks", {"leads": False, "knocks": {"m-000231": [1, 88]}})],
)
def test_ping_is_answered(query: str, expected: dict[str, Any]) -> None:
    async def scenario() -> None:
        controller = new_controller()
        # Redirected, since this controller is not the leader.
        await public_request(controller, "POST", "/checkin", WORKER_HEARTBEAT)
        response = await peer_request(controller, "GET", "/ping", query=query)
        check_response(response, "200 OK", expected, JSON)

    run(scenario)


@pytest.mark.parametrize(("leads", "path"), [(False, "/ping"), (True, "/ping?knocks")])
def test_ping_is_sent_and_its_response_decoded(leads: bool, path: str) -> None:
    async def scenario() -> None:
        controller = new_controller()
        controller.peers.is_leader = lambda: leads
        http = set_peer_responses(
            controller, (200, {"leads": True, "knocks": {"m-000231": [1, 88]}})
        )
        await ping(controller)
        http.check(("GET", path, None))
        assert controller.peers.leader_name() == "hall-1"
        assert controller.peers.heartbeats_elsewhere(controller.loop.time()) == {
            "m-000231": (1, 88)
        }

    run(scenario)


FORWARDED = [
    ("POST", "/work", SUBMISSION, {"op": "accept", "job": JOB_RECORD}, JOB_RECORD),
    ("GET", "/work/j-1", None, {"op": "query", "id": "j-1"}, ("query", "j-1")),
    ("POST", "/work/j-1/withdraw", None, {"op": "cancel", "id": "j-1"}, ("cancel", "j-1")),
]


@pytest.mark.parametrize(("method", "path", "value", "message", "asked"), FORWARDED)
def test_forwarded_request(method: str, path: str, value: Any, message: Any, asked: Any) -> None:
    async def scenario() -> None:
        controller, http = await new_follower((200, QUEUED_STATUS))
        check_response(
            await public_request(controller, method, path, value), "200 OK", QUEUED_STATUS
        )
        http.check(("POST", "/forward", message))
        leader = FakeLeader(200, QUEUED_STATUS)
        response = await peer_request(new_controller(leader), "POST", "/forward", message)
        check_response(response, "200 OK", QUEUED_STATUS, JSON)
        assert leader.requests == [asked]

    run(scenario)


@pytest.mark.parametrize(
    ("leader", "method", "path", "message", "status"),
    [
        (None, "POST", "/forward", {"op": "query", "id": "j-1"}, "503 Service Unavailable"),
        (FakeLeader(200, {}), "POST", "/forward", [1], "400 Bad Request"),
        (FakeLeader(200, {}), "POST", "/forward", {"op": "query"}, "400 Bad Request"),
        (None, "POST", "/nowhere", {}, "404 Not Found"),
        (None, "POST", "/duty", {}, "404 Not Found"),
        (None, "POST", "/cells", {}, "404 Not Found"),
    ],
)
def test_error_responses_to_controllers(
    leader: Any, method: str, path: str, message: Any, status: str
) -> None:
    async def scenario() -> None:
        response = await peer_request(new_controller(leader), method, path, message)
        check_response(response, status, None, JSON)

    run(scenario)


# --- duties and cells: every message, built from positional arguments and decoded again ----------
PROVISION_REQUEST = {"request": "r-17", "type": "g8", "zone": "a", "spot": True, "count": 12}
DELETION = {"name": "d-4-1", "machines": ["m-1", "m-2"]}
STORE_TRANSACTION = {
    "name": "w-1",
    "conditions": {"a/b": 0},
    "puts": [{"key": "a/b", "value": {"x": 1}}],
    "drops": ["c/d"],
}
HOLDER_RECORD = {"member": "hall-1", "token": 3, "lease": 7, "since": 5.5, "vacant_s": 1.5}
HANDOVER = {"member": "hall-1", "token": 3, "vacant_s": 1.5}
NO_ACTION: dict[str, Any] = {"rental": None, "deletion": None}
ACTION_REQUEST = {
    "duty": "renting", "token": 3, "term": 4, "lead_version": 9,
    "rental": PROVISION_REQUEST, "deletion": DELETION, "write": STORE_TRANSACTION,
}  # fmt: skip
ACTION_RESULT = {
    "outcome": "done", "machines": ["m-1"], "why": "x", "revision": 8, "failed": ["a/b"],
}  # fmt: skip
HANDOFF_OFFER = {"cell": "north", "to": "south", "term": 4, "epoch": 2, "job": JOB_RECORD}
HANDOFF_OFFER_RESPONSE = {"reserved": True, "why": "x", "term": 5, "sequence": 6, "lapse_s": 23.5}
BORROWED_JOB_STATUS = {"job": "j-1", "epoch": 2, "phase": "adopted", "stopping": True, "running": 3}
CAPACITY_ROW = ["g8", "a", True, 8, 1, 64, 5]
CELL_HEARTBEAT = {
    "cell": "north", "to": "south", "term": 4, "sequence": 6, "home_term": 5, "lapse_s": 23.5,
    "borrowed": [BORROWED_JOB_STATUS], "room": [CAPACITY_ROW],
}  # fmt: skip
RULING = {"job": "j-1", "epoch": 2, "verdict": "granted", "lease_s": 30.0}
CELL_HEARTBEAT_RESPONSE = {"term": 5, "rulings": [RULING], "room": [CAPACITY_ROW]}
USER_REQUEST = {"cell": "north", "to": "south", "operation": "query", "job": "j-1"}
USER_RESPONSE = {"status": 200, "value": QUEUED_STATUS}
DUTY_STATUS = {
    "duty": "renting", "holder": "hall-1", "since": 5.5, "token": 3, "outstanding": ["r-17"],
    "handovers": [HANDOVER], "waiting": "x",
}  # fmt: skip
LENT_JOB_STATUS = {"job": "j-1", "cell": "south", "phase": "granted", "lease_left_s": 29.5}


def deletion() -> Any:
    return duties.Deletion("d-4-1", ["m-1", "m-2"])


def store_transaction() -> Any:
    puts = [duties.StoredValue("a/b", {"x": 1})]
    return duties.StoreTransaction("w-1", {"a/b": 0}, puts, ["c/d"])


def handover() -> Any:
    return duties.Handover("hall-1", 3, 1.5)


def holder() -> Any:
    return duties.HolderRecord("hall-1", 3, 7, 5.5, 1.5)


def capacity_row() -> Any:
    return cells.CapacityRow("g8", "a", True, 8, 1, 64, 5)


def handoff_offer() -> Any:
    return cells.HandoffOffer("north", "south", 4, 2, JOB_RECORD)


def cell_heartbeat() -> Any:
    borrowed = cells.BorrowedJobStatus("j-1", 2, cells.BorrowPhase("adopted"), True, 3)
    return cells.CellHeartbeat("north", "south", 4, 6, 5, 23.5, [borrowed], [capacity_row()])


def cell_heartbeat_response() -> Any:
    ruling = cells.Ruling("j-1", 2, cells.Verdict("granted"), 30.0)
    return cells.CellHeartbeatResponse(5, [ruling], [capacity_row()])


def user_request() -> Any:
    return cells.UserRequest("north", "south", "query", "j-1")


MESSAGES: list[tuple[msgspec.Struct, Any]] = [
    (TermRecord(4, True), {"n": 4, "cells": True}),
    (TermRecord(4), {"n": 4}),
    (LeaderRecord("hall-1", 4, 7), {"member": "hall-1", "term": 4, "lease": 7}),
    (provision_request(), PROVISION_REQUEST),
    (holder(), HOLDER_RECORD),
    (duties.TokenRecord(3, [handover()]), {"token": 3, "latest": [HANDOVER]}),
    (duties.ActionIntent(3, 4), {"token": 3, "term": 4, **NO_ACTION}),
    (
        duties.ActionIntent(3, 4, provision_request(), deletion()),
        {"token": 3, "term": 4, "rental": PROVISION_REQUEST, "deletion": DELETION},
    ),
    (
        duties.ActionRequest(
            duties.Duty("renting"), 3, 4, 9, provision_request(), deletion(), store_transaction()
        ),
        ACTION_REQUEST,
    ),
    (duties.ActionResult(duties.Outcome("done"), ["m-1"], "x", 8, ["a/b"]), ACTION_RESULT),
    (
        DutiesStatus(
            "hall-0", "hall-1", True,
            [DutyStatus("renting", "hall-1", 5.5, 3, ["r-17"], [handover()], "x")],
        ),
        {"answered_by": "hall-0", "leader": "hall-1", "on": True, "duties": [DUTY_STATUS]},
    ),
    (
        cells.HandoffRecord(2, "south", cells.HandoffPhase("granted"), 30.0, 23.5),
        {"epoch": 2, "cell": "south", "phase": "granted", "lease_s": 30.0, "lapse_s": 23.5},
    ),
    (
        cells.BorrowedRecord(2, "north", cells.BorrowPhase("adopted"), JOB_RECORD),
        {"epoch": 2, "home": "north", "phase": "adopted", "job": JOB_RECORD},
    ),
    (handoff_offer(), HANDOFF_OFFER),
    (cells.HandoffOfferResponse(True, "x", 5, 6, 23.5), HANDOFF_OFFER_RESPONSE),
    (cell_heartbeat(), CELL_HEARTBEAT),
    (cell_heartbeat_response(), CELL_HEARTBEAT_RESPONSE),
    (user_request(), USER_REQUEST),
    (cells.UserResponse(200, QUEUED_STATUS), USER_RESPONSE),
    (
        CellsStatus(
            "north", "hall-1", [CellStatus("south", 1.5, 4)],
            [HandoffStatus("j-1", "south", "granted", 29.5)], [], {"j-4": "x"},
        ),
        {
            "cell": "north", "leader": "hall-1",
            "cells": [{"cell": "south", "answered_s": 1.5, "machines_free": 4}],
            "lent": [LENT_JOB_STATUS], "borrowed": [], "staying": {"j-4": "x"},
        },
    ),
]  # fmt: skip


@pytest.mark.parametrize(("message", "literal"), MESSAGES, ids=lambda x: type(x).__name__)
def test_message_between_controllers(message: msgspec.Struct, literal: Any) -> None:
    check_bytes(encode(msgspec.to_builtins(message), JSON), literal, JSON)
    decoded = msgspec.convert(orjson.loads(encode(literal, JSON)), type(message))
    assert decoded == message


ENUM_VALUES: list[tuple[Any, list[str]]] = [
    (duties.Duty, ["renting", "returning", "reclaiming", "cleanup"]),
    (duties.Outcome, ["done", "no-capacity", "conflict", "invalid", "pending", "refused"]),
    (cells.HandoffPhase, ["offered", "granted", "revoked", "returned", "ended"]),
    (cells.BorrowPhase, ["reserved", "adopted", "ended", "released"]),
    (cells.Verdict, ["pending", "granted", "revoked"]),
]


@pytest.mark.parametrize(("kind", "words"), ENUM_VALUES, ids=lambda x: getattr(x, "__name__", ""))
def test_enum_values_between_controllers(kind: Any, words: list[str]) -> None:
    assert [word.value for word in kind] == words


def test_record_keys_of_duties_and_cells() -> None:
    duty = duties.Duty("renting")
    assert (duties.ENABLED_KEY, duty.holder_key, duty.token_key, duty.action_prefix) == (
        "duties/on", "duties/holder/renting", "duties/token/renting", "duty-act/renting/",
    )  # fmt: skip
    assert (cells.HANDOFF, records.BORROWED_PREFIX) == ("handoff/", "borrowed/")


def peer_sender(http: RecordingHttpClient) -> Any:
    """A function that sends to hall-1 through this client."""

    async def send(name: str, path: str, raw: bytes, timeout: float) -> tuple[int, bytes]:
        assert name == "hall-1"
        return await http.request("POST", path, raw, timeout)

    return send


def test_action_requests_to_the_holder_of_a_duty() -> None:
    http = RecordingHttpClient((200, ACTION_RESULT), (200, ACTION_RESULT), content_type=JSON)

    async def scenario() -> None:
        component = new_duties(RecordingHttpClient(), peer_sender(http))
        component.record_cache.holders = {duty: holder() for duty in duties.Duty}
        writer: Any = MagicMock()
        writer.guard.version, writer.value_limit = 9, 8192
        cloud = component.delegate(4, writer).cloud
        assert await cloud.provision(provision_request()) == ["m-1"]
        await cloud.delete(["m-1", "m-2"])

    run(scenario)
    common = {"token": 3, "term": 4, "lead_version": 9}
    provision = {
        "duty": "renting",
        **common,
        "rental": PROVISION_REQUEST,
        "deletion": None,
        "write": None,
    }
    delete = {"duty": "returning", **common, "rental": None, "deletion": DELETION, "write": None}
    http.check(("POST", "/duty", provision), ("POST", "/duty", delete))


REFUSED_RESULT = {
    "outcome": "refused", "machines": [], "why": "does not hold the duty", "revision": 0,
    "failed": [],
}  # fmt: skip


@pytest.mark.parametrize(
    ("path", "message", "status", "expected"),
    [
        ("/duty", ACTION_REQUEST, "200 OK", REFUSED_RESULT),
        ("/duty", {"duty": "no-such"}, "400 Bad Request", None),
        ("/duties/waiting", None, "200 OK", {}),
    ],
)
def test_responses_of_the_duties_routes(
    path: str, message: Any, status: str, expected: Any
) -> None:
    async def scenario() -> None:
        controller = new_controller(operator=OperatorSettings(duties=DutySettings()))
        response = await peer_request(controller, "POST", path, message)
        check_response(response, status, expected, JSON)

    run(scenario)


def test_status_of_duties_is_read_and_returned() -> None:
    stored = {
        "duties/on": {},
        "duties/holder/renting": HOLDER_RECORD,
        "duties/token/renting": {"token": 3, "latest": [HANDOVER]},
    }
    intent = {"token": 3, "term": 4, "rental": PROVISION_REQUEST, "deletion": None}
    leader_record = {"member": "hall-1", "term": 4, "lease": 7}
    state = RecordingHttpClient(
        (200, {"items": wire_items(stored), "epoch": 1}),
        (200, {"items": wire_items({"duty-act/renting/r-17": intent}), "epoch": 1}),
        (200, wire_items({"lead": leader_record})[0]),
    )
    http = RecordingHttpClient((200, {"renting": "x"}), content_type=JSON)

    async def scenario() -> None:
        status, value = await new_duties(state, peer_sender(http)).serve("/duties", b"")
        assert status == 200
        vacant = {"holder": None, "since": None, "token": 0, "outstanding": [], "handovers": []}
        expected = {
            "answered_by": "hall-0",
            "leader": "hall-1",
            "on": True,
            "duties": [
                DUTY_STATUS,
                *({"duty": d, **vacant, "waiting": None} for d in
                  ("returning", "reclaiming", "cleanup")),
            ],
        }  # fmt: skip
        check_bytes(encode(value, JSON), expected, JSON)

    run(scenario)
    state.check(
        ("GET", "/store?prefix=duties/&most=1000", None),
        ("GET", "/store?prefix=duty-act/&most=1000", None),
        ("GET", "/store/lead", None),
    )
    http.check(("POST", "/duties/waiting", None))


def wire_items(values: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"k": key, "data": value, "stamp": 1} for key, value in values.items()]


CELL_IDS = ["offer", "heartbeat", "user"]
CELL_CALLS: list[tuple[ClientCall, Any, Call, Any]] = [
    (
        lambda c: c.offer(handoff_offer()),
        HANDOFF_OFFER_RESPONSE,
        ("POST", "/cells/offer", HANDOFF_OFFER),
        cells.HandoffOfferResponse(True, "x", 5, 6, 23.5),
    ),
    (
        lambda c: c.heartbeat(cell_heartbeat()),
        CELL_HEARTBEAT_RESPONSE,
        ("POST", "/cells/heartbeat", CELL_HEARTBEAT),
        cell_heartbeat_response(),
    ),
    (
        lambda c: c.user_request(user_request()),
        USER_RESPONSE,
        ("POST", "/cells/user", USER_REQUEST),
        cells.UserResponse(200, QUEUED_STATUS),
    ),
]


@pytest.mark.parametrize(("use", "answer", "call", "expected"), CELL_CALLS, ids=CELL_IDS)
def test_requests_to_another_cell(use: ClientCall, answer: Any, call: Call, expected: Any) -> None:
    http = RecordingHttpClient((200, answer), content_type=JSON)

    async def scenario() -> None:
        assert await use(new_cell_client(http)) == expected

    run(scenario)
    http.check(call)


FROM_SOUTH = {"cell": "south", "to": "north"}
NO_NEIGHBOUR = {"error": "west is no neighbour of north"}
STALE_HEARTBEAT = {"error": "a later heartbeat was heard before"}
RESERVED_RESPONSE = {"reserved": True, "why": "", "term": 4, "sequence": 0, "lapse_s": 23.022}

CELL_REQUESTS: list[tuple[str, dict[str, Any], int, Any]] = [
    ("/cells/offer", HANDOFF_OFFER | FROM_SOUTH, 200, RESERVED_RESPONSE),
    ("/cells/offer", HANDOFF_OFFER | {"cell": "west", "to": "north"}, 403, NO_NEIGHBOUR),
    (
        "/cells/heartbeat",
        CELL_HEARTBEAT | FROM_SOUTH,
        200,
        CELL_HEARTBEAT_RESPONSE | {"term": 4, "room": []},
    ),
    (
        "/cells/heartbeat",
        CELL_HEARTBEAT | FROM_SOUTH | {"term": 0, "sequence": 0},
        409,
        STALE_HEARTBEAT,
    ),
    ("/cells/user", USER_REQUEST | FROM_SOUTH, 200, USER_RESPONSE),
    ("/cells/user", {}, 400, {"error": "Object missing required field `cell`"}),
    ("/cells/no-such", {}, 404, None),
]


@pytest.mark.parametrize(("path", "message", "status", "expected"), CELL_REQUESTS)
def test_responses_to_another_cell(path: str, message: Any, status: int, expected: Any) -> None:
    async def scenario() -> None:
        leader = new_cell_leader()
        handled: list[Any] = []

        async def reserve(received: Any) -> None:
            handled.append(received)

        async def query(job_id: str) -> Any:
            handled.append(job_id)
            return 200, QUEUED_STATUS

        def handle_heartbeat(received: Any, now: float) -> Any:
            handled.append(received)
            return cell_heartbeat_response().rulings

        leader.borrower.reserve, leader.jobs.query = reserve, query
        leader.home.handle_heartbeat = handle_heartbeat
        found_status, value = await leader.serve(path, encode(message, JSON))
        assert found_status == status
        check_bytes(encode(value, JSON), expected, JSON)
        if status == 200:
            assert msgspec.to_builtins(handled) in ([message], [message.get("job")])

    run(scenario)


def test_status_of_cells_is_returned() -> None:
    async def scenario() -> None:
        leader: Any = FakeLeader()
        leader.cells = new_cell_leader()
        controller = new_controller(leader, operator_with_cells())
        response = await peer_request(controller, "POST", "/cells")
        south = {"cell": "south", "answered_s": None, "machines_free": 0}
        expected = {
            "cell": "north", "leader": "hall-0", "cells": [south], "lent": [], "borrowed": [],
            "staying": {},
        }  # fmt: skip
        check_response(response, "200 OK", expected, JSON)

    run(scenario)


@pytest.mark.parametrize(
    ("path", "status", "expected"),
    [
        ("/cells/offer", "421 Misdirected Request", {"leader": None}),
        ("/cells", "503 Service Unavailable", {"error": "nobody leads"}),
    ],
)
def test_cells_requests_without_a_leader(path: str, status: str, expected: Any) -> None:
    async def scenario() -> None:
        response = await peer_request(
            new_controller(None, operator_with_cells()), "POST", path, HANDOFF_OFFER
        )
        check_response(response, status, expected, JSON)

    run(scenario)
