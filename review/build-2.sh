#!/bin/sh
# Checks that the stand-in of review 2, which needs no build, can be loaded. It
# uses the standard library alone; the scripts start nothing of standins/.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c 'import sys
sys.path.insert(0, "review")
import standin_2'
