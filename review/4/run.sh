#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is written
# to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py" "$here/record.txt"
