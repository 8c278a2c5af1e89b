#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 sends no request with the deadly part (case.py, rig.trouble); the rest is the same.
TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
