#!/bin/sh
# The stand-ins of cases 6 to 10 are Python 3 programs without dependencies: checks that they compile.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile rig-2/rig.py [0-9]*/case.py
