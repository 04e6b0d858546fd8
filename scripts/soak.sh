#!/usr/bin/env bash
# Runs the tests again and again with fresh seeds: soak.sh BUILD SECONDS.
# RapidCheck prints how to reproduce a failure; such a seed is kept as a test.
set -uo pipefail
build=$1 end=$((SECONDS + $2))
round=0
while [ $SECONDS -lt $end ]; do
  round=$((round + 1))
  seed=$RANDOM$RANDOM
  for test in "$build"/tests/*_test; do
    [ $SECONDS -lt $end ] || break
    if ! RC_PARAMS="seed=$seed" timeout 300 "$test" >"$build/soak.log" 2>&1; then
      cat "$build/soak.log"
      echo "soak: $(basename "$test") failed in round $round, RC_PARAMS=\"seed=$seed\""
      exit 1
    fi
  done
done
echo "soak: $round rounds, no failure"
