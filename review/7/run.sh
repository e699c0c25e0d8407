#!/usr/bin/env bash
# One part of prompts that have five others in common crashes model workers. Exit status: 1 the rule was broken, 0 it
# held, 2 not run. TROUBLE=0 plays the same without such a part. COMMON sets how many common parts there are.
exec python3 -B "$(dirname "$0")/case.py"
