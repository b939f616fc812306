#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption. case.py writes record.txt here.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=2 117 python3 -B case.py
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
