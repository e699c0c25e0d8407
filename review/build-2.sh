#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python scripts, so there is nothing to build but a check that
# the interpreter is there; the daemon itself comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
test -x target/auburnhaven
