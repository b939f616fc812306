#!/usr/bin/env bash
# Builds baobabctl, with which case 1 activates a preset, into the folder of the
# deploy file's build, and checks that the stand-ins, Python programs, compile.
# Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake --build ../target -j4 --target baobabctl
python3 - [1-5]/*.py <<'EOF'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
EOF
