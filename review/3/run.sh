#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. It writes what was sent, answered and run to record.txt
# beside it. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
case_name=restart
limit=110 # seconds
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
standin=$root/bin/review/standin

rm -f "$folder/record.txt"
could_not_run() {
  echo "the case could not run: $1" | tee -a "$folder/record.txt"
  exit 2
}
for program in "$root/bin/chalkstand" "$standin"; do
  [ -x "$program" ] || could_not_run "$program is missing; run the build of deploy/balancer.toml and review/build.sh"
done
case "${TROUBLE:-1}" in
  0) trouble=false ;;
  *) trouble=true ;;
esac

temp=$(mktemp -d) || could_not_run "no temporary folder"
player=
# The stand-ins start the dispatcher and end it. It also ends with them, however they end.
clean_up() {
  [ -n "$player" ] && kill "$player" 2>/dev/null && wait "$player"
  rm -rf "$temp"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP

timeout -k 3 "$limit" "$standin" -case "$case_name" -root "$root" -temp "$temp" \
  -record "$folder/record.txt" "-trouble=$trouble" &
player=$!
wait "$player"
status=$?
player=
if [ "$status" -gt 1 ]; then
  tail -n 5 "$temp/dispatcher.log" 2>/dev/null
  could_not_run "the stand-ins ended with status $status"
fi
exit "$status"
