#!/usr/bin/env bash
# Injects failures into real processes that tests with fake time can't show, and checks that every caller got
# its own complete answer or a refusal that is true. Prints a line for each case and a summary as the last
# line. Cases can be selected by name as arguments.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

passed=0
failed=0

# load ADDRESSES DURATION FLAGS... sends a load; the last line of $dir/load.out has its results.
load() {
  local addresses=$1 duration=$2
  shift 2
  "$bin/auburntray" load --addresses "$addresses" --duration "$duration" --rate 30 --chats 40 --tokens 40 \
    --seed "$RANDOM" "$@" >"$dir/load.out" 2>"$dir/load.progress"
}

# value NAME prints a value of the last load's results.
value() { tail -1 "$dir/load.out" | tr ' ' '\n' | sed -n "s/^$1=//p"; }

# all_served reports whether the last load had calls and all were served.
all_served() {
  [ "$(value served)" -gt 0 ] && [ "$(value refused)" -eq 0 ] && [ "$(value failed)" -eq 0 ] &&
    [ "$(value cut)" -eq 0 ] && [ "$(value wrong)" -eq 0 ]
}

# no_duplicate_runs reports whether no service ran a key more than once.
no_duplicate_runs() {
  local i n
  for i in 5 6; do
    n=$(curl -fsS "http://$(target_address "$i")/admin/counts" | tr ',{}' '\n\n\n' | sed -n 's/.*": *\([0-9]*\)$/\1/p' | sort -n | tail -1)
    [ "${n:-0}" -le 1 ] || return 1
  done
}

# run_case NAME COMMAND... runs a case, prints its result and counts it.
run_case() {
  local name=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
    echo "failures: $name passed: $(tail -1 "$dir/load.out" 2>/dev/null)"
  else
    failed=$((failed + 1))
    echo "failures: $name FAILED: $(tail -1 "$dir/load.out" 2>/dev/null)"
    grep -A 6 examples "$dir/load.out" || true
    for i in 1 2 3; do tail -n 3 "$dir/router_$i.log"; done
  fi
}

# set_faults JSON sets the faults that the stand-in for the platform injects.
set_faults() { curl -fsS -X POST -H 'Content-Type: application/json' -d "$1" "http://$platform/admin/faults"; }

# all_routers prints the addresses of the three routers.
all_routers() { echo "$(router_address 1),$(router_address 2),$(router_address 3)"; }

# start_load ADDRESSES DURATION FLAGS... sends a load in the background and returns after 2 s; wait_load waits
# for its end.
start_load() {
  load "$@" &
  load_pid=$!
  pids+=("$load_pid")
  sleep 2
}
wait_load() { wait "$load_pid"; }

# other_routers prints the addresses of routers 1 and 3.
other_routers() { echo "$(router_address 1),$(router_address 3)"; }

# restart_router NUMBER starts a router that has exited again, and waits until it is ready.
restart_router() {
  start_router "$1" "dc-$((($1 + 1) % 2 + 1))" --drain-notice 1s
  eventually 10 router_ready "$1"
}

# kill_router NUMBER kills a router without notice, as a crash of its host would.
kill_router() {
  local name=pid_router_$1
  kill -KILL "${!name}"
  wait "${!name}" 2>/dev/null || true
}

# All routers are restarted one after another under load. Every call is served.
case_restart() {
  start_load "$(all_routers)" 28s
  local i name
  for i in 1 2 3; do
    name=pid_router_$i
    kill -TERM "${!name}"
    wait "${!name}" || return 1
    restart_router "$i" || return 1
  done
  wait_load
  all_served && no_duplicate_runs
}

# Router 2 is paused for 4 s, as with its host, while calls arrive at the others. Requests for slots at targets
# whose home (home node) it is must be decided without it, and after the pause it must not send calls for
# which it had made claims before.
case_freeze() {
  start_load "$(other_routers)" 10s
  kill -STOP "$pid_router_2"
  sleep 4
  kill -CONT "$pid_router_2"
  wait_load
  all_served && no_duplicate_runs
}

# Router 2 is killed while calls arrive at the others.
case_kill() {
  start_load "$(other_routers)" 10s
  kill_router 2
  wait_load
  restart_router 2
  all_served && no_duplicate_runs
}

# Router 2 is killed with calls in progress that it had accepted. Chats among them break off, which can't be
# avoided; callers resend their bookings under the same keys, and these must not run twice.
case_kill_entry() {
  start_load "$(all_routers)" 10s --booking-part 0.8 --call-deadline 8s
  kill_router 2
  wait_load
  restart_router 2
  [ "$(value wrong)" -eq 0 ] && [ "$(value refused)" -eq 0 ] && no_duplicate_runs
}

# The platform's log is unavailable. Chats are served; a booking is refused at once as not run, and has not run.
# After the outage the booking runs.
case_outage() {
  set_faults '{"outage": true}'
  load "$(all_routers)" 5s --booking-part 0 || return 1
  all_served || return 1
  local a
  a=$(curl -s -o /dev/null -D - -X POST -H 'Auburntray-Customer: member-1' -H 'Idempotency-Key: outage-1' \
    -d '{}' "http://$(router_address 1)/orders/riders" | tr -d '\r' | sed -n 's/^Auburntray-Outcome: //p')
  [ "$a" = notRun ] || return 1
  ! curl -fsS "http://$(target_address 5)/admin/counts" | grep -q outage-1 || return 1
  ! curl -fsS "http://$(target_address 6)/admin/counts" | grep -q outage-1 || return 1
  set_faults '{}'
  eventually 15 booking_served outage-1
  no_duplicate_runs
}

# booking_served KEY sends a booking and reports whether it ran and ran only once.
booking_served() {
  curl -fsS -X POST -H 'Auburntray-Customer: member-1' -H "Idempotency-Key: $1" -d '{}' \
    "http://$(router_address 1)/orders/riders" | grep -q '"executions":1'
}

# A network partition separates data centre 2 from the platform. Its router receives a configuration change from
# its peers, within 8 s, and serves its callers.
case_partition_platform() {
  set_faults '{"cut": ["dc-2"]}'
  "$bin/auburntray" drain engine-1 --platform "$platform" --author night-shift >"$dir/load.out" || return 1
  local r
  r=$(tail -1 "$dir/load.out" | tr ' ' '\n' | sed -n 's/^revision=//p')
  for i in 1 2 3; do eventually 8 metric_at_least "$i" revision "$r"; done
  load "$(router_address 2)" 4s --booking-part 0 || return 1
  set_faults '{}'
  "$bin/auburntray" drain engine-1 --undo --platform "$platform" --author night-shift >/dev/null || return 1
  all_served
}

# Replies to appends that the log has accepted are lost. Bookings run once, and their callers get the answers.
case_lost_replies() {
  set_faults '{"loseReplies": 40}'
  load "$(all_routers)" 6s --booking-part 0.8 || return 1
  set_faults '{}'
  all_served && no_duplicate_runs
}

# An engine announces that it is leaving. It gets no new calls within seconds, and the calls that it runs complete.
case_leave() {
  start_load "$(all_routers)" 10s
  kill -TERM "$pid_engine_4"
  wait "$pid_engine_4" || return 1
  wait_load
  start_engine 4 dc-2
  all_served
}

start_platform
eventually 5 curl -fsS "http://$platform/v1/instances"
for i in 1 2 3 4; do start_engine "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 5 6; do start_service "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 1 2 3; do start_router "$i" "dc-$(((i + 1) % 2 + 1))" --drain-notice 1s; done
document 4 2 >"$dir/first.json"
"$bin/auburntray" publish "$dir/first.json" --platform "$platform" --author day-shift --base 0 >/dev/null
for i in 1 2 3; do eventually 10 metric_at_least "$i" routersLive 3; done

for c in "${@:-restart freeze kill kill_entry outage partition_platform lost_replies leave}"; do
  for d in $c; do run_case "$d" "case_$d"; done
done
echo "failures: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
