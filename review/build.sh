#!/usr/bin/env bash
# The stand-ins are Python files that need only what the deploy file's build
# puts into target/deps; this compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/gevent || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH=target/deps python3 -m compileall -q review/standins.py
