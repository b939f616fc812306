#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs; this only checks that they
# compile. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/*.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
