#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
arguments=()
if [ "${TROUBLE:-1}" = 0 ]; then
    arguments=(--without-trouble)
fi
exec timeout -k 2 118 python3 case.py "${arguments[@]}"
