#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=2 117 target/review/case-2 review/2/record.txt
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2 # ended by the time limit, or the driver is missing
