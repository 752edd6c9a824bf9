#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 and later start, the project's own too. They are Python:
# each module is compiled, so that one that can't run fails here. Run it after the deploy build.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
export PYTHONPATH="$root:$root/target/deps" PYTHONPYCACHEPREFIX="$root/target/review-2"
python3 -m compileall -q review/tools2 bench/stand_in.py tests/sim
python3 -c 'import bench.stand_in, tests.sim.state'
