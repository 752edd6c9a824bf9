"""Imports earlier versions of the package from the repository's history, each under its own name,
so that they run beside the current one. The main use is the version in production."""

from __future__ import annotations

import atexit
import importlib
import io
import shutil
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from functools import cache
from pathlib import Path
from typing import Any
from zlib import crc32

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE_PREFIX = "peathall_production"


@cache
def unpack(commit: str, change: tuple[str, str] | None = None) -> str:
    """Unpacks the package of that commit; returns the name under which it can be imported. `change`
    (old and new text) alters its source, for tests that a difference is noticed."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "peathall"], capture_output=True, check=False
    )
    if archive.returncode:
        pytest.fail(f"the history has no commit {commit}, the version in production: fetch it all")
    name = f"{PACKAGE_PREFIX}_{commit[:12]}"
    if change is not None:
        name += f"_{crc32(change[1].encode()):x}"
    folder = Path(tempfile.mkdtemp(prefix="peathall-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    (folder / "peathall").rename(folder / name)
    found = 0
    for path in (folder / name).rglob("*.py"):
        text = path.read_text()
        if change is not None:
            found += text.count(change[0])
            text = text.replace(*change)
        text = text.replace("from peathall", f"from {name}").replace(
            "import peathall", f"import {name}"
        )
        path.write_text(text)
    assert change is None or found, f"{change[0]!r} is not in the version in production"
    sys.path.insert(0, str(folder))
    return name


def deploy() -> dict[str, Any]:
    """The contents of deploy/service.toml."""
    return tomllib.loads((ROOT / "deploy" / "service.toml").read_text())


def deployed_commit() -> str:
    """The commit that the deploy file names as the version in production."""
    commit = deploy().get("production")
    if not commit:
        pytest.fail("deploy/service.toml names no version in production")
    return str(commit)


def make_controller(
    commit: str, text: str, wall: Any, rng: Any, change: tuple[str, str] | None = None
) -> Any:
    """A controller of that commit's version, with settings `text`; that version calls it a node."""
    name = unpack(commit, change)
    settings = importlib.import_module(f"{name}.settings")
    node_module = importlib.import_module(f"{name}.node")
    return node_module.Node(settings.parse(text), settings.Operator(), wall, rng)
