#!/usr/bin/env bash
# Case 4. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-$(basename "$here")
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
record=$here/record.txt
timeout -s KILL 118 "$program" "$root" "$folder" "$record"
status=$?
[ "$status" -gt 2 ] && status=2
exit "$status"
