#!/usr/bin/env bash
# Creates .venv and installs the pinned libraries and this project in it.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || python3 -m venv .venv
.venv/bin/pip install --quiet --requirement requirements.lock
.venv/bin/pip install --quiet --no-deps --editable .
