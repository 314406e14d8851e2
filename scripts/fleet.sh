# Functions that start and stop a fleet of processes on loopback. Scripts source this file; the processes
# that a script has started are killed when it exits.
#
# Processes are killed by the process IDs that this shell started, never by name.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
dir=$(mktemp -d)
port=${AUBURNTRAY_PORT:-17400}
pids=()

platform=127.0.0.1:$((port))
router_address() { echo "127.0.0.1:$((port + 10 + $1))"; }
peer_address() { echo "127.0.0.1:$((port + 30 + $1))"; }
debug_address() { echo "127.0.0.1:$((port + 50 + $1))"; }
target_address() { echo "127.0.0.1:$((port + 70 + $1))"; }

# start NAME COMMAND... runs a command in the background and sets the variable pid_NAME to its process ID.
start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.out" 2>>"$dir/$name.log" &
  pids+=($!)
  printf -v "pid_$name" '%s' $!
}

# stop_all kills the processes that are left, including paused ones, and removes their files.
stop_all() {
  local p
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_all EXIT

# eventually SECONDS COMMAND... repeats a command until it succeeds, and fails after the given time.
eventually() {
  local n=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    n=$((n - 1))
    if [ "$n" -le 0 ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

start_platform() { start platform "$bin/auburntray-standin" platform --listen "$platform" "$@"; }

# start_engine NUMBER DATACENTRE FLAGS... starts a stand-in for a model engine.
start_engine() {
  local n=$1 dc=$2
  shift 2
  start "engine_$n" "$bin/auburntray-standin" engine --name "engine-$n" --data-centre "$dc" \
    --listen "$(target_address "$n")" --platform "$platform" "$@"
}

# start_service NUMBER DATACENTRE FLAGS... starts a stand-in for a service.
start_service() {
  local n=$1 dc=$2
  shift 2
  start "service_$n" "$bin/auburntray-standin" service --name "service-$n" --data-centre "$dc" \
    --listen "$(target_address "$n")" --platform "$platform" "$@"
}

# start_router NUMBER DATACENTRE FLAGS... starts a router.
start_router() {
  local n=$1 dc=$2
  shift 2
  start "router_$n" "$bin/auburntray" router --name "router-$n" --data-centre "$dc" --platform "$platform" \
    --listen "$(router_address "$n")" --peer "$(peer_address "$n")" --debug "$(debug_address "$n")" \
    --seeds "$(peer_address 1),$(peer_address 2),$(peer_address 3)" "$@"
}

# router_ready NUMBER reports whether a router is ready.
router_ready() { curl -fsS -o /dev/null "http://$(router_address "$1")/readyz"; }

# metric NUMBER NAME prints the value of a router's metric.
metric() {
  curl -fsS "http://$(debug_address "$1")/debug/vars" |
    tr ',{}' '\n\n\n' | sed -n "s/^ *\"$2\": *\([0-9]*\).*/\1/p" | head -1
}

# metric_at_least NUMBER NAME VALUE reports whether a router's metric is at least a value.
metric_at_least() {
  local v
  v=$(metric "$1" "$2")
  [ "${v:-0}" -ge "$3" ]
}

# target_entry NAME NUMBER KIND DATACENTRE CAPACITY LABELS prints the entry of a target in a document.
target_entry() {
  printf '"%s": {"address": "%s", "kind": "%s", "region": "region-1", "dataCentre": "%s", "capacity": %s, "labels": %s}' \
    "$1" "$(target_address "$2")" "$3" "$4" "$5" "$6"
}

# document ENGINES SERVICES prints a document with so many engines and services. They are numbered, engines
# first, and alternate between the two data centres.
document() {
  local i sep="" dc
  echo '{"targets": {'
  for i in $(seq 1 "$1"); do
    dc=dc-$(((i + 1) % 2 + 1))
    echo "$sep$(target_entry "engine-$i" "$i" engine "$dc" 8 '{"app": "assistant", "model": "restock"}')"
    sep=,
  done
  for i in $(seq $(($1 + 1)) $(($1 + $2))); do
    dc=dc-$(((i + 1) % 2 + 1))
    echo "$sep$(target_entry "service-$i" "$i" service "$dc" 64 '{"app": "orders"}')"
    sep=,
  done
  cat <<'D'
},
"customers": {"member-1": {"weight": 2}, "member-2": {}, "member-3": {}},
"rules": {
  "assistant": {"order": 1, "pathPrefix": "/v1/chat/completions", "traffic": "model=restock", "targets": "app=assistant", "repeatable": true},
  "orders": {"order": 2, "pathPrefix": "/orders/", "targets": "app=orders"}
},
"limits": {"maxLoadFactor": 1.25}}
D
}
