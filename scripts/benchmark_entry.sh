#!/bin/sh
# Measures the overhead of one entry: sends the same load directly to the
# stand-in upstreams and through one entry with its dispatcher, one after the
# other, and prints the entry's processor time and memory.
#
# Usage: scripts/benchmark_entry.sh
# Environment: BUILD (build), OUT (out/benchmark), PORTS (7), SECONDS_EACH (15).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
ports=${PORTS:-7}
seconds=${SECONDS_EACH:-15}
work=${OUT:-out/benchmark}
rm -rf "$work"
mkdir -p "$work"
. scripts/process_lib.sh
entry=127.0.0.1:${ports}201
engines="" services=""

write_settings() {
  # More slots than the engines of the examples have, to measure the entry and
  # not the queue in front of the engines.
  sed -e "s/127\.0\.0\.1:7/127.0.0.1:$ports/" -e 's/"slots": [0-9]*/"slots": 600/' \
    examples/kilimanjaro/platform.json >"$work/platform.json"
  cat >"$work/platform.ini" <<EOF
[platform]
listen = 127.0.0.1:${ports}001
seed = $work/platform.json
EOF
  for group in 1 2 3; do
    cat >"$work/engines-$group.ini" <<EOF
[defaults]
service = guide-writer
slots = 600
token_ms = 2
batch_penalty = 0
EOF
    for number in $((group * 3 - 2)) $((group * 3 - 1)) $((group * 3)); do
      cat >>"$work/engines-$group.ini" <<EOF
[engine-$number]
name = guide-writer-$number
listen = 127.0.0.1:${ports}40$number
EOF
      engines="$engines${engines:+;}127.0.0.1:${ports}40$number"
    done
  done
  printf '[defaults]\nservice = pass-desk\nslots = 600\n' >"$work/services.ini"
  for number in 1 2 3 4; do
    cat >>"$work/services.ini" <<EOF
[service-$number]
name = pass-desk-$number
listen = 127.0.0.1:${ports}50$number
EOF
    services="$services${services:+;}127.0.0.1:${ports}50$number"
  done
  cat >"$work/dispatcher.ini" <<EOF
[instance]
name = crowstep-1
zone = njiro
[dispatcher]
link_listen = 127.0.0.1:${ports}101
admin_listen = 127.0.0.1:${ports}301
[link]
key = benchmark-link-key
seeds = 127.0.0.1:${ports}101
[platform]
address = 127.0.0.1:${ports}001
EOF
  cat >"$work/entry.ini" <<EOF
[instance]
name = crowstep-1
zone = njiro
[entry]
listen = $entry
home = 127.0.0.1:${ports}101
[link]
key = benchmark-link-key
[daemon]
stop_limit_ms = 5000
EOF
}

processor_ms() { # PID; prints its processor time so far, in ticks of 10 ms converted to ms
  awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"
}

# Runs one load and prints its row of the table. ARGUMENTs go to crowstep-load run.
measure() { # NAME VIA TARGETS ARGUMENT...
  name=$1 via=$2 targets=$3
  shift 3
  before=$(processor_ms "$entry_pid")
  "$build/crowstep-load" run --targets "$targets" --seconds "$seconds" \
    --workspace meru-loops --policy "$via" --out "$work/$name-$via.json" "$@" \
    >"$work/$name-$via.md" 2>"$work/$name-$via.log" &
  load_pid=$!
  sleep "$((seconds - 2))"
  memory=$(awk '/VmRSS/ { print int($2 / 1024) }' "/proc/$entry_pid/status")
  wait "$load_pid"
  used=$(($(processor_ms "$entry_pid") - before))
  row=$(grep "| $via |" "$work/$name-$via.md" | tail -1 |
    awk -F'|' '{ print $4 "|" $5 "|" $14 "|" $15 "|" $17 "|" $18 }')
  echo "| $name | $via |$row| $used | $memory |"
}

both() { # NAME TARGETS ARGUMENT...
  name=$1 straight=$2
  shift 2
  measure "$name" straight "$straight" "$@"
  measure "$name" entry "$entry" "$@"
}

write_settings
start platform "$build/tests/standin-platform"
for group in 1 2 3; do
  start "engines-$group" "$build/tests/standin-engine"
done
start services "$build/tests/standin-service"
sleep 0.5
start dispatcher "$build/crowstep-dispatcher"
start entry "$build/crowstep-entry"
entry_pid=$last_pid
wait_ready "$entry"

{
  echo "| load | via | sent | answered | first p50 ms | first p99 ms | good/s |" \
    "tokens/s | entry processor ms | entry memory MB |"
  echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
  both latency "$engines" --class pass-summary --model guide-1 --rate 300 \
    --tokens 10
  both tokens "$engines" --class pass-summary --model guide-1 --rate 200 \
    --tokens 100
  both short "$services" --class pass-check --path /v1/services/pass-desk/check \
    --rate 2500 --tokens 0
  # At 100 ms a token a stream takes 10 s; 50 streams a second keep 500 open.
  for number in 1 2 3 4 5 6 7 8 9; do
    curl -fs -o /dev/null "http://127.0.0.1:${ports}40$number/faults" \
      -d '{"mode":"slow","factor":50}'
  done
  both open-500 "$engines" --class pass-summary --model guide-1 --rate 50 \
    --tokens 100 --warm-up 10
} | tee "$work/report.md"
