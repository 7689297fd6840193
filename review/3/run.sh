#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 3 115 node case.js
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
