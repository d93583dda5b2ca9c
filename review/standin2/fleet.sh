# Shell functions with which the scripts of this review start the project's programs on
# loopback addresses. A script sets DIR (its own folder) and sources this file from the root of
# the repository.

# fleet_init draws an address and the ports: machine N has the address 127.A.B.N, and all machines have
# the same ports. CONTROLS and ENTRIES are the numbers of machines, TOLERATED how many of those with a disk
# may be lost at once.
fleet_init() {
  TMP=$(mktemp -d)
  NET="127.$((RANDOM % 120 + 64)).$((RANDOM % 250 + 1))"
  MEMBER_PORT=$((RANDOM % 10000 + 20000))
  CONTROL_PORT=$((MEMBER_PORT + 10))
  DIRECTORY_PORT=$((MEMBER_PORT + 11))
  CALLER_PORT=$((MEMBER_PORT + 12))
  READY_PORT=$((MEMBER_PORT + 13))
  METRICS_PORT=$((MEMBER_PORT + 14))
  CONTROLS=${CONTROLS:-5}
  ENTRIES=${ENTRIES:-3}
  TOLERATED=${TOLERATED:-1}
  SEEDS="\"$NET.1:$CONTROL_PORT\",\"$NET.2:$CONTROL_PORT\",\"$NET.3:$CONTROL_PORT\""
  declare -gA PID=()
  trap fleet_stop EXIT
}

zone_of() { case $(($1 % 3)) in 1) echo sanjose ;; 2) echo puntarenas ;; *) echo heredia ;; esac }
region_of() { case $(($1 % 3)) in 2) echo pacifico ;; *) echo central ;; esac }

# settings KIND N BOOTSTRAP writes the settings file of a machine.
settings() {
  local kind=$1 n=$2 bootstrap=$3 ip class role serves listen counted disk data=""
  if [ "$kind" = control ]; then
    ip=$NET.$n class=core role=control serves='"control_plane","directory"' counted=true disk=128
    data="data_dir = \"$TMP/data-$n\""
    listen="control = \"$ip:$CONTROL_PORT\"
directory = \"$ip:$DIRECTORY_PORT\""
  else
    ip=$NET.$((100 + n)) class=frontend role=entry serves='"frontend"' counted=false disk=0
    listen="frontend = \"$ip:$CALLER_PORT\"
readiness = \"$ip:$READY_PORT\""
  fi
  cat >"$TMP/$kind-$n.toml" <<EOF
node_name = "$class-$(zone_of "$n")-$n"
role = "$role"
machine_class = "$class"
serves = [$serves]
ip = "$ip"
zone = "$(zone_of "$n")"
region = "$(region_of "$n")"
internal_ports = [$MEMBER_PORT,$((MEMBER_PORT + 9))]
seeds = [$SEEDS]
bootstrap = $bootstrap
counts_as_loss = $counted
$data
discovery = "registration"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"]
config_mode = "highest"
[zones]
sanjose = "central"
puntarenas = "pacifico"
heredia = "central"
[listen]
$listen
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = $disk
[fault_tolerance]
machines = $TOLERATED
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = ${CONTACT_MS:-4000}
ack_ms = ${ACK_MS:-5000}
catch_up_s = ${CATCH_UP_S:-4}
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_skew_ms = ${MAX_SKEW_MS:-6000}
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.9
retry_window_s = 10
budget_slack = 52
exposure_share = 0.15
exposure_slack = 30
rollback_ms = ${ACK_MS:-5000}
recover_s = ${RECOVER_S:-12}
pass_ms = 400
reuse_window_s = 7.8
session_s = 5
ttl_max_s = 5
EOF
}

# start KIND N BOOTSTRAP starts a machine's process with the command line and the environment of
# the deploy file.
start() {
  local kind=$1 n=$2
  settings "$kind" "$n" "$3"
  mkdir -p "$TMP/data-$n"
  ROSEREACH_NODE_FILE="$TMP/$kind-$n.toml" ROSEREACH_MEMBER_KEY=rosereach-members ROSEREACH_LOG_LEVEL=debug \
    target/rosereach "$kind" --metrics-port "$METRICS_PORT" >>"$TMP/$kind-$n.log" 2>&1 &
  PID[$kind-$n]=$!
}

# kill_now KIND N ends a machine's process at once.
kill_now() { kill -KILL "${PID[$1-$2]}" 2>/dev/null; wait "${PID[$1-$2]}" 2>/dev/null; unset "PID[$1-$2]"; return 0; }

# lose_disk N empties a control's data folder, as a machine that comes back with an empty disk has it.
lose_disk() { rm -rf "$TMP/data-$1"; }

# fleet_start starts all machines for the first time.
fleet_start() {
  local n
  for n in $(seq "$CONTROLS"); do start control "$n" true; done
  for n in $(seq "$ENTRIES"); do start entry "$n" true; done
}

control_list() { local n list=""; for n in $(seq "$CONTROLS"); do list="$list,$NET.$n:$CONTROL_PORT"; done; echo "${list#,}"; }
entry_list() { local n list=""; for n in $(seq "$ENTRIES"); do list="$list,$NET.$((100 + n)):$CALLER_PORT"; done; echo "${list#,}"; }

# all_run reports whether all processes that were started, and not ended by the script, still run.
all_run() {
  local name
  for name in "${!PID[@]}"; do
    kill -0 "${PID[$name]}" 2>/dev/null || { echo "$name has ended by itself"; return 1; }
  done
}

# fleet_stop ends all processes that the script has started, and removes its folder.
fleet_stop() {
  local p
  for p in "${PID[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] || rm -rf "$TMP"
}
