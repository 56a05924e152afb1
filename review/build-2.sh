#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python files of this
# repository (review/support2.py and tests/) that use the libraries which the
# build of the deploy file has put into target/deps; nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:tests:review"
python3 -m compileall -q tests review/support2.py review/6 review/7 review/8 review/9 review/10
python3 -c "import support2"
