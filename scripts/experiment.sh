#!/bin/sh
# Runs experiments against real processes on loopback, each policy in turn with
# the same seed, and writes a report with plots.
#
# Usage: scripts/experiment.sh DEPLOYMENT SCENARIO...
#   for example: scripts/experiment.sh kilimanjaro steady burst
# Environment: BUILD (build), OUT (out/experiments), ENTRIES (as listed),
#   POLICIES ("crowstep round_robin least_in_flight"),
#   PORTS (7: first digits of all ports, so that two runs can go side by side),
#   WARM_UP_MS and MEASURED_MS (override the experiment's values).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
entries=${ENTRIES:-$(grep -c "\"link\"" "examples/$1/platform.json")}
policies=${POLICIES:-crowstep round_robin least_in_flight}
ports=${PORTS:-7}
deployment=$1
shift
out=${OUT:-out/experiments}/$deployment
mkdir -p "$out"
. scripts/process_lib.sh

# Capacity of a deployment's stand-ins. The request rates of the experiments in
# examples/experiments are chosen for it.
case $deployment in
kilimanjaro)
  engines=9 engine=guide-writer service=pass-desk service_ms=60 delay_ms=3
  zones="njiro sakina kijenge themi"
  ;;
fraser-commons)
  engines=12 engine=crowstep-pool service=intake-desk service_ms=100 delay_ms=1
  zones="surrey-hall burnaby-hall richmond-hall vancouver-hall"
  ;;
*)
  echo "unknown deployment $deployment" >&2
  exit 2
  ;;
esac

zone_of() { # NUMBER from 1
  # shellcheck disable=SC2086
  set -- $(((($1 - 1) % 4) + 1)) $zones
  shift "$1"
  echo "$1"
}

write_platform() {
  # Stand-in services take 8 concurrent calls: the small machine that runs an
  # experiment could not sustain 32.
  sed -e "s/127\.0\.0\.1:7/127.0.0.1:$ports/" -e 's/"slots": 32/"slots": 8/' \
    "examples/$deployment/platform.json" >"$work/platform.json"
  cat >"$work/platform.ini" <<EOF
[platform]
listen = 127.0.0.1:${ports}001
seed = $work/platform.json
EOF
}

# Three engines per process. They add the round-trip time between zones.
write_engines() {
  number=1
  while [ "$number" -le "$engines" ]; do
    file=$work/engines-$(((number + 2) / 3)).ini
    [ -f "$file" ] || cat >"$file" <<EOF
[defaults]
service = $engine
slots = 16
token_ms = 20
batch_penalty = 0.02
prefill_us_per_token = 200
cache_blocks = 2000
report_lag_ms = 200
client_delay_ms = $delay_ms
EOF
    cat >>"$file" <<EOF
[engine-$number]
name = $engine-$number
listen = 127.0.0.1:${ports}$((400 + number))
EOF
    number=$((number + 1))
  done
}

write_services() {
  cat >"$work/services.ini" <<EOF
[defaults]
service = $service
slots = 8
service_ms = $service_ms
report_lag_ms = 200
client_delay_ms = $delay_ms
EOF
  for number in 1 2 3 4; do
    cat >>"$work/services.ini" <<EOF
[service-$number]
name = $service-$number
listen = 127.0.0.1:${ports}50$number
EOF
  done
}

write_instance() { # NUMBER POLICY
  zone=$(zone_of "$1")
  homes="127.0.0.1:${ports}10$1"
  seeds=""
  other=1
  while [ "$other" -le "$entries" ]; do
    [ "$other" = "$1" ] || homes="$homes;127.0.0.1:${ports}10$other"
    seeds="$seeds${seeds:+;}127.0.0.1:${ports}10$other"
    other=$((other + 1))
  done
  placement=$2
  [ "$placement" = crowstep ] && placement=dispatcher
  cat >"$work/dispatcher-$1.ini" <<EOF
[instance]
name = crowstep-$1
zone = $zone
[dispatcher]
link_listen = 127.0.0.1:${ports}10$1
admin_listen = 127.0.0.1:${ports}30$1
[link]
key = experiment-link-key
seeds = $seeds
[platform]
address = 127.0.0.1:${ports}001
[log]
level = warn
EOF
  cat >"$work/entry-$1.ini" <<EOF
[instance]
name = crowstep-$1
zone = $zone
[entry]
listen = 127.0.0.1:${ports}20$1
home = $homes
placement = $placement
[link]
key = experiment-link-key
[log]
level = warn
[daemon]
stop_limit_ms = 5000
EOF
}

start_all() { # POLICY
  write_platform
  write_engines
  write_services
  start platform "$build/tests/standin-platform"
  for file in "$work"/engines-*.ini; do
    start "$(basename "$file" .ini)" "$build/tests/standin-engine"
  done
  start services "$build/tests/standin-service"
  sleep 0.5
  targets=""
  number=1
  while [ "$number" -le "$entries" ]; do
    write_instance "$number" "$1"
    start "dispatcher-$number" "$build/crowstep-dispatcher"
    start "entry-$number" "$build/crowstep-entry"
    targets="$targets${targets:+;}127.0.0.1:${ports}20$number"
    number=$((number + 1))
  done
  number=1
  while [ "$number" -le "$entries" ]; do
    wait_ready "127.0.0.1:${ports}20$number"
    number=$((number + 1))
  done
}

run_one() { # SCENARIO POLICY
  work=$out/$1/$2
  rm -rf "$work"
  mkdir -p "$work"
  start_all "$2"
  cat "examples/experiments/$deployment/base.ini" \
    "examples/experiments/$deployment/$1.ini" |
    sed "s/127\.0\.0\.1:7/127.0.0.1:$ports/g" >"$work/experiment.ini"
  {
    echo "[experiment]"
    [ -z "${WARM_UP_MS:-}" ] || echo "warm_up_ms = $WARM_UP_MS"
    [ -z "${MEASURED_MS:-}" ] || echo "measured_ms = $MEASURED_MS"
  } >>"$work/experiment.ini"
  "$build/crowstep-load" experiment --config "$work/experiment.ini" \
    --targets "$targets" --policy "$2" --out "$out/$1/$2.json" \
    >"$work/table.md" 2>"$work/load.log"
  number=1
  while [ "$number" -le "$entries" ]; do
    curl -s -m 2 "http://127.0.0.1:${ports}20$number/metrics" \
      >"$work/entry-$number.metrics" || true
    number=$((number + 1))
  done
  stop_all
}

results=""
for scenario in "$@"; do
  for policy in $policies; do
    echo "$deployment $scenario $policy"
    run_one "$scenario" "$policy"
    results="$results $out/$scenario/$policy.json"
  done
done
# shellcheck disable=SC2086
"$build/crowstep-load" report --out "$out/report" $results
for script in "$out"/report/*.gp; do
  (cd "$out/report" && gnuplot "$(basename "$script")")
done
echo "report: $out/report/report.md"
