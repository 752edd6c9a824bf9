"""The two records of an election in the state service.

`lead` (the leader key) is bound to the leader's lease and is deleted when the lease ends. `term`
counts the elections that were won and is never deleted. Both are written in one transaction, so no
two leaders get the same term number.
"""

from __future__ import annotations

from msgspec import Struct, field

LEADER_KEY = "lead"
TERM_KEY = "term"


class TermRecord(Struct, frozen=True, omit_defaults=True):
    """The value of `term`."""

    number: int = field(name="n", default=0)
    cells: bool = False  # jobs may run in other cells: only a controller with cells may lead


class LeaderRecord(Struct, frozen=True):
    """The value of `lead`."""

    member: str  # name of the leader
    term: int
    lease_id: int = field(name="lease")
