#!/usr/bin/env bash
# Builds what the cases 11 to 14 start besides the build of the deploy file. Their stand-ins are Python programs of this
# folder, which need no build; this only checks that they can be loaded.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../target/auburnhaven" ] || { echo "target/auburnhaven is missing: run the build of the deploy file first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=$here python3 -c 'import asyncio, daemons3, standin3; asyncio.timeout'
