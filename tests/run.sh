#!/usr/bin/env bash
# Runs all checks: style, types, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
mypy
# Tests of one module that share a costly fixture are an xdist group: they stay with one worker.
python -m pytest -q -n auto --maxprocesses 6 --dist loadgroup
