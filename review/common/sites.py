"""Settings and machine types like those of three deployments, with three controllers and two
machines: OPS pos-valuation-ops, POS_NEXT pos-valuation-next, LARLS_NEXT
larls-logs-next."""

OPS = """
[params]
size = 3
zones = ["laventille"]
clock_off_ms = 1000.0
[[params.teams]]
name = "red"
[[params.objectives]]
kind = "wait"
class = "c"
within_s = 90.0
share = 0.82
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
[params.machine_limits]
cpu_share = 0.72
ram_mb = 266.0
fd_limit = 900
"""
# The limits that the state service will have from some moment on.
POS_NEXT = OPS.replace(
    "[params.cloud]",
    "[params.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 5\n[params.cloud]",
)
ZONE = "laventille"
LOWERED = {"rps": 150.0, "write_rps": 35.0, "value_kb": 2.0, "txn_ops": 5}
LEDGER_IRON = {
    "label": "ledger-iron", "vcpus": 64, "cards": 0, "ram_gb": 256, "cache_gb": 50,
    "pull_gb_per_s": 0.4, "rate": 4.31, "market_price": 1.2, "startup_s": 30, "wards": [ZONE],
}  # fmt: skip
MACHINES = {
    "types": [LEDGER_IRON], "machines": [["ledger-iron", ZONE, False]] * 2,
    "capacity": {ZONE: 2}, "boot_s": 30,
}  # fmt: skip

LARLS_NEXT = """
[params]
size = 3
zones = ["colombo", "kandy"]
clock_off_ms = 250.0
[[params.teams]]
name = "awards-desk"
[[params.teams]]
name = "qsl-bureau"
[[params.objectives]]
kind = "wait"
class = "award-audit"
within_s = 100.0
share = 0.88
[[params.objectives]]
kind = "wait"
class = "qsl-lookup"
within_s = 2.0
share = 0.92
[params.workers]
report_s = 5.0
lease_s = 24.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 49.0
[params.state]
rps = 80.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 12
[params.state.next]
write_rps = 15.0
value_kb = 2.0
txn_ops = 4
[params.cloud]
rps = 6.0
list_lag_s = 6.0
[params.machine_limits]
cpu_share = 0.18
ram_mb = 146.0
fd_limit = 800
"""
SHACK_GPU = {
    "label": "shack-gpu", "vcpus": 32, "cards": 4, "ram_gb": 256, "cache_gb": 120,
    "pull_gb_per_s": 1.0, "rate": 11.24, "market_price": 2.91, "startup_s": 30,
    "wards": ["colombo", "kandy"],
}  # fmt: skip
SHACKS = {
    "types": [SHACK_GPU],
    "machines": [["shack-gpu", "colombo", False], ["shack-gpu", "kandy", False]],
    "capacity": {"colombo": 1, "kandy": 1}, "boot_s": 30,
}  # fmt: skip
CHEAP_SHACKS = SHACKS | {
    "machines": [["shack-gpu", "colombo", True], ["shack-gpu", "kandy", True]],
}
