#!/usr/bin/env bash
# The stand-ins are Python programs with the libraries in target/deps: they are compiled to find
# errors early, and need nothing else.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "run the build of deploy/service.toml first" >&2; exit 1; }
PYTHONPATH=../target/deps python3 -c "import cbor2"
python3 -m compileall -q common [0-9]
