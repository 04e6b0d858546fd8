#!/bin/bash
# Measures membership with real processes on this machine: the cost of each
# member, from its own counters and /proc, and the time from a SIGKILL until the
# last survivor has moved the victim's pools.
# Usage: measure_membership.sh BUILD [KILLS] [SIZES...]
set -euo pipefail
build=$1
kills=${2:-20}
shift $(($# > 2 ? 2 : $#))
sizes=("${@:-}")
[ -n "${sizes[0]}" ] || sizes=(4 8 16 32 64)
quiet_seconds=20
dir=$(mktemp -d)
declare -A pids

stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT

start_member() { # index
  "$build/tests/standin-member" --config "$dir/$1.ini" 2>>"$dir/$1.log" &
  pids[$1]=$!
}

write_settings() { # index; only three members are hints, as in a stale list
  cat >"$dir/$1.ini" <<INI
[log]
level = warn
[member]
name = i$1
listen = 127.0.0.1:$((23000 + $1))
http = 127.0.0.1:$((24000 + $1))
hints = 127.0.0.1:23000;127.0.0.1:23001;127.0.0.1:23002
INI
}

get() { curl -s --max-time 5 "http://127.0.0.1:$((24000 + $1))/$2"; }

wait_for_view() { # index, expected number of live members
  for _ in $(seq 300); do
    [ "$(get "$1" view | grep -c alive)" = "$2" ] && return 0
    sleep 0.1
  done
  echo "member $1 does not see $2 members" >&2
  exit 1
}

counter() { # file, name with labels; prints its value
  awk -v name="$2" '$1 == name { print $2 }' "$1"
}

snapshot() { # index, name of the snapshot
  get "$1" metrics >"$dir/$1.$2"
  awk '{ print $14 + $15 }' "/proc/${pids[$1]}/stat" >"$dir/$1.$2.cpu"
}

per_second() { # size, counter; prints the mean rate of all members
  for index in $(seq 0 $(($1 - 1))); do
    echo "$(counter "$dir/$index.begin" "$2") $(counter "$dir/$index.end" "$2")"
  done | awk -v time="$quiet_seconds" '{ sum += $2 - $1 } END { printf "%.1f", sum / NR / time }'
}

measure_quiet() { # size
  local last=$(($1 - 1)) hertz
  hertz=$(getconf CLK_TCK)
  for index in $(seq 0 $last); do snapshot "$index" begin; done
  sleep $quiet_seconds
  for index in $(seq 0 $last); do snapshot "$index" end; done
  cpu=$(for index in $(seq 0 $last); do
    echo "$(cat "$dir/$index.begin.cpu") $(cat "$dir/$index.end.cpu")"
  done | awk -v time="$quiet_seconds" -v hertz="$hertz" \
    '{ sum += $2 - $1 } END { printf "%.3f", 100 * sum / NR / time / hertz }')
  rss=$(for index in $(seq 0 $last); do
    awk '/VmRSS/ { print $2 / 1024 }' "/proc/${pids[$index]}/status"
  done | awk '{ sum += $1 } END { printf "%.1f", sum / NR }')
  printf '%7d %9s %9s %9s %9s %9s %9s\n' "$1" \
    "$(per_second "$1" 'crowstep_link_frames_total{direction="out"}')" \
    "$(per_second "$1" 'crowstep_link_bytes_total{direction="out"}')" \
    "$(per_second "$1" 'crowstep_link_bytes_total{direction="in"}')" \
    "$(counter "$dir/$last.end" crowstep_link_open)" "$cpu" "$rss"
}

measure_kills() { # size; prints one line of results
  local last=$(($1 - 1))
  for round in $(seq "$kills"); do
    victim=$((round % $1))
    began=$(date +%s%3N)
    kill -9 "${pids[$victim]}"
    wait "${pids[$victim]}" 2>/dev/null || true
    for index in $(seq 0 $last); do
      [ "$index" = "$victim" ] || wait_for_view "$index" $last
    done
    for index in $(seq 0 $last); do
      [ "$index" = "$victim" ] || echo $(($(get "$index" deaths) - began))
    done | sort -n | tail -1 >>"$dir/kills.$1"
    start_member "$victim"
    for index in $(seq 0 $last); do wait_for_view "$index" "$1"; done
    sleep 1
  done
  sort -n "$dir/kills.$1" | awk -v size="$1" '{ all[NR] = $1 } END {
    printf "%7d %6d kills: median %d ms, maximum %d ms\n", size, NR,
      all[int((NR + 1) / 2)], all[NR] }'
}

echo "members  frames/s  out B/s   in B/s     links   % core    RSS MB"
for size in "${sizes[@]}"; do
  for index in $(seq 0 $((size - 1))); do
    write_settings "$index"
    start_member "$index"
  done
  for index in $(seq 0 $((size - 1))); do wait_for_view "$index" "$size"; done
  sleep 10
  measure_quiet "$size"
  if [ "$size" = 8 ] || [ "$size" = 32 ]; then measure_kills "$size"; fi
  stop_all
done
