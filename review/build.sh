#!/usr/bin/env bash
# Builds the project's stand-ins, which the scripts under review/ start, into target/.
# Run it after the build of the deploy file. The scripts also need python3 (standard library only).
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target auburnhaven-standins
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
