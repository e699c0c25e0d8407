#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 "$here/case.py" "$here/record.txt" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT
wait "$child"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
