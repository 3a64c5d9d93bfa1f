#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They and the
# project's own stand-in of the store are Python programs: this checks that they
# compile, and needs nothing but python3.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - scripts/lib/platform_standin.py review/lib-2/fleet.py \
  review/6/case.py review/8/case.py review/9/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
