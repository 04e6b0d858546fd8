#!/usr/bin/env bash
# Runs each example deployment end to end on this machine: starts the stand-ins
# and three instances, sends plain, streamed and keyed requests, prints answers
# and times, and stops everything. Exits 0 only if every request was answered
# with status 200.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
dir=$(mktemp -d)
trap 'fleet_stop; rm -rf "$dir"' EXIT
failed=0

# ask PORT CLASS PATH BODY [curl options]: sends a request; prints answer and times.
ask() {
  local port=$1 class=$2 path=$3 body=$4
  shift 4
  local status
  status=$(curl -s -N -D "$dir/headers" -o "$dir/answer" --max-time 20 \
    -w '%{http_code}, first byte %{time_starttransfer}s, total %{time_total}s' \
    -H "Authorization: Bearer $workspace_key" -H "Crowstep-Class: $class" \
    -H 'Content-Type: application/json' "$@" -d "$body" \
    "http://127.0.0.1:$port$path") || true
  printf '%-22s entry %s -> %s\n' "$class" "$port" "$status"
  grep -i '^crowstep-' "$dir/headers" | tr -d '\r' | sed 's/^/    /'
  head -c 160 "$dir/answer" | head -n 3 | sed 's/^/    /'
  echo
  [[ $status == 200* ]] || failed=1
}

demo() {
  local deployment=$1 engine_class=$2 plain_class=$3 keyed_class=$4
  local plain_service=$5
  workspace_key=$6
  echo "== $deployment: three instances =="
  fleet_settings "$dir/$deployment" "$build" "$deployment" 3
  fleet_start_platform
  fleet_start_upstreams
  fleet_start_instances
  ask 7301 "$engine_class" /v1/chat/completions \
    '{"messages":[{"role":"user","content":"the way to the falls [len=12]"}],"max_tokens":20}'
  ask 7302 "$engine_class" /v1/chat/completions \
    '{"messages":[{"role":"user","content":"the way to the falls [len=12]"}],"max_tokens":20,"stream":true}'
  ask 7303 "$plain_class" "/v1/services/$plain_service/check" '{"id":1}' \
    -H "Idempotency-Key: demo-check-$deployment"
  ask 7301 "$keyed_class" "/v1/services/$plain_service/hold" '{"seat":"4a"}' \
    -H "Idempotency-Key: demo-$deployment"
  echo "the same key again, through another entry:"
  ask 7302 "$keyed_class" "/v1/services/$plain_service/hold" '{"seat":"4a"}' \
    -H "Idempotency-Key: demo-$deployment"
  echo operator-key >"$dir/operator.key"
  "$build/crowstepctl" --admin 127.0.0.1:7202 --key-file "$dir/operator.key" \
    status | head -n 12
  fleet_stop
}

build=$(cd "${1:-build}" && pwd)
demo kilimanjaro route-guide pass-check seat-hold pass-desk meru-loops-key
demo fraser-commons referral-note eligibility-screening eligibility-screening \
  intake-desk surrey-clinic-key
[ $failed -eq 0 ] && echo "demo: every request was answered"
exit $failed
