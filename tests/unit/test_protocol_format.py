"""Every message on the wire as a literal: what is sent, byte by byte, and how it is understood.

The literals belong to the protocols: they stay as they are whatever our own names become. Our own
names stand in the first part, and as few of them as possible below it.
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
from peathall.operator_config.file import load_operator
from peathall.operator_config.settings import Operator
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
Call = tuple[str, str, Any]  # method, path, value of the body; None: no body


# --- our own names: set-ups that are shared ----------------------------------------------------
def encoded(value: Any, kind: str = CBOR) -> bytes:
    return cbor2.dumps(value) if kind == CBOR else orjson.dumps(value)


def check_bytes(raw: bytes, expected: Any, kind: str = CBOR) -> None:
    """First the values, for a readable difference; then the bytes: order, 1 or 1.0."""
    assert (cbor2.loads(raw) if kind == CBOR else orjson.loads(raw)) == expected
    assert raw == encoded(expected, kind)


class RecordedHttp:
    """Stands in for an HTTP client: keeps what it was asked, gives the answers it was made with."""

    def __init__(self, *answers: tuple[int, Any], kind: str = CBOR) -> None:
        self.answers = list(answers)
        self.kind = kind
        self.calls: list[tuple[str, str, bytes]] = []
        self.in_flight = 0

    async def request(
        self, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        self.calls.append((method, path, body))
        status, value = self.answers.pop(0)
        return status, encoded(value, self.kind)

    def close(self) -> None:
        pass

    def check(self, *expected: Call) -> None:
        assert [call[:2] for call in self.calls] == [call[:2] for call in expected]
        for (_, _, raw), (_, _, value) in zip(self.calls, expected, strict=True):
            if value is None:
                assert raw == b""
            else:
                check_bytes(raw, value, self.kind)


class CannedLeader:
    """Stands in for a leader: gives one answer to everything, keeps what it was asked."""

    cells = None

    def __init__(self, *answer: Any) -> None:
        self.answer = answer
        self.asked: list[Any] = []

    def is_active(self) -> bool:
        return True

    async def accept(self, spec: Any) -> JobResponse:
        self.asked.append(spec_to_record(spec))
        return JobResponse(*self.answer)

    async def query(self, job_id: str) -> JobResponse:
        self.asked.append(("query", job_id))
        return JobResponse(*self.answer)

    async def cancel(self, job_id: str) -> JobResponse:
        self.asked.append(("cancel", job_id))
        return JobResponse(*self.answer)

    async def handle_heartbeat(self, report: Any) -> Any:
        self.asked.append(report_values(report))
        return self.answer


def report_values(report: Any) -> dict[str, Any]:
    """A report as we understand it."""
    return {
        "worker": (report.machine, report.addr, report.type, report.zone, report.spot),
        "order": (report.epoch, report.sequence),
        "token": report.fencing_token,
        "notice_s": report.notice_s,
        "tasks": [
            (
                t.job,
                t.task,
                t.attempt,
                t.state.name,
                t.exit_reason and t.exit_reason.name,
                t.checkpointed,
            )
            for t in report.tasks
        ],
    }


def new_node(leader: CannedLeader | None = None, operator: Operator | None = None) -> Any:
    node: Any = Controller(parse(SETTINGS), operator or Operator(), lambda: 5.0)
    node.assemble()
    node.leader = leader
    return node


def peer_answers(node: Any, *answers: tuple[int, Any]) -> RecordedHttp:
    """The other controller gives these answers."""
    http = RecordedHttp(*answers, kind=JSON)
    node.peers.views["hall-1"].client = http
    return http


async def ping(node: Any) -> None:
    task = asyncio.create_task(node.peers.ping_all())
    for _ in range(5):
        await asyncio.sleep(0)
    task.cancel()


async def following(*answers: tuple[int, Any]) -> tuple[Any, RecordedHttp]:
    """A node that hall-1 has told that it leads, and the line to hall-1."""
    node = new_node()
    peer_answers(node, (200, {"leads": True}))
    await ping(node)
    return node, peer_answers(node, *answers)


async def from_outside(node: Any, method: str, path: str, value: Any = None) -> Response:
    """The answer to a user's or worker's request."""
    raw = b"" if value is None else encoded(value)
    response: Response = await node.public_routes.serve(Request(method, path, "", raw))
    return response


async def from_controller(
    node: Any, method: str, path: str, value: Any = None, query: str = ""
) -> Response:
    """The answer to another controller's request."""
    raw = b"" if value is None else encoded(value, JSON)
    response: Response = await node.peer_server.serve(Request(method, path, query, raw))
    return response


def new_state_client(http: RecordedHttp) -> Any:
    limits = parse(SETTINGS).params.state
    client: Any = store.StoreClient("10.9.0.1:2", limits, 2)
    client.http = client.watch_http = http
    return client


def new_cloud_client(http: RecordedHttp) -> Any:
    limits = parse(SETTINGS).params.cloud
    client: Any = CloudClient("10.9.0.1:1", limits, lambda: True)
    client.http = http
    return client


def new_cell_client(http: RecordedHttp) -> Any:
    client: Any = CellClient(Neighbour("south", ["10.0.1.1:8081"]), lambda: True, lambda: 0.0)
    client.clients = [http]
    return client


def new_cell_leader() -> Any:
    """The leader of cell north, which has no machines, in term 4."""
    stub: Any = MagicMock()
    stub.term, stub.types = 4, {}
    operator = cells_operator()
    params = parse(SETTINGS).params
    leader: Any = CellLeader(
        operator.cells, stub, params, stub, stub, stub, stub,
        CellEnvironment(lambda: 0.0, lambda: True, lambda: True, random.Random(1)),
    )  # fmt: skip
    return leader


def new_duties(state: RecordedHttp, send: Any) -> Any:
    return Duties(
        parse(SETTINGS), DutySettings(), new_state_client(state), send,
        lambda: True, lambda: 5.0, random.Random(1),
    )  # fmt: skip


def cells_operator() -> Operator:
    own = {"name": "north", "neighbour": [{"name": "south", "controller": ["10.0.1.1:8081"]}]}
    return msgspec.convert({"cells": own}, Operator)


def check_response(
    response: Response, status: str, value: Any, kind: str = CBOR, more: Iterable[str] = ()
) -> None:
    """The whole response, head and body."""
    raw = b"" if value is NO_BODY else encoded(value, kind)
    head, _, body = response.encode().partition(b"\r\n\r\n")
    if raw:
        check_bytes(body, value, kind)
    assert body == raw
    assert head.decode().split("\r\n") == [
        f"HTTP/1.1 {status}", f"Content-Type: {kind}", f"Content-Length: {len(raw)}", *more,
    ]  # fmt: skip


NO_BODY = object()
RETRY = ("Retry-After: 1",)


def run(play: Callable[[], Awaitable[None]]) -> None:
    async def all_of_it() -> None:
        await play()

    asyncio.run(all_of_it())


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

SETTINGS_READ = {
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
    read = parse(SETTINGS)
    assert msgspec.to_builtins(read) == SETTINGS_READ
    assert (read.name, read.zone, read.listen, read.peer_listen) == (
        "hall-0", "a", "10.0.0.1:8080", "10.0.0.1:8081",
    )  # fmt: skip
    peer, aim = read.peers[0], read.params.objectives[0]
    assert (peer.name, peer.zone, peer.addr) == ("hall-1", "b", "10.0.0.2:8081")
    assert (aim.kind, aim.class_name) == ("wait", "train")


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

OPERATOR_READ = {
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
def test_operators_file_in_both_forms(text: str, tmp_path: Path) -> None:
    file = tmp_path / "operator.textproto"
    file.write_text(text)
    assert msgspec.to_builtins(load_operator(str(file))) == OPERATOR_READ


# --- users -------------------------------------------------------------------------------------
SUBMISSION: dict[str, Any] = {
    "id": "j-000412", "docket": "train", "desk": "vision", "shape": "ensemble",
    "precedence": "high", "parcels": 16, "vcpus": 8.0, "cards": 1.0, "ram_gb": 64.0,
    "kit": "img-07", "image_gb": 6.5, "builds": ["g8"], "ward": "a", "together": True,
    "scatter": False, "standby": True, "reckon_s": 240.0, "tally_s": 30.0, "stow_s": 4.0,
    "due_s": 900.0,
}  # fmt: skip

# Between controllers and in the state service.
RECORD: dict[str, Any] = {
    "id": "j-000412", "class_name": "train", "team": "vision", "gang": True, "priority": 1,
    "tasks": 16, "cpus": 8.0, "gpus": 1.0, "ram": 64.0, "image": "img-07", "image_gb": 6.5,
    "types": ["g8"], "zone": "a", "one_zone": True, "spread": False, "spot": True,
    "estimate_s": 240.0, "checkpoint_s": 30.0, "save_s": 4.0, "deadline_s": 900.0,
    "submitted": 5.0, "daemon": False,
}  # fmt: skip

UNDERSTOOD: list[tuple[dict[str, Any], dict[str, Any]]] = [
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

QUEUED = {"id": "j-000412", "standing": "queued", "done": 0, "running": 0}


@pytest.mark.parametrize(("change", "meaning"), UNDERSTOOD, ids=repr)
def test_submission_is_understood(change: dict[str, Any], meaning: dict[str, Any]) -> None:
    async def play() -> None:
        leader = CannedLeader(201, encode_job_status("j-000412", JobStatus("queued")))
        response = await from_outside(new_node(leader), "POST", "/work", SUBMISSION | change)
        check_response(response, "201 Created", QUEUED)
        check_bytes(encoded(leader.asked, JSON), [RECORD | meaning], JSON)

    run(play)


@pytest.mark.parametrize("field", [f for f in SUBMISSION if f not in ("builds", "ward", "due_s")])
def test_submission_without_a_field_is_malformed(field: str) -> None:
    async def play() -> None:
        left = {k: v for k, v in SUBMISSION.items() if k != field}
        response = await from_outside(new_node(CannedLeader(404, None)), "POST", "/work", left)
        why = {"error": f"Object missing required field `{field}`"}
        check_response(response, "400 Bad Request", why)

    run(play)


INVALID: list[tuple[Any, str]] = [
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


@pytest.mark.parametrize(("value", "why"), INVALID, ids=lambda x: x if isinstance(x, str) else "")
def test_invalid_submission_is_malformed(value: Any, why: str) -> None:
    async def play() -> None:
        response = await from_outside(new_node(CannedLeader(404, None)), "POST", "/work", value)
        check_response(response, "400 Bad Request", {"error": why})

    run(play)


STANDINGS = ["queued", "running", "done", "aborted"]


def test_standings_are_all_listed() -> None:
    assert [standing.value for standing in JobStatus] == STANDINGS


@pytest.mark.parametrize("standing", STANDINGS)
@pytest.mark.parametrize(
    ("method", "path", "asked"),
    [
        ("GET", "/work/j-000412", ("query", "j-000412")),
        ("POST", "/work/j-000412/withdraw", ("cancel", "j-000412")),
    ],
)
def test_state_of_a_job(method: str, path: str, asked: Any, standing: str) -> None:
    async def play() -> None:
        told = encode_job_status("j-000412", JobStatus(standing), 3, 13)
        leader = CannedLeader(200, told)
        response = await from_outside(new_node(leader), method, path)
        expected = {"id": "j-000412", "standing": standing, "done": 3, "running": 13}
        check_response(response, "200 OK", expected)
        assert leader.asked == [asked]

    run(play)


ERRORS: list[tuple[tuple[int, Any], str, Any, Any]] = [
    ((400, {"error": "x"}), "400 Bad Request", {"error": "x"}, ()),
    ((404, None), "404 Not Found", {}, ()),
    ((422, {"error": "unknown team"}), "422 Unprocessable Content", {"error": "unknown team"}, ()),
    ((429, None), "429 Too Many Requests", {}, RETRY),
    ((503, None), "503 Service Unavailable", {}, RETRY),
    ((504, None), "504 Gateway Timeout", {}, RETRY),
]


@pytest.mark.parametrize(("answer", "status", "value", "more"), ERRORS, ids=lambda x: str(x)[:3])
def test_errors_as_users_are_told(answer: Any, status: str, value: Any, more: Any) -> None:
    check_response(user_response(answer), status, value, more=more)


@pytest.mark.parametrize(
    ("method", "path", "status", "value", "more"),
    [
        ("GET", "/healthz", "200 OK", NO_BODY, ()),
        ("POST", "/healthz", "405 Method Not Allowed", NO_BODY, ()),
        ("GET", "/work", "405 Method Not Allowed", NO_BODY, ()),
        ("GET", "/checkin", "405 Method Not Allowed", NO_BODY, ()),
        ("GET", "/nowhere", "404 Not Found", {"error": "no such path"}, ()),
        ("GET", "/work/x-1", "404 Not Found", {"error": "no such job"}, ()),
        ("POST", "/work/j-1/withdraw", "503 Service Unavailable", {}, RETRY),
    ],
)
def test_paths_without_a_leader(method: str, path: str, status: str, value: Any, more: Any) -> None:
    async def play() -> None:
        node = new_node()
        node.store.last_response_at = node.loop.time()  # not cut off: connections stay open
        check_response(await from_outside(node, method, path), status, value, more=more)

    run(play)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"desk": "no-such", "parcels": 2}, "unknown team"),
        ({"parcels": 3}, "needs more than its team's limit"),
        ({"builds": ["c4"], "parcels": 1}, "a task fits no allowed machine type"),
    ],
)
def test_job_that_can_never_run(change: dict[str, Any], why: str) -> None:
    async def play() -> None:
        node, _ = alone_with_the_store((404, {"epoch": 1}))
        response = await from_outside(node, "POST", "/work", SUBMISSION | change)
        check_response(response, "422 Unprocessable Content", {"error": why})

    run(play)


def alone_with_the_store(answer: tuple[int, Any]) -> tuple[Any, RecordedHttp]:
    """A node without a leader, and its line to a state service that holds no job yet."""
    node = new_node()
    nothing_listed = {"items": [], "more": False, "epoch": 1}
    node.store.http = RecordedHttp((200, nothing_listed), (200, {"epoch": 1, "news": []}), answer)
    node.follower_service.set_types([decode_machine_type(BUILD)])
    return node, node.store.http


def test_job_is_stored_without_a_leader() -> None:
    async def play() -> None:
        node, state = alone_with_the_store((200, {"epoch": 2}))
        response = await from_outside(node, "POST", "/work", SUBMISSION | {"parcels": 2})
        check_response(response, "201 Created", QUEUED)
        absent = [{"k": "live/job/j-000412", "stamp": 0}, {"k": "past/j-000412", "stamp": 0}]
        stored = [{"write": "live/job/j-000412", "data": RECORD | {"tasks": 2}}]
        state.check(
            ("GET", "/store?prefix=live/&most=1000", None),
            ("GET", "/watch?prefix=live/&after=1&hold_ms=0", None),
            ("POST", "/commit", {"when": absent, "apply": stored}),
        )

    run(play)


# --- workers -----------------------------------------------------------------------------------
REPORT: dict[str, Any] = {
    "hall": "m-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "ward": "a",
    "standby": True, "tenure": 1, "tick": 88, "mandate": 41, "recall_s": 20.5, "parcels": [],
}  # fmt: skip
UNDERSTOOD_REPORT: dict[str, Any] = {
    "worker": ("m-000231", "10.1.0.232:9000", "g8", "a", True),
    "order": (1, 88),
    "token": 41,
    "notice_s": 20.5,
    "tasks": [],
}
LEAST_REPORT = {"hall": "m-000231", "tenure": 2, "tick": 3}
UNDERSTOOD_LEAST = {
    "worker": ("m-000231", "", "", "", False),
    "order": (2, 3),
    "token": 0,
    "notice_s": None,
    "tasks": [],
}

TASKS: list[tuple[dict[str, Any], tuple[Any, ...]]] = [
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


async def heard(report: dict[str, Any]) -> Any:
    leader = CannedLeader(200, {})
    response = await from_outside(new_node(leader), "POST", "/checkin", report)
    check_response(response, "200 OK", {})
    return leader.asked


@pytest.mark.parametrize(("task", "meaning"), TASKS, ids=repr)
def test_task_of_a_report(task: dict[str, Any], meaning: tuple[Any, ...]) -> None:
    async def play() -> None:
        told = {"parcel": "j-000412/3", "try": 2, **task}
        expected = UNDERSTOOD_REPORT | {"tasks": [("j-000412", 3, 2, *meaning)]}
        assert await heard(REPORT | {"parcels": [told]}) == [expected]

    run(play)


@pytest.mark.parametrize(
    ("report", "meaning"),
    [
        (REPORT, UNDERSTOOD_REPORT),
        (REPORT | {"recall_s": None}, UNDERSTOOD_REPORT | {"notice_s": None}),
        (LEAST_REPORT, UNDERSTOOD_LEAST),
    ],
    ids=["all", "no notice", "least"],
)
def test_report_of_a_worker(report: dict[str, Any], meaning: dict[str, Any]) -> None:
    async def play() -> None:
        assert await heard(report) == [meaning]

    run(play)


@pytest.mark.parametrize("field", ["hall", "tenure", "tick"])
def test_report_without_a_field_is_malformed(field: str) -> None:
    async def play() -> None:
        left = {k: v for k, v in REPORT.items() if k != field}
        response = await from_outside(new_node(CannedLeader(200, {})), "POST", "/checkin", left)
        why = {"error": f"Object missing required field `{field}`"}
        check_response(response, "400 Bad Request", why)

    run(play)


START = {"writ": "start", "parcel": "j-000412/4", "try": 2}
STOP = {"writ": "stop", "parcel": "j-000377/1", "try": 1, "leave_s": 10.0}
FORGET = {"writ": "forget", "parcel": "j-000398/0", "try": 3}


def writs() -> list[Command]:
    return [
        StartCommand("j-000412", 4, 2),
        StopCommand("j-000377", 1, 1, 10.0),
        ForgetCommand("j-000398", 0, 3),
    ]


def test_answer_to_a_report() -> None:
    async def play() -> None:
        node = new_node(CannedLeader(200, encode_heartbeat_response(41, writs())))
        response = await from_outside(node, "POST", "/checkin", REPORT)
        check_response(response, "200 OK", {"mandate": 41, "writs": [START, STOP, FORGET]})

    run(play)


def test_report_that_is_not_answered_now() -> None:
    async def play() -> None:
        response = await from_outside(new_node(CannedLeader(503, {})), "POST", "/checkin", REPORT)
        check_response(response, "503 Service Unavailable", {"error": "not entitled now"})

    run(play)


def test_report_is_sent_to_the_leader() -> None:
    async def play() -> None:
        node, _ = await following()
        response = await from_outside(node, "POST", "/checkin", REPORT)
        check_response(response, "421 Misdirected Request", {"steward": "hall-1"})

    run(play)


def test_report_without_a_leader() -> None:
    async def play() -> None:
        response = await from_outside(new_node(), "POST", "/checkin", REPORT)
        check_response(response, "421 Misdirected Request", {"error": "no leader"})

    run(play)


def test_direct_commands_and_their_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    http = RecordedHttp((200, REPORT))
    monkeypatch.setattr(delivery, "HttpClient", lambda *_, **__: http)
    told: list[Any] = []

    async def play() -> None:
        source: Any = SimpleNamespace(
            commands_due=lambda _: encode_commands(41, 1, writs()),
            note_command_response=lambda _, report: told.append(report_values(report)),
        )
        machine = Machine("m-000231", "g8", "a", True, MachinePhase.UP)
        machine.addr = "10.1.0.232:9000"
        sender = delivery.CommandDelivery(source, lambda: True, 2, 1.0)
        sender.push(machine)
        await asyncio.gather(*sender.requests_in_flight.values())

    run(play)
    http.check(("POST", "/commands", {"mandate": 41, "tenure": 1, "writs": [START, STOP, FORGET]}))
    assert told == [UNDERSTOOD_REPORT]


def test_inspection(monkeypatch: pytest.MonkeyPatch) -> None:
    http = RecordedHttp((200, REPORT))
    monkeypatch.setattr(probes, "HttpClient", lambda *_, **__: http)

    async def play() -> None:
        machine = Machine("m-000231", "g8", "a", True, MachinePhase.UP)
        machine.addr, machine.replicas = "10.1.0.232:9000", 1
        health: Any = MagicMock()
        health.expected_machines.return_value = [machine]
        probes.LivenessProbes(health, lambda: True).tick(0.0)
        for _ in range(5):
            await asyncio.sleep(0)

    run(play)
    http.check(("GET", "/inspect", None))


# --- cloud -------------------------------------------------------------------------------------
BUILD: dict[str, Any] = {
    "label": "g8", "vcpus": 96.0, "cards": 8.0, "ram_gb": 768.0, "cache_gb": 200.0,
    "pull_gb_per_s": 1.5, "rate": 12.0, "market_price": 4.5, "startup_s": 45.0,
    "wards": ["a", "b"],
}  # fmt: skip
HALL: dict[str, Any] = {
    "id": "m-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "ward": "a",
    "standby": True, "standing": "running", "held_s": 61.5,
}  # fmt: skip


def test_machine_types() -> None:
    http = RecordedHttp((200, {"builds": [BUILD, {"label": "c", "vcpus": 4, "ram_gb": 8}]}))

    async def play() -> None:
        full, least = await new_cloud_client(http).types()
        assert msgspec.structs.astuple(full) == (
            "g8", 96.0, 8.0, 768.0, 200.0, 1.5, 12.0, 4.5, 45.0, ["a", "b"],
        )  # fmt: skip
        assert msgspec.structs.astuple(least) == (
            "c", 4.0, 0.0, 8.0, 0.0, 1.0, 0.0, 0.0, 60.0, [],
        )  # fmt: skip
        check_bytes(encoded(encode_machine_type(full)), BUILD)

    run(play)
    http.check(("GET", "/machine_types", None))


HIRE = {"hire": "r-17", "build": "g8", "ward": "a", "standby": True, "how_many": 12}


def rental() -> ProvisionRequest:
    return ProvisionRequest("r-17", "g8", "a", True, 12)


def test_hire() -> None:
    http = RecordedHttp((200, {"halls": ["m-000231", "m-000232"]}))

    async def play() -> None:
        assert await new_cloud_client(http).provision(rental()) == ["m-000231", "m-000232"]

    run(play)
    http.check(("POST", "/hosts", HIRE))


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((503, {"error": "no capacity"}), NoCapacityError),
        ((503, {"error": "trouble"}), CloudError),
        ((400, {"error": "malformed"}), CloudError),
        ((429, {}), CloudError),
    ],
)
def test_hire_that_is_refused(answer: tuple[int, Any], error: type[Exception]) -> None:
    async def play() -> None:
        with pytest.raises(error):
            await new_cloud_client(RecordedHttp(answer)).provision(rental())

    run(play)


def test_deletion_of_machines() -> None:
    http = RecordedHttp((200, {}))
    run(lambda: new_cloud_client(http).delete(["m-000231", "m-000232"]))
    http.check(("POST", "/hosts/delete", {"halls": ["m-000231", "m-000232"]}))


def test_machine_list_in_pages() -> None:
    later = {"id": "m-000232", "standing": "starting"}
    http = RecordedHttp(
        (200, {"halls": [HALL], "more": True}), (200, {"halls": [later], "more": False})
    )

    async def play() -> None:
        found = await new_cloud_client(http).machines()
        assert [msgspec.structs.astuple(machine) for machine in found] == [
            ("m-000231", "10.1.0.232:9000", "g8", "a", True, "running", 61.5),
            ("m-000232", "", "", "", False, "starting", 0.0),
        ]

    run(play)
    http.check(("GET", "/hosts?most=500", None), ("GET", "/hosts?most=500&after=m-000231", None))


# --- state service -----------------------------------------------------------------------------
ITEM = {"k": "a/b", "data": {"x": 1}, "stamp": 412, "tenancy": 7}
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
NEWS = (433, [("c/9", 433, {"x": 1}, False), ("c/d", 432, None, True)])


def plain(value: Any) -> Any:
    """Records as plain tuples."""
    if isinstance(value, msgspec.Struct):
        return msgspec.structs.astuple(value)
    return type(value)(map(plain, value)) if isinstance(value, (list, tuple)) else value


async def commit(client: Any) -> Any:
    puts = [store.Put("a/b", {"x": 1}), store.Put("a/c", [2], 7)]
    return await client.commit({"a/b": 0, "a/c": 9}, [*puts, store.Delete("c/d")])


Use = Callable[[Any], Awaitable[Any]]
GET_CALL: Call = ("GET", "/store/a/b", None)
COMMIT_CALL: Call = ("POST", "/commit", COMMIT)
WATCH_CALL: Call = ("GET", "/watch?prefix=c/&after=431&hold_ms=6000", None)
LEASE_CALL: Call = ("POST", "/leases", {"ttl_ms": 5000})
RENEW_CALL: Call = ("POST", "/leases/7/renew", {})

STATE_CALLS: list[tuple[str, Use, tuple[int, Any], Call, Any]] = [
    ("get", lambda c: c.get("a/b"), (200, ITEM), GET_CALL, ("a/b", {"x": 1}, 412)),
    ("get none", lambda c: c.get("a/b"), (404, {"epoch": 431}), GET_CALL, None),
    ("commit", commit, (200, {"epoch": 432}), COMMIT_CALL, 432),
    ("lease", lambda c: c.grant_lease(5.0), (200, {"tenancy": 7}), LEASE_CALL, 7),
    ("renew", lambda c: c.renew_lease(7, 1.0), (200, {}), RENEW_CALL, None),
    ("end", lambda c: c.revoke_lease(7), (200, {}), ("DELETE", "/leases/7", None), None),
    ("watch", lambda c: c.watch("c/", 431), (200, CHANGES), WATCH_CALL, NEWS),
    ("too old", lambda c: c.watch("c/", 431), (410, {}), WATCH_CALL, None),
    (
        "news",
        lambda c: c.changes_since("c/", 431),
        (200, CHANGES),
        ("GET", "/watch?prefix=c/&after=431&hold_ms=0", None),
        NEWS,
    ),
]


@pytest.mark.parametrize(
    ("use", "answer", "call", "expected"),
    [case[1:] for case in STATE_CALLS],
    ids=[case[0] for case in STATE_CALLS],
)
def test_calls_of_the_state_service(use: Use, answer: Any, call: Call, expected: Any) -> None:
    http = RecordedHttp(answer)

    async def play() -> None:
        assert plain(await use(new_state_client(http))) == expected

    run(play)
    http.check(call)


STATE_ERRORS: list[tuple[Use, tuple[int, Any], type[Exception]]] = [
    (commit, (409, {"failed": ["a/b"], "epoch": 431}), store.ConflictError),
    (commit, (400, {"error": "no such lease"}), store.LeaseExpiredError),
    (commit, (400, {"error": "too large"}), store.InvalidTransactionError),
    (commit, (429, {}), store.RateLimitError),
    (commit, (503, {}), store.StoreError),
    (lambda c: c.renew_lease(7, 1.0), (404, {}), store.LeaseExpiredError),
]


@pytest.mark.parametrize(("use", "answer", "error"), STATE_ERRORS)
def test_errors_of_the_state_service(use: Use, answer: Any, error: type[Exception]) -> None:
    async def play() -> None:
        with pytest.raises(error) as raised:
            await use(new_state_client(RecordedHttp(answer)))
        assert type(raised.value) is error
        assert getattr(raised.value, "failed", ["a/b"]) == ["a/b"]

    run(play)


def test_scan_in_pages() -> None:
    first = {"k": "c/7", "data": {"x": 1}, "stamp": 5}
    second = {"k": "c/8", "data": None, "stamp": 6}
    http = RecordedHttp(
        (200, {"items": [first], "more": True, "epoch": 431}),
        (200, {"items": [second], "more": False, "epoch": 440}),
    )

    async def play() -> None:
        found = await new_state_client(http).scan("c/")
        assert plain(found) == ([("c/7", {"x": 1}, 5), ("c/8", None, 6)], 431)

    run(play)
    http.check(
        ("GET", "/store?prefix=c/&most=1000", None),
        ("GET", "/store?prefix=c/&most=1000&after=c/7", None),
    )


# --- controllers among themselves --------------------------------------------------------------
@pytest.mark.parametrize(
    ("query", "expected"),
    [("", {"leads": False}), ("knocks", {"leads": False, "knocks": {"m-000231": [1, 88]}})],
)
def test_ping_is_answered(query: str, expected: dict[str, Any]) -> None:
    async def play() -> None:
        node = new_node()
        await from_outside(node, "POST", "/checkin", REPORT)  # is turned away
        response = await from_controller(node, "GET", "/ping", query=query)
        check_response(response, "200 OK", expected, JSON)

    run(play)


@pytest.mark.parametrize(("leads", "path"), [(False, "/ping"), (True, "/ping?knocks")])
def test_ping_is_sent_and_its_answer_understood(leads: bool, path: str) -> None:
    async def play() -> None:
        node = new_node()
        node.peers.is_leader = lambda: leads
        http = peer_answers(node, (200, {"leads": True, "knocks": {"m-000231": [1, 88]}}))
        await ping(node)
        http.check(("GET", path, None))
        assert node.peers.leader_name() == "hall-1"
        assert node.peers.heartbeats_elsewhere(node.loop.time()) == {"m-000231": (1, 88)}

    run(play)


FORWARDED = [
    ("POST", "/work", SUBMISSION, {"op": "accept", "job": RECORD}, RECORD),
    ("GET", "/work/j-1", None, {"op": "query", "id": "j-1"}, ("query", "j-1")),
    ("POST", "/work/j-1/withdraw", None, {"op": "cancel", "id": "j-1"}, ("cancel", "j-1")),
]


@pytest.mark.parametrize(("method", "path", "value", "message", "asked"), FORWARDED)
def test_forwarded_request(method: str, path: str, value: Any, message: Any, asked: Any) -> None:
    async def play() -> None:
        node, http = await following((200, QUEUED))
        check_response(await from_outside(node, method, path, value), "200 OK", QUEUED)
        http.check(("POST", "/forward", message))
        leader = CannedLeader(200, QUEUED)
        response = await from_controller(new_node(leader), "POST", "/forward", message)
        check_response(response, "200 OK", QUEUED, JSON)
        assert leader.asked == [asked]

    run(play)


@pytest.mark.parametrize(
    ("leader", "method", "path", "message", "status"),
    [
        (None, "POST", "/forward", {"op": "query", "id": "j-1"}, "503 Service Unavailable"),
        (CannedLeader(200, {}), "POST", "/forward", [1], "400 Bad Request"),
        (CannedLeader(200, {}), "POST", "/forward", {"op": "query"}, "400 Bad Request"),
        (None, "POST", "/nowhere", {}, "404 Not Found"),
        (None, "POST", "/duty", {}, "404 Not Found"),
        (None, "POST", "/cells", {}, "404 Not Found"),
    ],
)
def test_controller_is_refused(
    leader: Any, method: str, path: str, message: Any, status: str
) -> None:
    async def play() -> None:
        response = await from_controller(new_node(leader), method, path, message)
        check_response(response, status, None, JSON)

    run(play)


# --- duties and cells: every message, made by position and read back ----------------------------
RENTAL = {"request": "r-17", "type": "g8", "zone": "a", "spot": True, "count": 12}
DELETION = {"name": "d-4-1", "machines": ["m-1", "m-2"]}
WORK = {
    "name": "w-1",
    "conditions": {"a/b": 0},
    "puts": [{"key": "a/b", "value": {"x": 1}}],
    "drops": ["c/d"],
}
HOLDER = {"member": "hall-1", "token": 3, "lease": 7, "since": 5.5, "vacant_s": 1.5}
HANDOVER = {"member": "hall-1", "token": 3, "vacant_s": 1.5}
NO_ACT: dict[str, Any] = {"rental": None, "deletion": None}
ACT_REQUEST = {
    "duty": "renting", "token": 3, "term": 4, "lead_version": 9,
    "rental": RENTAL, "deletion": DELETION, "write": WORK,
}  # fmt: skip
ACT_ANSWER = {
    "outcome": "done", "machines": ["m-1"], "why": "x", "revision": 8, "failed": ["a/b"],
}  # fmt: skip
OFFER = {"cell": "north", "to": "south", "term": 4, "epoch": 2, "job": RECORD}
OFFER_ANSWER = {"reserved": True, "why": "x", "term": 5, "sequence": 6, "lapse_s": 23.5}
BORROWED = {"job": "j-1", "epoch": 2, "phase": "adopted", "stopping": True, "running": 3}
ROOM = ["g8", "a", True, 8, 1, 64, 5]
HEARTBEAT = {
    "cell": "north", "to": "south", "term": 4, "sequence": 6, "home_term": 5, "lapse_s": 23.5,
    "borrowed": [BORROWED], "room": [ROOM],
}  # fmt: skip
RULING = {"job": "j-1", "epoch": 2, "verdict": "granted", "lease_s": 30.0}
HEARTBEAT_ANSWER = {"term": 5, "rulings": [RULING], "room": [ROOM]}
USER_REQUEST = {"cell": "north", "to": "south", "operation": "query", "job": "j-1"}
USER_ANSWER = {"status": 200, "value": QUEUED}
DUTY_STATUS = {
    "duty": "renting", "holder": "hall-1", "since": 5.5, "token": 3, "outstanding": ["r-17"],
    "handovers": [HANDOVER], "waiting": "x",
}  # fmt: skip
LENT = {"job": "j-1", "cell": "south", "phase": "granted", "lease_left_s": 29.5}


def deletion() -> Any:
    return duties.Deletion("d-4-1", ["m-1", "m-2"])


def work() -> Any:
    puts = [duties.StoredValue("a/b", {"x": 1})]
    return duties.StoreTransaction("w-1", {"a/b": 0}, puts, ["c/d"])


def handover() -> Any:
    return duties.Handover("hall-1", 3, 1.5)


def holder() -> Any:
    return duties.HolderRecord("hall-1", 3, 7, 5.5, 1.5)


def room() -> Any:
    return cells.CapacityRow("g8", "a", True, 8, 1, 64, 5)


def offer() -> Any:
    return cells.HandoffOffer("north", "south", 4, 2, RECORD)


def heartbeat() -> Any:
    borrowed = cells.BorrowedJobStatus("j-1", 2, cells.BorrowPhase("adopted"), True, 3)
    return cells.CellHeartbeat("north", "south", 4, 6, 5, 23.5, [borrowed], [room()])


def heartbeat_answer() -> Any:
    ruling = cells.Ruling("j-1", 2, cells.Verdict("granted"), 30.0)
    return cells.CellHeartbeatResponse(5, [ruling], [room()])


def user_request() -> Any:
    return cells.UserRequest("north", "south", "query", "j-1")


MESSAGES: list[tuple[msgspec.Struct, Any]] = [
    (TermRecord(4, True), {"n": 4, "cells": True}),
    (TermRecord(4), {"n": 4}),
    (LeaderRecord("hall-1", 4, 7), {"member": "hall-1", "term": 4, "lease": 7}),
    (rental(), RENTAL),
    (holder(), HOLDER),
    (duties.TokenRecord(3, [handover()]), {"token": 3, "latest": [HANDOVER]}),
    (duties.ActionIntent(3, 4), {"token": 3, "term": 4, **NO_ACT}),
    (
        duties.ActionIntent(3, 4, rental(), deletion()),
        {"token": 3, "term": 4, "rental": RENTAL, "deletion": DELETION},
    ),
    (
        duties.ActionRequest(duties.Duty("renting"), 3, 4, 9, rental(), deletion(), work()),
        ACT_REQUEST,
    ),
    (duties.ActionResult(duties.Outcome("done"), ["m-1"], "x", 8, ["a/b"]), ACT_ANSWER),
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
        cells.BorrowedRecord(2, "north", cells.BorrowPhase("adopted"), RECORD),
        {"epoch": 2, "home": "north", "phase": "adopted", "job": RECORD},
    ),
    (offer(), OFFER),
    (cells.HandoffOfferResponse(True, "x", 5, 6, 23.5), OFFER_ANSWER),
    (heartbeat(), HEARTBEAT),
    (heartbeat_answer(), HEARTBEAT_ANSWER),
    (user_request(), USER_REQUEST),
    (cells.UserResponse(200, QUEUED), USER_ANSWER),
    (
        CellsStatus(
            "north", "hall-1", [CellStatus("south", 1.5, 4)],
            [HandoffStatus("j-1", "south", "granted", 29.5)], [], {"j-4": "x"},
        ),
        {
            "cell": "north", "leader": "hall-1",
            "cells": [{"cell": "south", "answered_s": 1.5, "machines_free": 4}],
            "lent": [LENT], "borrowed": [], "staying": {"j-4": "x"},
        },
    ),
]  # fmt: skip


@pytest.mark.parametrize(("message", "literal"), MESSAGES, ids=lambda x: type(x).__name__)
def test_message_between_controllers(message: msgspec.Struct, literal: Any) -> None:
    check_bytes(encoded(msgspec.to_builtins(message), JSON), literal, JSON)
    read = msgspec.convert(orjson.loads(encoded(literal, JSON)), type(message))
    assert read == message


WORDS: list[tuple[Any, list[str]]] = [
    (duties.Duty, ["renting", "returning", "reclaiming", "cleanup"]),
    (duties.Outcome, ["done", "no-capacity", "conflict", "invalid", "pending", "refused"]),
    (cells.HandoffPhase, ["offered", "granted", "revoked", "returned", "ended"]),
    (cells.BorrowPhase, ["reserved", "adopted", "ended", "released"]),
    (cells.Verdict, ["pending", "granted", "revoked"]),
]


@pytest.mark.parametrize(("kind", "words"), WORDS, ids=lambda x: getattr(x, "__name__", ""))
def test_words_between_controllers(kind: Any, words: list[str]) -> None:
    assert [word.value for word in kind] == words


def test_keys_between_controllers() -> None:
    duty = duties.Duty("renting")
    assert (duties.ENABLED_KEY, duty.holder_key, duty.token_key, duty.action_prefix) == (
        "duties/on", "duties/holder/renting", "duties/token/renting", "duty-act/renting/",
    )  # fmt: skip
    assert (cells.HANDOFF, records.BORROWED_PREFIX) == ("handoff/", "borrowed/")


def sender(http: RecordedHttp) -> Any:
    """Sends to other controllers by way of this line."""

    async def send(name: str, path: str, raw: bytes, timeout: float) -> tuple[int, bytes]:
        assert name == "hall-1"
        return await http.request("POST", path, raw, timeout)

    return send


def test_order_to_the_holder_of_a_duty() -> None:
    http = RecordedHttp((200, ACT_ANSWER), (200, ACT_ANSWER), kind=JSON)

    async def play() -> None:
        part = new_duties(RecordedHttp(), sender(http))
        part.record_cache.holders = {duty: holder() for duty in duties.Duty}
        writer: Any = MagicMock()
        writer.guard.version = 9
        cloud = part.delegate(4, writer).cloud
        assert await cloud.provision(rental()) == ["m-1"]
        await cloud.delete(["m-1", "m-2"])

    run(play)
    head = {"token": 3, "term": 4, "lead_version": 9}
    hire = {"duty": "renting", **head, "rental": RENTAL, "deletion": None, "write": None}
    drop = {"duty": "returning", **head, "rental": None, "deletion": DELETION, "write": None}
    http.check(("POST", "/duty", hire), ("POST", "/duty", drop))


REFUSED = {
    "outcome": "refused", "machines": [], "why": "does not hold the duty", "revision": 0,
    "failed": [],
}  # fmt: skip


@pytest.mark.parametrize(
    ("path", "message", "status", "expected"),
    [
        ("/duty", ACT_REQUEST, "200 OK", REFUSED),
        ("/duty", {"duty": "no-such"}, "400 Bad Request", None),
        ("/duties/waiting", None, "200 OK", {}),
    ],
)
def test_duties_are_served(path: str, message: Any, status: str, expected: Any) -> None:
    async def play() -> None:
        node = new_node(operator=Operator(duties=DutySettings()))
        response = await from_controller(node, "POST", path, message)
        check_response(response, status, expected, JSON)

    run(play)


def test_status_of_duties_is_read_and_told() -> None:
    stored = {
        "duties/on": {},
        "duties/holder/renting": HOLDER,
        "duties/token/renting": {"token": 3, "latest": [HANDOVER]},
    }
    act = {"token": 3, "term": 4, "rental": RENTAL, "deletion": None}
    lead = {"member": "hall-1", "term": 4, "lease": 7}
    state = RecordedHttp(
        (200, {"items": items_of(stored), "epoch": 1}),
        (200, {"items": items_of({"duty-act/renting/r-17": act}), "epoch": 1}),
        (200, items_of({"lead": lead})[0]),
    )
    http = RecordedHttp((200, {"renting": "x"}), kind=JSON)

    async def play() -> None:
        status, told = await new_duties(state, sender(http)).serve("/duties", b"")
        assert status == 200
        free = {"holder": None, "since": None, "token": 0, "outstanding": [], "handovers": []}
        expected = {
            "answered_by": "hall-0",
            "leader": "hall-1",
            "on": True,
            "duties": [
                DUTY_STATUS,
                *({"duty": d, **free, "waiting": None} for d in
                  ("returning", "reclaiming", "cleanup")),
            ],
        }  # fmt: skip
        check_bytes(encoded(told, JSON), expected, JSON)

    run(play)
    state.check(
        ("GET", "/store?prefix=duties/&most=1000", None),
        ("GET", "/store?prefix=duty-act/&most=1000", None),
        ("GET", "/store/lead", None),
    )
    http.check(("POST", "/duties/waiting", None))


def items_of(values: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"k": key, "data": value, "stamp": 1} for key, value in values.items()]


CELL_IDS = ["offer", "heartbeat", "user"]
CELL_CALLS: list[tuple[Use, Any, Call, Any]] = [
    (
        lambda c: c.offer(offer()),
        OFFER_ANSWER,
        ("POST", "/cells/offer", OFFER),
        cells.HandoffOfferResponse(True, "x", 5, 6, 23.5),
    ),
    (
        lambda c: c.heartbeat(heartbeat()),
        HEARTBEAT_ANSWER,
        ("POST", "/cells/heartbeat", HEARTBEAT),
        heartbeat_answer(),
    ),
    (
        lambda c: c.user_request(user_request()),
        USER_ANSWER,
        ("POST", "/cells/user", USER_REQUEST),
        cells.UserResponse(200, QUEUED),
    ),
]


@pytest.mark.parametrize(("use", "answer", "call", "expected"), CELL_CALLS, ids=CELL_IDS)
def test_another_cell_is_asked(use: Use, answer: Any, call: Call, expected: Any) -> None:
    http = RecordedHttp((200, answer), kind=JSON)

    async def play() -> None:
        assert await use(new_cell_client(http)) == expected

    run(play)
    http.check(call)


FROM_SOUTH = {"cell": "south", "to": "north"}
STRANGER = {"error": "west is no neighbour of north"}
LATE = {"error": "a later heartbeat was heard before"}
RESERVED = {"reserved": True, "why": "", "term": 4, "sequence": 0, "lapse_s": 23.022}

CELL_SERVED: list[tuple[str, dict[str, Any], int, Any]] = [
    ("/cells/offer", OFFER | FROM_SOUTH, 200, RESERVED),
    ("/cells/offer", OFFER | {"cell": "west", "to": "north"}, 403, STRANGER),
    ("/cells/heartbeat", HEARTBEAT | FROM_SOUTH, 200, HEARTBEAT_ANSWER | {"term": 4, "room": []}),
    ("/cells/heartbeat", HEARTBEAT | FROM_SOUTH | {"term": 0, "sequence": 0}, 409, LATE),
    ("/cells/user", USER_REQUEST | FROM_SOUTH, 200, USER_ANSWER),
    ("/cells/user", {}, 400, {"error": "Object missing required field `cell`"}),
    ("/cells/no-such", {}, 404, None),
]


@pytest.mark.parametrize(("path", "message", "status", "expected"), CELL_SERVED)
def test_another_cell_is_answered(path: str, message: Any, status: int, expected: Any) -> None:
    async def play() -> None:
        leader = new_cell_leader()
        told: list[Any] = []

        async def reserve(asked: Any) -> None:
            told.append(asked)

        async def query(job_id: str) -> Any:
            told.append(job_id)
            return 200, QUEUED

        def heard_beat(asked: Any, now: float) -> Any:
            told.append(asked)
            return heartbeat_answer().rulings

        leader.borrower.reserve, leader.jobs.query = reserve, query
        leader.home.handle_heartbeat = heard_beat
        found, value = await leader.serve(path, encoded(message, JSON))
        assert found == status
        check_bytes(encoded(value, JSON), expected, JSON)
        if status == 200:
            assert msgspec.to_builtins(told) in ([message], [message.get("job")])

    run(play)


def test_status_of_cells_is_told() -> None:
    async def play() -> None:
        leader: Any = CannedLeader()
        leader.cells = new_cell_leader()
        node = new_node(leader, cells_operator())
        response = await from_controller(node, "POST", "/cells")
        south = {"cell": "south", "answered_s": None, "machines_free": 0}
        expected = {
            "cell": "north", "leader": "hall-0", "cells": [south], "lent": [], "borrowed": [],
            "staying": {},
        }  # fmt: skip
        check_response(response, "200 OK", expected, JSON)

    run(play)


@pytest.mark.parametrize(
    ("path", "status", "expected"),
    [
        ("/cells/offer", "421 Misdirected Request", {"leader": None}),
        ("/cells", "503 Service Unavailable", {"error": "nobody leads"}),
    ],
)
def test_cells_without_a_leader(path: str, status: str, expected: Any) -> None:
    async def play() -> None:
        response = await from_controller(new_node(None, cells_operator()), "POST", path, OFFER)
        check_response(response, status, expected, JSON)

    run(play)
