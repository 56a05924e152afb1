#!/usr/bin/env bash
# The stand-ins are Python files that need only what the deploy file's build
# puts into target/deps; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/gevent || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -c "import standins"
