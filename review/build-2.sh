#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10: they are Python with its standard library
# alone, so it is enough that they compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/harness2.py review/[0-9]*/case.py; do
    python3 - "$file" <<'PYTHON'
import pathlib
import sys

compile(pathlib.Path(sys.argv[1]).read_bytes(), sys.argv[1], "exec")
PYTHON
done
