#!/usr/bin/env bash
# Builds the stand-ins for the scripts of the second review. Theirs are Python (review/platform2.py) and need no build;
# the project's own are built too. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
test -x target/auburnhaven
cmake --build target --target auburnhaven-standins
