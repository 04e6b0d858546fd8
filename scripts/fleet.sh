# shellcheck shell=bash
# Functions that run a fleet of real processes on loopback, for other scripts to
# source. Ports are those of the examples' platform.json: platform 7000, links
# 7101.., administration 7201.., callers 7301.., engines 7401.., services 7501..;
# FLEET_BASE shifts them all.
#
# fleet_settings DIR BUILD DEPLOYMENT COUNT   writes the settings files
# fleet_start_platform, fleet_start_upstreams, fleet_start_instances
# fleet_stop                                  stops everything that was started
# fleet_wait URL                              waits until URL answers 200

FLEET_BASE=${FLEET_BASE:-7000} # Port of the platform; a multiple of 1000.
FLEET_PIDS=()
FLEET_DISPATCHER_PIDS=() # Indexed by instance number, from 1.
FLEET_ENTRY_PIDS=()      # Indexed by instance number, from 1.

fleet_zones() {
  case $1 in
  kilimanjaro) echo "njiro sakina kijenge themi" ;;
  fraser-commons) echo "surrey-hall burnaby-hall richmond-hall vancouver-hall" ;;
  esac
}

fleet_settings() {
  FLEET_DIR=$1 FLEET_BUILD=$2 FLEET_DEPLOYMENT=$3 FLEET_COUNT=$4
  local root zones engine_service engines plain_service i
  root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
  read -r -a zones <<<"$(fleet_zones "$FLEET_DEPLOYMENT")"
  case $FLEET_DEPLOYMENT in
  kilimanjaro) engine_service=guide-writer engines=9 plain_service=pass-desk ;;
  fraser-commons) engine_service=crowstep-pool engines=12 plain_service=intake-desk ;;
  esac
  mkdir -p "$FLEET_DIR"
  sed "s/127\.0\.0\.1:7\([0-9][0-9][0-9]\)/127.0.0.1:$((FLEET_BASE / 1000))\1/g" \
    "$root/examples/$FLEET_DEPLOYMENT/platform.json" >"$FLEET_DIR/platform.json"
  cat >"$FLEET_DIR/platform.ini" <<EOF
[platform]
listen = 127.0.0.1:$FLEET_BASE
seed = $FLEET_DIR/platform.json
EOF
  {
    echo "[defaults]"
    echo "slots = 16"
    echo "token_ms = 20"
    for ((i = 1; i <= engines; i++)); do
      printf '[engine-%d]\nname = %s-%d\nlisten = 127.0.0.1:%d\nservice = %s\nzone = %s\n' \
        "$i" "$engine_service" "$i" $((FLEET_BASE + 400 + i)) "$engine_service" \
        "${zones[$(((i - 1) % 4))]}"
    done
  } >"$FLEET_DIR/engines.ini"
  {
    for ((i = 1; i <= 4; i++)); do
      printf '[service-%d]\nname = %s-%d\nlisten = 127.0.0.1:%d\nservice = %s\nservice_ms = 20\nzone = %s\n' \
        "$i" "$plain_service" "$i" $((FLEET_BASE + 500 + i)) "$plain_service" \
        "${zones[$(((i - 1) % 4))]}"
    done
  } >"$FLEET_DIR/services.ini"
  for ((i = 1; i <= FLEET_COUNT; i++)); do
    cat >"$FLEET_DIR/dispatcher-$i.ini" <<EOF
[instance]
name = crowstep-$i
zone = ${zones[$(((i - 1) % 4))]}
[dispatcher]
link_listen = 127.0.0.1:$((FLEET_BASE + 100 + i))
admin_listen = 127.0.0.1:$((FLEET_BASE + 200 + i))
[link]
key = example-link-key
seeds = 127.0.0.1:$((FLEET_BASE + 101));127.0.0.1:$((FLEET_BASE + 102))
[platform]
address = 127.0.0.1:$FLEET_BASE
[log]
level = ${FLEET_LOG_LEVEL:-info}
EOF
    cat >"$FLEET_DIR/entry-$i.ini" <<EOF
[instance]
name = crowstep-$i
zone = ${zones[$(((i - 1) % 4))]}
[entry]
listen = 127.0.0.1:$((FLEET_BASE + 300 + i))
home = 127.0.0.1:$((FLEET_BASE + 100 + i));127.0.0.1:$((FLEET_BASE + 100 + i % FLEET_COUNT + 1))
placement = ${FLEET_PLACEMENT:-dispatcher}
[link]
key = example-link-key
[log]
level = ${FLEET_LOG_LEVEL:-info}
EOF
  done
}

# fleet_start PROGRAM NAME: starts PROGRAM with settings NAME.ini, log NAME.log.
fleet_start() {
  local program=$1 name=$2
  "$FLEET_BUILD/$program" --config "$FLEET_DIR/$name.ini" \
    >"$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS+=($!)
}

fleet_wait() {
  local tries
  for ((tries = 0; tries < 200; tries++)); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "$1")" = 200 ] &&
      return 0
    sleep 0.05
  done
  echo "no answer from $1; the logs are in $FLEET_DIR" >&2
  return 1
}

fleet_start_platform() {
  fleet_start tests/standin-platform platform
  fleet_wait "http://127.0.0.1:$FLEET_BASE/stats"
}

fleet_start_upstreams() {
  fleet_start tests/standin-engine engines
  fleet_start tests/standin-service services
  fleet_wait "http://127.0.0.1:$((FLEET_BASE + 401))/v1/load"
  fleet_wait "http://127.0.0.1:$((FLEET_BASE + 501))/v1/load"
}

fleet_start_dispatcher() {
  fleet_start crowstep-dispatcher "dispatcher-$1"
  FLEET_DISPATCHER_PIDS[$1]=${FLEET_PIDS[-1]}
}

fleet_start_instances() {
  local i
  for ((i = 1; i <= FLEET_COUNT; i++)); do
    fleet_start_dispatcher "$i"
    fleet_start crowstep-entry "entry-$i"
    FLEET_ENTRY_PIDS[i]=${FLEET_PIDS[-1]}
  done
  for ((i = 1; i <= FLEET_COUNT; i++)); do
    fleet_wait "http://127.0.0.1:$((FLEET_BASE + 300 + i))/readyz"
  done
}

fleet_stop() {
  [ ${#FLEET_PIDS[@]} -eq 0 ] && return 0
  kill "${FLEET_PIDS[@]}" 2>/dev/null || true
  wait "${FLEET_PIDS[@]}" 2>/dev/null || true
  FLEET_PIDS=()
}
