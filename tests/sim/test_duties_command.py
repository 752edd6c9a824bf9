"""Switching duties on in the operators' settings file, and `peathall duties` with local servers."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest

from peathall import cli
from peathall.config.modes import Mode
from peathall.config.platform import SettingsError
from peathall.duties.model import Duty
from peathall.duties.status import describe
from peathall.http.message import Request, Response
from peathall.http.server import HttpServer
from peathall.operator_config.file import load_operator_settings
from peathall.protocol.state_service import KeyValue
from tests.unit.test_settings import SETTINGS_TOML

DEPLOYED = Path(__file__).parents[2] / "deploy" / "peathall.textproto"


def test_the_deployed_file_switches_duties_on() -> None:
    operator = load_operator_settings(str(DEPLOYED))
    assert operator.duty_mode is Mode.ON
    assert operator.duties is not None and operator.duties.held() == list(Duty)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("dutys { }", "dutys"),
        ('duties { hold: "cooking" }', "cooking"),
        ('duties { mode: "maybe" }', "maybe"),
        ("duties { lease_s: 1 }", "lease_s"),
        ('duties { lease_s: "long" }', "lease_s"),
        ("duties { holds: 3 }", "holds"),
        ('fields { key: "dutys" value { number_value: 1 } }', "dutys"),
        ("duties {", "peathall"),
    ],
)
def test_an_invalid_section_is_reported_in_one_line(
    text: str, named: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    operator = check_refuses(text, named, tmp_path, capsys)
    with pytest.raises(SettingsError):
        load_operator_settings(str(operator))


def check_refuses(text: str, named: str, folder: Path, capsys: pytest.CaptureFixture[str]) -> Path:
    """Runs `--check` on the operators' file: it must exit with 2 and name the fault in one line."""
    config, operator = folder / "x.toml", folder / "peathall.textproto"
    config.write_text(SETTINGS_TOML)
    operator.write_text(text)
    arguments = ["--config", str(config), "--operator-config", str(operator), "--check"]
    assert cli.main(arguments) == 2
    err = capsys.readouterr().err
    assert named in err and err.count("\n") == 1
    return operator


RECORDS = {
    "duties/on": {"on": True},
    "duties/holder/renting": {"member": "hall-1", "token": 4, "lease": 9, "since": 1e9,
                              "vacant_s": 5.2},
    "duties/token/renting": {"token": 4, "latest": [
        {"member": "hall-2", "token": 3, "vacant_s": 0.1},
        {"member": "hall-1", "token": 4, "vacant_s": 5.2}]},
    "duties/token/returning": {"token": 2, "latest": []},
    "duty-act/returning/d-7-1": {"token": 2, "term": 7, "rental": None,
                                 "deletion": {"name": "d-7-1", "machines": ["m-1"]}},
}  # fmt: skip


@contextmanager
def controller(status: int, value: Any, path: str = "/duties") -> Iterator[str]:
    """A server in its own thread that responds to every request with `status` and `value`; yields
    its address."""
    ready, ended = threading.Event(), threading.Event()
    ports: list[int] = []

    async def answer(request: Request) -> Response:
        assert request.path == path
        return Response(status, orjson.dumps(value), "application/json")

    async def serve() -> None:
        server = HttpServer(answer, 10)
        await server.start("127.0.0.1", 0)
        ports.append(server.port)
        ready.set()
        while not ended.is_set():
            await asyncio.sleep(0.01)
        server.close()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait(10.0)
    try:
        yield f"127.0.0.1:{ports[0]}"
    finally:
        ended.set()
        thread.join()


def status_value() -> Any:
    """A status as a controller sends it, derived from RECORDS."""
    items = [KeyValue(key, value, 1) for key, value in RECORDS.items()]
    waiting = {"returning": "nobody holds the duty"}
    return msgspec.to_builtins(describe("hall-0", items, "hall-2", waiting))


def test_status_is_printed_as_text_and_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    with controller(200, status_value()) as address:
        assert cli.main(["duties", "--controller", address]) == 0
        text = capsys.readouterr().out
        assert cli.main(["duties", "--controller", address, "--json"]) == 0
        value = orjson.loads(capsys.readouterr().out)
    assert "duties are on; hall-2 leads" in text
    assert "renting: hall-1 holds it" in text and "token 4, 0 outstanding" in text
    assert "returning: nobody holds it, token 2, 1 outstanding" in text
    assert "waits: nobody holds the duty" in text and "hall-1 after 5.2 s" in text
    assert value == status_value()


def test_controllers_are_asked_until_one_answers(capsys: pytest.CaptureFixture[str]) -> None:
    """The first cannot read the state service, the second has duties off, the third answers."""
    value = status_value()
    with controller(503, None) as cut, controller(404, None) as off, controller(200, value) as on:
        arguments = ["duties", "--controller", cut, "--controller", off]
        assert cli.main(arguments) == 1
        err = capsys.readouterr().err
        assert err.startswith("peathall: no controller answers") and err.count("\n") == 1
        assert "can't read the state service" in err and "duties are off there" in err
        assert cli.main([*arguments, "--controller", on, "--json"]) == 0


def test_no_controller_answers(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "x.toml"
    path.write_text(SETTINGS_TOML)  # its addresses have no listener
    assert cli.main(["duties", "--config", str(path)]) == 1
    assert capsys.readouterr().err.count("\n") == 1
    assert cli.main(["duties", "--config", str(tmp_path / "none")]) == 2
    with pytest.raises(SystemExit) as wrong:
        cli.main(["duties"])
    assert wrong.value.code == 2
