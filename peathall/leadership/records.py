"""The two records of an election in the state service.

`lead` (the leader key) is bound to the leader's lease and disappears with it. `term` counts the
elections that were won and is never deleted. Both are written in one transaction, so that no term
number is given to two leaders.
"""

from __future__ import annotations

from msgspec import Struct

LEADER_KEY = "lead"
TERM_KEY = "term"


class TermRecord(Struct, frozen=True, omit_defaults=True):
    """The value of `term`."""

    n: int = 0
    cells: bool = False  # jobs may run in other cells: only a controller with cells may lead


class LeaderRecord(Struct, frozen=True):
    """The value of `lead`: name of the leading controller, its term, and the id of its lease."""

    member: str
    term: int
    lease: int
