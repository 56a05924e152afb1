#!/usr/bin/env bash
# Runs the formatter check, the linter and every test. Failures of tests that
# KNOWN-RED.txt names are printed apart; see tests/conftest.py.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONHASHSEED=0
.venv/bin/ruff format --check src tests bench
.venv/bin/ruff check src tests bench
.venv/bin/python -m pytest "$@"
