#!/usr/bin/env bash
# Checks the stand-ins that the scripts of cases 6 to 10 start. They are Python
# without dependencies, so that nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in *_2.py {6..10}/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'END'
import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text())
END
done
