#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")"
PYTHONPATH=../../target/deps exec timeout -k 3 115 python3 case.py
