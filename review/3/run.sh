#!/usr/bin/env bash
# Runs the case after the build of deploy/system.toml and review/build.sh. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
target=../../target
[ -x "$target/apps/rhubarbtiller/rhubarbtiller" ] && [ -x "$target/review/stop-pipelined" ] || { echo "build first"; exit 2; }
timeout -k 5 110 "$target/review/stop-pipelined" "$target/apps/rhubarbtiller/rhubarbtiller" record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
