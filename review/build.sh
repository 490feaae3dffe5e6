#!/bin/sh
# Checks the stand-ins, which are Python and need no build beyond the deploy file's: run it after that.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'EOF'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
EOF
