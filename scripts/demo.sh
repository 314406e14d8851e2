#!/usr/bin/env bash
# Demonstrates a fleet: three routers in two data centres, four model engines and two services. It publishes a
# first configuration, sends streamed chats of several turns and bookings that must not run twice, stops one
# router as planned meanwhile, and prints the results.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

log() { echo "demo: $*"; }

start_platform
eventually 5 curl -fsS "http://$platform/v1/instances"
for i in 1 2 3 4; do start_engine "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 5 6; do start_service "$i" "dc-$(((i + 1) % 2 + 1))"; done
for i in 1 2 3; do start_router "$i" "dc-$(((i + 1) % 2 + 1))"; done
log "started the platform, 4 engines, 2 services and 3 routers in 2 data centres"

document 4 2 >"$dir/first.json"
"$bin/auburntray" publish "$dir/first.json" --platform "$platform" --author day-shift --base 0 | tail -1
for i in 1 2 3; do eventually 10 router_ready "$i"; done
for i in 1 2 3; do eventually 10 metric_at_least "$i" routersLive 3; done
log "the first configuration is in force on every router"

"$bin/auburntray" load --addresses "$(router_address 1),$(router_address 2),$(router_address 3)" \
  --duration 12s --rate 40 --chats 60 --tokens 60 --output "$dir/load.json" >"$dir/load.out" 2>"$dir/load.progress" &
load=$!
pids+=("$load")

sleep 4
log "sending SIGTERM to router 3 with $(metric 3 inFlight) requests in progress"
kill -TERM "$pid_router_3"
wait "$pid_router_3" && log "router 3 stopped as planned" || log "router 3 exited with an error"

wait "$load"
tail -1 "$dir/load.progress"
tail -1 "$dir/load.out"
for i in 1 2; do
  log "router $i: $(metric "$i" returnedToPlace) chats served at their placement again, $(metric "$i" claims) claims," \
    "$(metric "$i" replayed) replayed answers, $(metric "$i" controlBytesSent) control bytes sent"
done

line=$(tail -1 "$dir/load.out")

# value NAME prints a value of the load's last line.
value() { echo "$line" | tr ' ' '\n' | sed -n "s/^$1=//p"; }
failed=$(($(value refused) + $(value failed) + $(value wrong)))
cut=$(value cut)
echo "demo: $(value served) requests served, $failed failed, $cut cut"
[ "$failed" -eq 0 ] && [ "$cut" -eq 0 ]
