# Functions for scripts that start the programs; to be sourced, not run.
# The sourcing script sets $work, the folder of settings and logs.
# shellcheck shell=sh disable=SC2154

pids=""

# Stops the processes that this script started, and no others.
stop_all() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  for pid in $pids; do wait "$pid" 2>/dev/null || true; done
  pids=""
}
trap stop_all EXIT
trap 'exit 1' INT TERM

start() { # NAME PROGRAM: settings in $work/NAME.ini, log in $work/NAME.log
  "$2" --config "$work/$1.ini" >"$work/$1.log" 2>&1 &
  last_pid=$!
  pids="$pids $last_pid"
}

wait_ready() { # ADDRESS: waits until /readyz succeeds, for about 100 tries 0.2 s apart
  tries=0
  until curl -fs -m 1 -o /dev/null "http://$1/readyz"; do
    tries=$((tries + 1))
    if [ "$tries" -gt 100 ]; then
      echo "$1 is not ready; logs are in $work" >&2
      exit 1
    fi
    sleep 0.2
  done
}
