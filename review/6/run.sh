#!/usr/bin/env bash
# Plays the case late_heartbeat of review/second and writes record.txt. TROUBLE=0 leaves out the disruption.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=build/second-review/late_heartbeat
[ -x "$program" ] || exit 2
"$program" review/6/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
