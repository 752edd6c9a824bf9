#!/usr/bin/env bash
# The one test command: style, types, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
mypy
python -m pytest -q
