"""Switching cells on in the operators' settings file, refused messages, and `peathall cells`."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import msgspec
import orjson
import pytest

from peathall import cli
from peathall.cells.model import CellHeartbeat, HandoffOffer
from peathall.cells.status import CellsStatus, CellStatus, HandoffStatus
from peathall.config.modes import Mode
from peathall.http.client import HttpClient
from peathall.http.message import Request, Response
from peathall.operator_config.file import load_operator_settings
from peathall.protocol.codec import struct_to_builtins
from tests.sim.cells_world import Cells, gang, run_scenario
from tests.sim.net import Host
from tests.sim.test_duties_command import check_refuses, controller

DEPLOYED = Path(__file__).parents[2] / "deploy" / "cells.textproto"


def test_the_deployed_file_switches_cells_on() -> None:
    operator = load_operator_settings(str(DEPLOYED))
    assert operator.cell_mode is Mode.ON and operator.duty_mode is Mode.OFF
    assert operator.cells is not None and len(operator.cells.neighbour[0].controller) == 3


def test_without_the_section_nothing_is_stored_read_or_sent() -> None:
    """No key of handoffs is written, read or part of a condition, the record `term` has no
    additional field, and the path of messages between cells does not exist."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)

    async def scenario(cells: Cells) -> None:
        world = cells.worlds[0]
        world.controller_hosts.operators = {}
        requests: list[str] = []
        carry_out = world.state.carry_out

        async def record(request: Request) -> Response:
            requests.append(f"{request.path}?{request.query} {request.body!r}")
            return await carry_out(request)

        monkeypatch = pytest.MonkeyPatch()
        monkeypatch.setattr(world.state, "carry_out", record)
        await cells.begin()
        await cells.submit(0, 1, run_s=2.0)
        monkeypatch.undo()
        assert requests and not [
            r for r in requests if "handoff/" in r or "borrowed/" in r or "cell" in r
        ]
        assert list(world.state.data["term"][0]) == ["n"]
        client = HttpClient("10.0.0.1:8081", max_idle=0)
        context = world.context(Host("10.9.9.9"))
        response = client.request("POST", "/cells/heartbeat", b"{}", 5.0)
        assert (await cells.loop.create_task(response, context=context))[0] == 404

    run_scenario(845, scenario)


SOUTH = 'neighbour { name: "south" controller: "10.0.1.1:8081" }'


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (f"cells {{ {SOUTH} }}", "name"),
        (f'cells {{ name: "north" {SOUTH} {SOUTH} }}', "south is named twice"),
        (f'cells {{ name: "south" {SOUTH} }}', "south is named twice"),
        (f'cells {{ name: "north" lease_s: 4 {SOUTH} }}', "lease_s"),
        ('cells { name: "north" neighbour { name: "south" } }', "controller"),
        ('cells { name: "north" neighbour { name: "south" controller: "host" } }', "controller"),
        ('cells { name: "north" lends: 3 }', "lends"),
    ],
)
def test_an_invalid_section_is_reported_in_one_line(
    text: str, named: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    check_refuses(text, named, tmp_path, capsys)


def test_messages_that_are_refused() -> None:
    """Malformed: 400; unknown cell: 403; out of date: 409; not the leader: 421, with its name."""
    logging.getLogger("peathall").setLevel(logging.CRITICAL)

    async def scenario(cells: Cells) -> None:
        await cells.begin()
        await cells.wait_until(lambda: cells.leader(0) and cells.leader(0).is_active())
        await asyncio.sleep(2.0)
        leader = cells.worlds[0].leader() or 0

        async def post(at: int, path: str, raw: bytes) -> tuple[int, bytes]:
            client = HttpClient(f"10.0.0.{at + 1}:8081", max_idle=0)
            context = cells.worlds[0].context(Host("10.9.9.9"))
            response = client.request("POST", path, raw, 5.0)
            return await cells.loop.create_task(response, context=context)

        message = CellHeartbeat("cell-1", "cell-0", 10**9, 7, 0, 13.0)
        heartbeat = orjson.dumps(struct_to_builtins(message) | {"a_field_of_later_versions": 1})
        stranger = orjson.dumps(struct_to_builtins(msgspec.structs.replace(message, cell="cell-9")))
        misdirected = orjson.dumps(
            struct_to_builtins(msgspec.structs.replace(message, to="cell-9"))
        )
        offer = orjson.dumps(
            struct_to_builtins(HandoffOffer("cell-1", "cell-0", 1, 1, {"id": gang(1)["id"]}))
        )
        assert (await post(leader, "/cells/heartbeat", heartbeat))[0] == 200
        assert (await post(leader, "/cells/heartbeat", heartbeat))[0] == 409
        assert (await post(leader, "/cells/heartbeat", b"{"))[0] == 400
        assert (await post(leader, "/cells/heartbeat", b'{"cell": 3}'))[0] == 400
        assert (await post(leader, "/cells/offer", offer))[0] == 400
        assert (await post(leader, "/cells/heartbeat", stranger))[0] == 403
        assert (await post(leader, "/cells/heartbeat", misdirected))[0] == 403
        assert (await post(leader, "/cells/no-such", heartbeat))[0] == 404
        status, raw = await post((leader + 1) % 3, "/cells/heartbeat", heartbeat)
        assert (status, orjson.loads(raw)) == (421, {"leader": f"hall-{leader}"})
        # Every controller answers with the leader's status.
        for at in range(3):
            status, raw = await post(at, "/cells", b"")
            assert status == 200
            assert msgspec.convert(orjson.loads(raw), CellsStatus).leader == f"hall-{leader}"

    run_scenario(850, scenario)


def test_status_is_printed_as_text_and_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    status = CellsStatus(
        "north",
        "hall-1",
        [CellStatus("south", 1.2, 4), CellStatus("west", None, 0)],
        [HandoffStatus("j-1", "south", "granted", 29.4)],
        [HandoffStatus("j-2", "south", "reserved", None), HandoffStatus("j-3", "west", "ended", 0)],
        {"j-4": "no cell has told of room lately"},
    )
    with controller(200, msgspec.to_builtins(status), "/cells") as address:
        assert cli.main(["cells", "--controller", address]) == 0
        assert capsys.readouterr().out.splitlines() == [
            "cell north, led by hall-1",
            "south: answered 1 s ago, 4 machines free",
            "west: has not answered this leader",
            "lent to south: j-1 granted, lease ends in 29 s",
            "borrowed from south: j-2 reserved, no lease",
            "borrowed from west: j-3 ended, lease ended",
            "stays: j-4: no cell has told of room lately",
        ]
        assert cli.main(["cells", "--controller", address, "--json"]) == 0
        assert msgspec.convert(orjson.loads(capsys.readouterr().out), CellsStatus) == status
    with controller(404, None, "/cells") as off:
        assert cli.main(["cells", "--controller", off]) == 1
        err = capsys.readouterr().err
        assert "cells are off there" in err and err.count("\n") == 1
