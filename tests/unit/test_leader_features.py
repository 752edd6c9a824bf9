"""A leader without cells and duties uses null objects in their place."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from importlib.util import find_spec
from typing import Any

from peathall.cells.disabled import NoCells
from peathall.duties.disabled import NoDuties


def test_controller_does_not_import_cells_and_duties_while_they_are_disabled() -> None:
    code = (
        "import sys; import peathall.controller.controller;"
        " print(sorted(m for m in sys.modules if m.startswith(('peathall.cells.',"
        " 'peathall.duties.'))))"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert "'peathall.cells.disabled'" in run.stdout
    for module in ("cells.cell_leader", "cells.home", "cells.borrower", "duties.duties"):
        assert find_spec(f"peathall.{module}") is not None
        assert f"'peathall.{module}'" not in run.stdout


def test_without_cells_every_job_belongs_to_this_cell() -> None:
    cells = NoCells()
    job: Any = None
    assert cells.home_of("j-1") is None
    assert cells.accept_conditions("j-1") == {}
    assert cells.home.may_confirm_cancel(job) is True
    assert list(cells.loops()) == []


def test_without_duties_nothing_is_delegated() -> None:
    duties = NoDuties()
    assert (duties.cloud, duties.compaction, duties.cleanup) == (None, None, None)
    assert asyncio.run(duties.pending_deletions()) == set()
    assert list(duties.loops(lambda: None)) == []
