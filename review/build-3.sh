#!/usr/bin/env bash
# Builds baobabctl, with which two cases activate a preset, into the folder of the
# deploy file's build. The stand-ins are Python programs without a build; this checks
# that they can be started. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake --build ../target -j4 --target baobabctl
python3 - *_3.py 1[1-5]/case.py <<'PYTHON'
import ast
import sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PYTHON
