#!/usr/bin/env bash
# Causes failures on real processes that tests with fake time can't show, and
# checks that every caller got its own whole answer or a true refusal. Each case
# prints a line; the last one counts them. Cases can be named as arguments.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

passed=0
failed=0

# load ADDRESSES DURATION FLAGS... sends a load and leaves its last line in
# $dir/load.out.
load() {
  local addresses=$1 duration=$2
  shift 2
  "$bin/auburntray" load --addresses "$addresses" --duration "$duration" --rate 30 --chats 40 --tokens 40 \
    --seed "$RANDOM" "$@" >"$dir/load.out" 2>"$dir/load.progress"
}

value() { tail -1 "$dir/load.out" | tr ' ' '\n' | sed -n "s/^$1=//p"; }

# whole says whether the last load served every call.
whole() {
  [ "$(value served)" -gt 0 ] && [ "$(value refused)" -eq 0 ] && [ "$(value failed)" -eq 0 ] &&
    [ "$(value cut)" -eq 0 ] && [ "$(value wrong)" -eq 0 ]
}

# once says whether no service ran any key twice.
once() {
  local i n
  for i in 5 6; do
    n=$(curl -fsS "http://$(target_address "$i")/admin/counts" | tr ',{}' '\n\n\n' | sed -n 's/.*": *\([0-9]*\)$/\1/p' | sort -n | tail -1)
    [ "${n:-0}" -le 1 ] || return 1
  done
}

check() {
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

faults() { curl -fsS -X POST -H 'Content-Type: application/json' -d "$1" "http://$platform/admin/faults"; }

all() { echo "$(router_address 1),$(router_address 2),$(router_address 3)"; }

# under ADDRESSES DURATION FLAGS... sends a load in the background, and ended
# waits for it.
under() {
  load "$@" &
  loading=$!
  pids+=("$loading")
  sleep 2
}
ended() { wait "$loading"; }

others() { echo "$(router_address 1),$(router_address 3)"; }

# renew_router NUMBER starts a router again where one has ended.
renew_router() {
  start_router "$1" "dc-$((($1 + 1) % 2 + 1))" --drain-notice 1s
  eventually 10 ready "$1"
}

# kill_router NUMBER kills a router as a host that dies does.
kill_router() {
  local name=pid_router_$1
  kill -KILL "${!name}"
  wait "${!name}" 2>/dev/null || true
}

# A rolling restart of all routers under load: callers see every call served.
case_restart() {
  under "$(all)" 28s
  local i name
  for i in 1 2 3; do
    name=pid_router_$i
    kill -TERM "${!name}"
    wait "${!name}" || return 1
    renew_router "$i" || return 1
  done
  ended
  whole && once
}

# Router 2 is frozen for 4 s, as by a paused host, while calls come in through
# the others. Those that ask it for places must go on without it, and when it
# wakes up it must not send what it had claimed.
case_freeze() {
  under "$(others)" 10s
  kill -STOP "$pid_router_2"
  sleep 4
  kill -CONT "$pid_router_2"
  ended
  whole && once
}

# Router 2 is killed while calls come in through the others.
case_kill() {
  under "$(others)" 10s
  kill_router 2
  ended
  renew_router 2
  whole && once
}

# Router 2 is killed with calls of its own in progress. Their callers' chats are
# cut, which can't be helped; bookings are sent again under their keys and must
# not run twice.
case_kill_entry() {
  under "$(all)" 10s --booking-part 0.8 --call-deadline 8s
  kill_router 2
  ended
  renew_router 2
  [ "$(value wrong)" -eq 0 ] && [ "$(value refused)" -eq 0 ] && once
}

# The platform's log is down. Chats are served; a booking is refused at once and
# truly not run; after the outage it runs.
case_outage() {
  faults '{"outage": true}'
  load "$(all)" 5s --booking-part 0 || return 1
  whole || return 1
  local a
  a=$(curl -s -o /dev/null -D - -X POST -H 'Auburntray-Customer: member-1' -H 'Idempotency-Key: outage-1' \
    -d '{}' "http://$(router_address 1)/orders/riders" | tr -d '\r' | sed -n 's/^Auburntray-Outcome: //p')
  [ "$a" = notRun ] || return 1
  ! curl -fsS "http://$(target_address 5)/admin/counts" | grep -q outage-1 || return 1
  ! curl -fsS "http://$(target_address 6)/admin/counts" | grep -q outage-1 || return 1
  faults '{}'
  eventually 15 served_booking outage-1
  once
}

served_booking() {
  curl -fsS -X POST -H 'Auburntray-Customer: member-1' -H "Idempotency-Key: $1" -d '{}' \
    "http://$(router_address 1)/orders/riders" | grep -q '"executions":1'
}

# Data centre 2 is cut off from the platform. A change reaches its router from
# peers, and its callers are served.
case_cut_platform() {
  faults '{"cut": ["dc-2"]}'
  "$bin/auburntray" drain engine-1 --platform "$platform" --author night-shift >"$dir/load.out" || return 1
  local r
  r=$(tail -1 "$dir/load.out" | tr ' ' '\n' | sed -n 's/^revision=//p')
  for i in 1 2 3; do eventually 8 at_least "$i" revision "$r"; done
  load "$(router_address 2)" 4s --booking-part 0 || return 1
  faults '{}'
  "$bin/auburntray" drain engine-1 --undo --platform "$platform" --author night-shift >/dev/null || return 1
  whole
}

# The log loses the replies to appends that took effect. Bookings run once and
# their callers get the answers.
case_lost_replies() {
  faults '{"loseReplies": 40}'
  load "$(all)" 6s --booking-part 0.8 || return 1
  faults '{}'
  whole && once
}

# An engine says that it leaves. It gets no new work within seconds and what it
# runs ends whole.
case_leave() {
  under "$(all)" 10s
  kill -TERM "$pid_engine_4"
  wait "$pid_engine_4" || return 1
  ended
  start_engine 4 dc-2
  whole
}

start_platform
eventually 5 curl -fsS "http://$platform/v1/instances"
for i in 1 2 3 4; do start_engine "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 5 6; do start_service "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 1 2 3; do start_router "$i" "dc-$(((i + 1) % 2 + 1))" --drain-notice 1s; done
document 4 2 >"$dir/first.json"
"$bin/auburntray" publish "$dir/first.json" --platform "$platform" --author day-shift --base 0 >/dev/null
for i in 1 2 3; do eventually 10 at_least "$i" routersLive 3; done

for c in "${@:-restart freeze kill kill_entry outage cut_platform lost_replies leave}"; do
  for d in $c; do check "$d" "case_$d"; done
done
echo "failures: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
