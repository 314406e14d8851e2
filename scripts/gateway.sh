#!/usr/bin/env bash
# Demonstrates gateways as on the users' platform: a stand-in for its store, four servers, and two gateways in
# two data centres that read their configuration from the store. It sends calls that must not run twice through
# both gateways, while one server leaves, a data centre is evacuated, the settings of one gateway change and the
# other gateway is stopped as planned.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

log() { echo "gateway: $*"; }

store=127.0.0.1:$((port + 90))
callers_address() { echo "127.0.0.1:$((port + 92 + $1))"; }
ready_address() { echo "127.0.0.1:$((port + 94 + $1))"; }
peers_address() { echo "127.0.0.1:$((port + 96 + $1))"; }
server_address() { echo "127.0.0.1:$((port + 70 + $1))"; }

# write_settings GATEWAY BUDGETSLACK writes the settings file of a gateway.
write_settings() {
  cat >"$dir/gateway-$1.toml" <<EOF
nodeName = "gateway-$1"
zone = "dc-$1"
region = "region-1"
seeds = ["$(peers_address 1)", "$(peers_address 2)"]
[listen]
front = "$(callers_address "$1")"
ready = "$(ready_address "$1")"
control = "$(peers_address "$1")"
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = $2
[platform]
address = "$store"
EOF
}

# start_gateway GATEWAY starts a gateway.
start_gateway() {
  write_settings "$1" 52
  AUBURNTRAY_SETTINGS="$dir/gateway-$1.toml" start "gateway_$1" "$bin/auburntray" platform
}

# gateway_ready GATEWAY reports whether a gateway is ready.
gateway_ready() { curl -fsS -o /dev/null "http://$(ready_address "$1")/auburntray/ready"; }

# call GATEWAY ID sends a call and prints the status of the answer.
call() {
  curl -s -o "$dir/answer" -w '%{http_code}\n' -X POST -H 'Host: app.example' -H "X-Attempt-Id: $2" \
    -H 'X-Deadline-Ms: 3000' -H 'Authorization: Token key-1' -d "$2" "http://$(callers_address "$1")/orders/$2" || true
}

start store "$bin/auburntray-standin" store --listen "$store"
eventually 5 curl -fsS "http://$store/auburntray/log-newest?topic=keyed.servers&part=0"
for i in 1 2 3 4; do
  start "server_$i" "$bin/auburntray-standin" server --listen "$(server_address "$i")" --store "$store" --id "i-$i" \
    --service orders --data-centre "dc-$((i % 2 + 1))"
done

curl -fsS -X PUT --data-binary @- "http://$store/admin/records/keyed.op/config" <<'EOF'
{"version": 1, "services": [{"name": "orders"}],
 "tenants": [{"name": "member-1", "apiKeys": ["key-1"]}],
 "routes": [{"name": "orders", "host": "app.example", "pathPrefix": "/orders/", "kind": "non_idempotent",
             "service": "orders", "maxAttempts": 2, "timeoutMs": 3000, "targetLatencyMs": 300}]}
EOF

# set_evacuation DATACENTRE VALUE writes the record of an evacuation; an empty value ends the evacuation.
set_evacuation() { curl -fsS -X PUT --data-binary "$2" "http://$store/admin/records/keyed.op/evacuate/$1"; }

start_gateway 1
start_gateway 2
for i in 1 2; do eventually 10 gateway_ready "$i"; done
log "started the store, 4 servers and 2 gateways in 2 data centres"

served=0
failed=0
for n in $(seq 1 120); do
  case $n in
  30) kill -TERM "$pid_server_3" && log "server 3 is leaving" ;;
  45) set_evacuation dc-2 '{}' && log "data centre dc-2 is evacuated" ;;
  50) "$bin/auburntray" evacuations --peer "$(peers_address 1)" ;;
  58) set_evacuation dc-2 '' && log "the evacuation of dc-2 is ended" ;;
  60) write_settings 1 40 && kill -HUP "$pid_gateway_1" && log "the settings of gateway 1 have changed" ;;
  90) kill -TERM "$pid_gateway_2" && log "sent SIGTERM to gateway 2" ;;
  esac
  # Callers of a gateway that is stopping move to the other one.
  g=$((n < 90 ? n % 2 + 1 : 1))
  if [ "$(call "$g" "call-$n")" = 200 ]; then served=$((served + 1)); else failed=$((failed + 1)); fi
  sleep 0.02
done

wait "$pid_gateway_2" && log "gateway 2 stopped as planned"
"$bin/auburntray" explain call-45 "$dir/gateway_1.out" "$dir/gateway_2.out"
grep -q 'event=tuned' "$dir/gateway_1.out"
grep -h 'event=evacuation' "$dir/gateway_1.out" "$dir/gateway_2.out"
log "$served calls served, $failed failed"
[ "$failed" -eq 0 ]
