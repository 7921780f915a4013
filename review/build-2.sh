#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program of
# the deploy file: their stand-ins are Python modules, which are checked here.
set -e
cd "$(dirname "$0")/second"
python3 - <<'CHECK'
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("checked", path)
CHECK
