"""Settings files: unknown fields are ignored; an invalid value ends the start with one line."""

from pathlib import Path

import pytest

from peathall import cli
from peathall.config.platform import SettingsError, parse
from peathall.operator_config.file import load_operator_settings

SETTINGS_TOML = """
member = "hall-0"
location = "a"
api_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
novelty = 1
[[known]]
member = "hall-1"
location = "b"
endpoint = "127.0.0.1:8082"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
size = 3
zones = ["a"]
clock_off_ms = 5
[[params.teams]]
name = "t"
gpus = 8
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 9
share = 0.8
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
[params.cloud]
rps = 4.0
list_lag_s = 4.0
"""


def test_valid_settings_are_read() -> None:
    config = parse(SETTINGS_TOML)
    assert config.name == "hall-0"
    assert config.peers[0].addr == "127.0.0.1:8082"
    assert config.params.teams[0].gpus == 8.0
    assert config.params.objectives[0].class_name == "c"


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('member = "hall-0"\n', "", "member"),
        ("rps = 150.0", 'rps = "many"', "rps"),
        ("lease_s = 22.0", "lease_s = 0", "lease_s"),
        ('state = "127.0.0.1:2"', 'state = "nowhere"', "state"),
        ('member = "hall-1"', 'member = "hall-0"', "member"),
        ("[services]", "[services", "TOML"),
        ("txn_ops = 16\n", "txn_ops = 16\n[params.state.next]\nvalue_kb = -1\n", "value_kb"),
        ("txn_ops = 16\n", "txn_ops = 16\n[params.state.next]\ntxn_ops = 3\n", "txn_ops"),
        ("txn_ops = 16\n", 'txn_ops = 16\n[params.state.next]\nwrite_rps = "few"\n', "write_rps"),
        ("txn_ops = 16\n", "txn_ops = 16\nnext = 2\n", "next"),
        ("write_rps = 50.0", "write_rps = 2.5", "write_rps"),
        ("txn_ops = 16\n", "txn_ops = 16\n[params.state.next]\nwrite_rps = 2\n", "write_rps"),
    ],
)
def test_invalid_settings_are_rejected_at_the_start_with_one_line(
    old: str, new: str, named: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "x.toml"
    path.write_text(SETTINGS_TOML.replace(old, new, 1))
    assert cli.main(["--config", str(path), "--check"]) == 2
    err = capsys.readouterr().err
    assert named in err
    assert err.count("\n") == 1


def test_operator_settings_are_protobuf_text(tmp_path: Path) -> None:
    path = tmp_path / "operator.txtpb"
    path.write_text('fields { key: "idle_hold_s" value { number_value: 30 } }\n')
    assert load_operator_settings(str(path)).idle_hold_s == 30.0
    path.write_text('fields { key: "idle_hold_s" value { number_value: -1 } }\n')
    with pytest.raises(SettingsError):
        load_operator_settings(str(path))
    path.write_text("not { this")
    with pytest.raises(SettingsError):
        load_operator_settings(str(path))


def test_check_accepts_valid_settings(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "x.toml"
    path.write_text(SETTINGS_TOML)
    assert cli.main(["--config", str(path), "--check"]) == 0
    assert "in order" in capsys.readouterr().out


def test_the_time_for_a_cancellation_must_exceed_the_lease_of_the_workers() -> None:
    """A machine that no controller can reach runs the tasks of a cancelled job until its lease
    expires. If that may take longer than `cancel_s`, a cancellation could not end in time."""
    too_short = SETTINGS_TOML.replace("cancel_s = 42.0", "cancel_s = 23.0")
    assert too_short != SETTINGS_TOML
    with pytest.raises(SettingsError, match=r"cancel_s: 23 must be more than 23\.022"):
        parse(too_short)
    parse(SETTINGS_TOML.replace("cancel_s = 42.0", "cancel_s = 23.1"))


def test_the_lower_of_present_and_announced_limits_applies_from_the_start() -> None:
    """The state service switches to the announced limits without notice, and then rejects values
    and transactions that exceed them."""
    one_limit = SETTINGS_TOML.replace(
        "txn_ops = 16\n", "txn_ops = 16\n[params.state.next]\nvalue_kb = 2.0\n"
    )
    state = parse(one_limit).params.state
    assert (state.value_kb, state.txn_ops, state.write_rps) == (2.0, 16, 50.0)
    several_limits = one_limit.replace(
        "value_kb = 2.0\n", "value_kb = 99.0\ntxn_ops = 4\nwrite_rps = 15.0\n"
    )
    state = parse(several_limits).params.state
    assert (state.value_kb, state.txn_ops, state.write_rps) == (16.0, 4, 15.0)
    with pytest.raises(SettingsError, match=r"next\.txn_ops"):
        parse(several_limits.replace("txn_ops = 4\n", "txn_ops = 0\n"))
