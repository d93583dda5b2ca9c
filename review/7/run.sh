#!/usr/bin/env bash
# A machine of the core, whose successor has run for 8 s, is removed for good without SIGTERM. Then a
# configuration is acknowledged, and right after that one machine loses its disk. Three machines run again 1.4 s
# later, and the operator reads the configuration back.
# Exit: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 leaves the loss of the disk out.
set -u
cd "$(dirname "$0")/../.." || exit 2
DIR=review/7
exec >"$DIR/record.txt" 2>&1
[ -x target/rosereach ] && [ -x target/standin2 ] || { echo "not built"; exit 2; }
. review/standin2/fleet.sh
CONTROLS=3 ENTRIES=1
fleet_init
say() { echo "$(date +%H:%M:%S.%3N) $*"; }
say "all machines start"
fleet_start
target/standin2 put "$(control_list)" 1 30 || exit 2
sleep 10
say "the successor of machine 3 starts, at another address, with an empty disk"
start control 4 false
sleep 8
say "machine 3 is removed for good, without SIGTERM"
kill_now control 3
rest="$NET.1:$CONTROL_PORT,$NET.2:$CONTROL_PORT,$NET.4:$CONTROL_PORT"
# The operator changes the configuration as soon as the others go on.
target/standin2 put "$rest" 2 30 || exit 2
if [ "${TROUBLE:-1}" != 0 ]; then
  say "one machine loses its disk"
  kill_now control 2
  lose_disk 2
  sleep 1.4
  say "it is back, with an empty disk"
  start control 2 false
fi
# recover_s is 12 s; the operator goes on for five times as long.
if target/standin2 read "$rest" 2 60; then
  say "held: the configuration is read back"
  exit 0
fi
all_run || exit 2
say "broken: the configuration does not come"
exit 1
