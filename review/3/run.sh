#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo "cannot run: target/deps is not built" >&2; exit 2; }
exec env PYTHONPATH=../../target/deps python3 test.py
