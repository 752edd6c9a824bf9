"""Controller settings of a simulated site."""

from __future__ import annotations

from peathall.config.platform import Settings, parse

_SETTINGS_TEMPLATE = """
member = "hall-{i}"
location = "{zone}"
api_addr = "10.0.0.{n}:8080"
back = "10.0.0.{n}:8081"
{peers}
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = {size}
zones = ["a", "b"]
[[params.teams]]
name = "red"
gpus = 4.0
gpus_max = 12.0
[[params.teams]]
name = "blue"
cpus_max = 20.0
[[params.objectives]]
kind = "wait"
class = "c0"
within_s = 15.0
share = 0.9
[params.workers]
report_s = 3.0
lease_s = 12.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 25.0
[params.state]
rps = 200.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 6.0
list_lag_s = 4.0
"""

# Lower limits that the state service will have later.
NEXT_LIMITS = "[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = {write_rps}\n"


def controller_text(index: int, size: int = 3) -> str:
    """Settings file of one of `size` controllers, which alternate between two zones."""
    peers = "".join(
        f'[[known]]\nmember = "hall-{k}"\nlocation = "a"\nendpoint = "10.0.0.{k + 1}:8081"\n'
        for k in range(size)
        if k != index
    )
    zone = "ab"[index % 2]
    return _SETTINGS_TEMPLATE.format(i=index, n=index + 1, zone=zone, peers=peers, size=size)


def controller_text_with_next_limits(index: int, size: int = 3, write_rps: float = 30.0) -> str:
    """The same, with the lower limits announced; `write_rps` in changes per second."""
    limits = NEXT_LIMITS.format(write_rps=write_rps)
    return controller_text(index, size).replace("[params.cloud]", limits + "[params.cloud]")


def controller_settings(index: int, size: int = 3) -> Settings:
    """The settings as a controller parses them."""
    return parse(controller_text(index, size))
