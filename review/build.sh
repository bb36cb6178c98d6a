#!/usr/bin/env bash
# Prepares the scripts of review/. The stand-ins are one Python program that uses the standard library only,
# so there is nothing to compile: this checks that Python is there and that the programs can be read.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for program in standins.py ./*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$program"
done
