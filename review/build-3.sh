#!/bin/sh
# Builds the stand-ins of the cases 11 to 14, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/support3.py
for number in 11 12 13 14; do
    python3 -m compileall -q "review/$number/case.py"
done
PYTHONPATH="$PWD/target/deps:$PWD/review" python3 -c "import support3"
