"""Decoding of protocol messages: malformed bodies, limits of fields, and unknown values."""

import math
from http import HTTPStatus
from typing import Any

import cbor2
import pytest

from peathall.http.message import REASONS, Response
from peathall.protocol import codec
from peathall.protocol.cloud import (
    MachineState,
    decode_machine_page,
    decode_machine_types,
    encode_machine_types,
    is_capacity_error,
    machine_page_path,
)
from peathall.protocol.heartbeats import (
    Command,
    ExitReason,
    ForgetCommand,
    StartCommand,
    StopCommand,
    decode_heartbeat,
    decode_task_name,
    encode_commands,
    encode_heartbeat_response,
)
from peathall.protocol.jobs import decode_submission, spec_from_record, spec_to_record

SUBMISSION: dict[str, Any] = {
    "id": "j-000412", "docket": "train", "desk": "vision", "shape": "ensemble",
    "precedence": "high", "parcels": 16, "vcpus": 8.0, "cards": 1, "ram_gb": 64.0,
    "kit": "img-07", "image_gb": 6.2, "builds": ["g8"], "ward": None, "together": True,
    "scatter": False, "standby": True, "reckon_s": 240.0, "tally_s": 30.0, "stow_s": 4.0,
    "due_s": 900.0,
}  # fmt: skip


def test_a_submission_is_decoded_and_survives_its_record() -> None:
    spec = decode_submission(SUBMISSION | {"not_known_yet": 1}, 5.0)
    assert (spec.class_name, spec.team, spec.gang, spec.priority) == ("train", "vision", True, 1)
    assert (spec.image, spec.types, spec.one_zone, spec.spot) == ("img-07", ["g8"], True, True)
    record = cbor2.loads(cbor2.dumps(spec_to_record(spec)))
    assert spec_from_record(record) == spec


def test_a_daemon_is_accepted_and_is_no_gang() -> None:
    # The protocol's description does not name this shape; rejecting it failed jobs of real users.
    assert not decode_submission(SUBMISSION | {"shape": "daemon"}, 0.0).gang


@pytest.mark.parametrize("missing", ["builds", "ward", "due_s"])
def test_fields_that_may_be_null_may_be_missing(missing: str) -> None:
    raw = {k: v for k, v in SUBMISSION.items() if k != missing}
    assert decode_submission(raw, 0.0) == decode_submission(SUBMISSION | {missing: None}, 0.0)


INVALID_FIELDS = [
    {"id": "job-1"}, {"id": "j-"}, {"id": 7}, {"id": "j-1\n"}, {"parcels": 0},
    {"parcels": 100_001}, {"parcels": 2.5}, {"parcels": True}, {"vcpus": -1.0},
    {"vcpus": math.nan}, {"ram_gb": math.inf}, {"shape": "cron"}, {"precedence": "urgent"},
    {"together": 1}, {"builds": "g8"}, {"builds": [1]}, {"kit": ""}, {"due_s": "soon"},
    {"cards": None},
]  # fmt: skip


@pytest.mark.parametrize("change", INVALID_FIELDS, ids=repr)
def test_invalid_fields_are_malformed(change: dict[str, Any]) -> None:
    with pytest.raises(codec.MalformedError):
        decode_submission(SUBMISSION | change, 0.0)


@pytest.mark.parametrize("field", [k for k in SUBMISSION if k not in ("builds", "ward", "due_s")])
def test_missing_fields_are_malformed(field: str) -> None:
    with pytest.raises(codec.MalformedError):
        decode_submission({k: v for k, v in SUBMISSION.items() if k != field}, 0.0)


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff\xff",
        b"\xa1",
        cbor2.dumps([1]),
        cbor2.dumps({1: 2}),
        b"\x81" * 5000,
        b"x" * 70000,
    ],
)
def test_a_body_that_is_not_a_map_is_malformed(raw: bytes) -> None:
    with pytest.raises(codec.MalformedError):
        codec.decode_cbor_map(raw)


def test_heartbeats_are_decoded() -> None:
    heartbeat = decode_heartbeat(
        {
            "hall": "m-1", "endpoint": "10.1.0.2:9000", "build": "g8", "ward": "a",
            "standby": True, "tenure": 1, "tick": 88, "mandate": 41, "recall_s": None,
            "parcels": [
                {"parcel": "j-0/3", "try": 2, "standing": "running"},
                {"parcel": "j-1/0", "try": 1, "standing": "exited", "cause": "done"},
                {"parcel": "j-1/1", "try": 1, "standing": "exited", "cause": "a new one"},
            ],
        }
    )  # fmt: skip
    assert [(t.job, t.task, t.exit_reason) for t in heartbeat.tasks] == [
        ("j-0", 3, None),
        ("j-1", 0, ExitReason.DONE),
        ("j-1", 1, ExitReason.ERROR),
    ]


@pytest.mark.parametrize(
    "task", [{"parcel": "x", "try": 1, "standing": "running"}, {"parcel": "j-1/0", "try": 1}]
)
def test_invalid_heartbeats_are_malformed(task: dict[str, Any]) -> None:
    with pytest.raises(codec.MalformedError):
        decode_heartbeat({"hall": "m-1", "tenure": 1, "tick": 1, "parcels": [task]})


@pytest.mark.parametrize(
    ("command", "encoded"),
    [
        (StartCommand("j-1", 2, 3), {"writ": "start", "parcel": "j-1/2", "try": 3}),
        (
            StopCommand("j-1", 2, 3, 4.0),
            {"writ": "stop", "parcel": "j-1/2", "try": 3, "leave_s": 4.0},
        ),
        (ForgetCommand("j-1", 2, 3), {"writ": "forget", "parcel": "j-1/2", "try": 3}),
    ],
)
def test_commands_are_encoded_with_the_names_of_the_protocol(
    command: Command, encoded: dict[str, Any]
) -> None:
    assert encode_heartbeat_response(5, [command]) == {"mandate": 5, "writs": [encoded]}
    assert encode_commands(5, 1, [command]) == {"mandate": 5, "tenure": 1, "writs": [encoded]}
    assert decode_task_name(encoded["parcel"]) == (command.job, command.task)


def test_a_response_without_commands_has_an_empty_list() -> None:
    assert encode_heartbeat_response(5, []) == {"mandate": 5, "writs": []}


@pytest.mark.parametrize(
    ("standing", "state"),
    [
        ("starting", MachineState.STARTING),
        ("running", MachineState.RUNNING),
        ("failed", MachineState.FAILED),
        ("mothballed", MachineState.UNKNOWN),
        (None, MachineState.UNKNOWN),
    ],
)
def test_the_state_of_a_machine_is_decoded(standing: str | None, state: MachineState) -> None:
    page = decode_machine_page({"halls": [{"id": "m-1", "standing": standing}]})
    assert [machine.state for machine in page.machines] == [state]
    assert not page.more


def test_the_record_of_machine_types_is_read_as_it_was_written() -> None:
    types = decode_machine_types({"builds": [{"label": "c", "vcpus": 4, "ram_gb": 8, "rate": 2.0}]})
    assert [machine_type.spot_price for machine_type in types] == [2.0]
    assert decode_machine_types(encode_machine_types(types)) == types


def test_the_next_page_of_the_machine_list_starts_after_the_last_name() -> None:
    assert machine_page_path(5, "") == "/hosts?most=5"
    assert machine_page_path(5, "m/1") == "/hosts?most=5&after=m/1"
    assert machine_page_path(5, "m 1") == "/hosts?most=5&after=m%201"


@pytest.mark.parametrize(
    ("raw", "expected"),
    [({"error": "no capacity"}, True), ({"error": "trouble"}, False), (None, False)],
)
def test_lack_of_capacity_is_distinguished_from_other_errors(raw: Any, expected: bool) -> None:
    assert is_capacity_error(raw) is expected


@pytest.mark.parametrize("status", [*REASONS, HTTPStatus.FORBIDDEN])
def test_a_status_line_has_the_number_of_the_status(status: int) -> None:
    raw = Response(status).encode()
    assert raw == Response(int(status)).encode()
    assert raw.startswith(b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status").encode()))
