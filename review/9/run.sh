#!/usr/bin/env bash
# One of three workers fails a part of the unsafe requests that it runs, with status 503. The clients
# file listings, and file one again after a status that promises that it has not run.
# Exit: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: no worker fails.
set -u
cd "$(dirname "$0")/../.." || exit 2
DIR=review/9
exec >"$DIR/record.txt" 2>&1
[ -x target/rosereach ] && [ -x target/standin2 ] || { echo "not built"; exit 2; }
. review/standin2/fleet.sh
CONTROLS=5 ENTRIES=3
fleet_init
fleet_start
target/standin2 refused "$(control_list)" "$(entry_list)" "$NET" "${TROUBLE:-1}" &
PID[standin]=$!
wait "${PID[standin]}"
code=$?
unset "PID[standin]"
case $code in
  0) echo "held" ;;
  1) echo "broken: requests that have run were answered with a promise that they have not" ;;
esac
exit "$code"
