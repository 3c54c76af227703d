#!/usr/bin/env bash
# Checks that the cases can run. Their stand-ins are Python programs that use the
# standard library only, so there is nothing to compile or to install.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("The cases need Python 3.11.")
for path in sorted(pathlib.Path().rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
