#!/usr/bin/env bash
# Checks that two builds of the balancer make the same decisions: runs days of the fleet model with OLD's adapter
# program, records its input, replays it to NEW, and compares the decisions byte by byte.
#
#   bench/decisions_replay.sh MODEL OLD NEW [SCENARIO...]
#
# MODEL is fennelhollow-model, OLD and NEW are builds of merlinrun_drill. Exit status 0 if every decision is
# the same, 1 if not, 2 if a program can't be run.
set -euo pipefail
[ $# -ge 3 ] || { sed -n '2,8s/^# \?//p' "$0"; exit 2; }
model=$1 old=$(realpath "$2") new=$(realpath "$3")
shift 3
[ -x "$model" ] && [ -x "$old" ] && [ -x "$new" ] || { echo "program not found or not executable" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
status=0
for scenario in "${@:-}"; do
  rm -rf "$folder/day"
  mkdir "$folder/day"
  # Records the program's input and output; one process per day.
  printf '#!/bin/sh\ntee "%s/day/$$.in" | "%s" | tee "%s/day/$$.out"\n' "$folder" "$old" "$folder" >"$folder/tee"
  chmod +x "$folder/tee"
  "$model" run $scenario --side "old:program=$folder/tee" --days 2 --first-look 2 --quiet >/dev/null || [ $? = 3 ]
  for input in "$folder"/day/*.in; do
    "$new" <"$input" >"$folder/again" || true
    if cmp -s "$folder/again" "${input%.in}.out"; then result=same; else result=different status=1; fi
    echo "${scenario:-default scenario}: $(wc -l <"${input%.in}.out") lines of decisions, $result"
  done
done
exit $status
