#!/usr/bin/env bash
# A worker repeats an event of its streams without end. Exit status: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0 plays the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
