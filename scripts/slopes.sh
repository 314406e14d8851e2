#!/usr/bin/env bash
# Measures the processor time, memory and control traffic of routers at increasing rates of calls, on real
# processes. docs/CAPACITY.md calculates with the slopes of these figures.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

# cpu_ticks PID prints the processor time of a process in hundredths of a second.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# resident_kb PID prints the resident memory of a process in KB.
resident_kb() { sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$1/status"; }

# usage prints the sums over all routers since their start: processor time in hundredths of a second, control
# bytes and platform bytes.
usage() {
  local i t=0 c=0 p=0 name
  for i in 1 2 3; do
    name=pid_router_$i
    t=$((t + $(cpu_ticks "${!name}")))
    c=$((c + $(metric "$i" controlBytesSent) + $(metric "$i" controlBytesReceived)))
    p=$((p + $(metric "$i" platformBytes)))
  done
  echo "$t $c $p"
}

start_platform
eventually 5 curl -fsS "http://$platform/v1/instances"
for i in 1 2 3 4; do start_engine "$i" "dc-$(((i + 1) % 2 + 1))" --slots 200 --token-interval 5ms; done
for i in 5 6; do start_service "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 1 2 3; do start_router "$i" "dc-$(((i + 1) % 2 + 1))"; done
document 4 2 | sed 's/"capacity": 8/"capacity": 200/' >"$dir/first.json"
"$bin/auburntray" publish "$dir/first.json" --platform "$platform" --author day-shift --base 0 >/dev/null
for i in 1 2 3; do eventually 10 metric_at_least "$i" routersLive 3; done

# measure NAME SECONDS COMMAND... runs a command and prints the mean usage per router during that time and the
# resident memory of router 1.
measure() {
  local name=$1 seconds=$2
  shift 2
  read -r t0 c0 p0 <<<"$(usage)"
  "$@"
  read -r t1 c1 p1 <<<"$(usage)"
  awk -v n="$name" -v s="$seconds" -v t="$((t1 - t0))" -v c="$((c1 - c0))" -v p="$((p1 - p0))" -v m="$(resident_kb "$pid_router_1")" \
    'BEGIN {printf "slopes: case=%s coresPerRouter=%.4f controlBytesPerSecond=%.0f platformBytesPerSecond=%.0f residentKB=%d\n", n, t/100/s/3, c/s/3, p/s/3, m}'
}

# load RATE TOKENS BOOKINGPART sends a load for 8 s.
load() {
  "$bin/auburntray" load --addresses "$(router_address 1),$(router_address 2),$(router_address 3)" --duration 8s \
    --chats 400 --tokens "$2" --rate "$1" --booking-part "$3" --repeat-part 0 >"$dir/load.out" 2>/dev/null
}

measure idle 8 sleep 8
for r in 30 60 120 240; do measure "chats/$r" 8 load "$r" 40 0; done
measure "longAnswers/60" 8 load 60 160 0
measure "bookings/60" 8 load 60 40 1
