#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 118 python3 case.py
