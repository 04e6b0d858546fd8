#!/usr/bin/env bash
# Measures the cost and the latency of the control plane with real processes.
#
#   measure_fleet.sh idle COUNT...     each dispatcher's and entry's processor
#                                      time, memory and link bytes while idle
#   measure_fleet.sh load COUNT RATE   the same at RATE requests a second, a third
#                                      of them keyed
#   measure_fleet.sh changes N         time from a change to "accepted",
#                                      8 instances, N changes
#   measure_fleet.sh kills N           time that a pool is not served after its
#                                      owner is killed, 8 instances, N kills
#
# Environment: BUILD (build), SPAN (20: seconds of each measurement of idle and
#   load).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
FLEET_LOG_LEVEL=warn
build=$(cd "${BUILD:-build}" && pwd)
dir=$(mktemp -d)
trap 'fleet_stop; rm -rf "$dir"' EXIT
span=${SPAN:-20}
key=operator-key
auth="Authorization: Bearer $key"

start() {
  fleet_settings "$dir/$1" "$build" kilimanjaro "$1"
  fleet_start_platform
  fleet_start_upstreams
  fleet_start_instances
}

# Processor time of process $1 in clock ticks, and its resident memory in KB.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
# Sum of the metrics at address $1 whose name and labels begin with $2.
series() { curl -s "http://$1/metrics" | awk -v n="$2" 'index($1, n) == 1 {s += $2} END {print s + 0}'; }

snapshot() { # FILE
  local i
  for ((i = 1; i <= FLEET_COUNT; i++)); do
    echo "$(ticks "${FLEET_DISPATCHER_PIDS[i]}")" \
      "$(ticks "${FLEET_ENTRY_PIDS[i]}")" \
      "$(memory "${FLEET_DISPATCHER_PIDS[i]}")" \
      "$(memory "${FLEET_ENTRY_PIDS[i]}")" \
      "$(series "127.0.0.1:$((FLEET_BASE + 200 + i))" 'crowstep_link_bytes_total{direction="out"')" \
      "$(series "127.0.0.1:$((FLEET_BASE + 300 + i))" 'crowstep_link_bytes_total{direction="out"')" \
      "$(series "127.0.0.1:$((FLEET_BASE + 200 + i))" 'crowstep_link_frames_total{direction="out"')"
  done >"$1"
}

report() { # LABEL
  paste "$dir/before" "$dir/after" | awk -v label="$1" -v span="$span" -v hz="$(getconf CLK_TCK)" '
    {d += ($8 - $1) / hz; e += ($9 - $2) / hz; dm += $10; em += $11
     db += $12 - $5; eb += $13 - $6; df += $14 - $7; n++}
    END {printf "| %s | %.3f | %.3f | %.1f | %.1f | %.0f | %.0f | %.1f |\n", label,
         100 * d / n / span, 100 * e / n / span, dm / n / 1024, em / n / 1024,
         db / n / span, eb / n / span, df / n / span}'
}

header() {
  echo "| instances | dispatcher, % of a core | entry, % of a core | dispatcher, MB | entry, MB | dispatcher sends, B/s | entry sends, B/s | dispatcher sends, frames/s |"
  echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
}

statistics() { sort -n | awk '{a[NR] = $1} END {printf "median %.3f s, maximum %.3f s, of %d\n", a[int((NR + 1) / 2)], a[NR], NR}'; }

store_stats() { curl -s "http://127.0.0.1:$FLEET_BASE/stats" | tr -d '\n '; echo; }

measure_idle() {
  header
  local count
  for count in "$@"; do
    start "$count"
    sleep 5
    snapshot "$dir/before"
    sleep "$span"
    snapshot "$dir/after"
    report "$count"
    echo "  table service: $(store_stats)" >&2
    fleet_stop
  done
}

measure_load() { # COUNT RATE: two thirds unkeyed checks, one third keyed holds
  header
  start "$1"
  sleep 3
  local targets="" i
  for ((i = 1; i <= FLEET_COUNT; i++)); do
    targets="$targets${targets:+;}127.0.0.1:$((FLEET_BASE + 300 + i))"
  done
  snapshot "$dir/before"
  "$build/crowstep-load" run -t "$targets" -s "$span" -r $(($2 * 2 / 3)) \
    -w meru-loops -c pass-check -p /v1/services/pass-desk/check --tokens 0 \
    -o "$dir/plain.json" >"$dir/plain.md" 2>&1 &
  local plain=$!
  "$build/crowstep-load" run -t "$targets" -s "$span" -r $(($2 / 3)) --keyed \
    -w meru-loops -c seat-hold -p /v1/services/pass-desk/hold --tokens 0 \
    -o "$dir/keyed.json" >"$dir/keyed.md" 2>&1 || true
  wait $plain || true
  snapshot "$dir/after"
  report "$1, $2 requests/s"
  grep -h '^|' "$dir/plain.md" "$dir/keyed.md" | head -n 8
  echo "table service: $(store_stats)"
  fleet_stop
}

measure_changes() {
  start 8
  sleep 3
  local change version
  for ((change = 1; change <= $1; change++)); do
    curl -s -D "$dir/headers" -H "$auth" "http://127.0.0.1:$((FLEET_BASE + 201))/v1/table" >"$dir/table.csv"
    version=$(tr -d '\r' <"$dir/headers" | awk 'tolower($1) == "crowstep-table-version:" {print $2}')
    sed -E "s/^(4,route-guide.*),[0-9]+$/\1,$((10 + change % 50))/" "$dir/table.csv" >"$dir/new.csv"
    curl -s -o "$dir/answer" -w '%{time_total} %{http_code}\n' -X PUT -H "$auth" \
      -H "If-Match: $version" --data-binary @"$dir/new.csv" \
      "http://127.0.0.1:$((FLEET_BASE + 201 + change % 8))/v1/table" | tee -a "$dir/changes"  >/dev/null
  done
  awk '$2 == 200 {print $1}' "$dir/changes" | statistics
  awk '$2 != 200 {print "not accepted:", $2}' "$dir/changes" | sort | uniq -c
  fleet_stop
}

owner() { # prints the number of the instance that owns pass-desk
  local i
  for ((i = 1; i <= 8; i++)); do
    if curl -s --max-time 1 -H "$auth" "http://127.0.0.1:$((FLEET_BASE + 200 + i))/v1/status" |
      tr -d ' \n' | grep -q '"pools":\[.*"service":"pass-desk"'; then
      echo $i
      return
    fi
  done
}

check() { # sends one pass check to entry $1; prints the status
  curl -s -o /dev/null -w '%{http_code}' --max-time 5 \
    -H 'Authorization: Bearer meru-loops-key' -H 'Crowstep-Class: pass-check' \
    -H 'Content-Type: application/json' -d '{"id":1}' \
    "http://127.0.0.1:$((FLEET_BASE + 300 + $1))/v1/services/pass-desk/check"
}

measure_kills() {
  start 8
  sleep 3
  local kill victim other begin
  for ((kill = 1; kill <= $1; kill++)); do
    victim=$(owner)
    other=$((victim % 8 + 1))
    kill -9 "${FLEET_DISPATCHER_PIDS[victim]}"
    begin=$(date +%s%N)
    until [ "$(check $other)" = 200 ]; do :; done
    awk -v ns=$(($(date +%s%N) - begin)) 'BEGIN {print ns / 1e9}' >>"$dir/kills"
    fleet_start_dispatcher "$victim"
    sleep 4
  done
  statistics <"$dir/kills"
  fleet_stop
}

case ${1:-} in
idle) measure_idle "${@:2}" ;;
load) measure_load "$2" "$3" ;;
changes) measure_changes "$2" ;;
kills) measure_kills "$2" ;;
*) sed -n '2,14p' "$0" && exit 2 ;;
esac
