#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the deploy file's program.
# All stand-ins are Python (review/lib), so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed (tomllib)")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
test -x ../target/bin/trefoilmill_entry ||
  echo "target/bin/trefoilmill_entry is missing: run the build of deploy/system.toml"
