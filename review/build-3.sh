#!/usr/bin/env bash
# The stand-ins of the cases from 11 on are Python programs without a build; this
# checks that they can be started.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/standins.py 1[1-5]/case.py <<'PYTHON'
import ast
import sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PYTHON
