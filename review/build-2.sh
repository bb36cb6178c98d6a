#!/usr/bin/env bash
# The stand-ins of the cases 6 to 9 are Python files of the standard library alone: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins2.py 6/case.py 7/case.py 8/case.py 9/case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
