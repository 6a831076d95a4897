#!/usr/bin/env bash
# Plays a case of the review: review/play.sh NAME FOLDER. It writes FOLDER/record.txt and exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
set -u
name=$1
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
standin=$root/bin/review/standin
limit=110 # seconds

if [ ! -x "$standin" ] || [ ! -x "$root/bin/chalkstand" ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first"
  exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
# The stand-in ends its dispatcher itself. Ended by the limit, it takes the dispatcher with it.
timeout -k 3 "$limit" "$standin" -case "$name" -root "$root" -temp "$temp" -record "$folder/record.txt" "-trouble=$trouble"
status=$?
if [ "$status" -gt 1 ]; then
  echo "the case could not run (status $status); the log of the dispatcher:"
  tail -n 5 "$temp/dispatcher.log" 2>/dev/null
  exit 2
fi
exit "$status"
