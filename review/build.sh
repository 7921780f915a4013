#!/bin/sh
# The cases' stand-ins are Python 3.11 programs without dependencies: nothing is
# built, but a missing interpreter or a file that it can't read is found here.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import glob, tomllib
for path in glob.glob("*.py") + glob.glob("*/*.py"):
    with open(path) as it:
        compile(it.read(), path, "exec")
END
