#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Writes to record.txt in this folder what was sent, answered and run.
here="$(cd "$(dirname "$0")" && pwd)"
record="$here/record.txt"
: > "$record" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../second" \
  exec python3 "$here/case.py" "$record"
