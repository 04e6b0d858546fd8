#!/usr/bin/env bash
# Usage: soak.sh BUILD SECONDS. Runs fresh seeds: half of the time real gateways
# under faults, then the tests repeatedly. A failure is printed with its seed, to
# be added to tests/soak/seeds.txt or to a test.
set -uo pipefail
build=$1 end=$((SECONDS + $2))
"$build/tests/crowstep-soak" --seconds $(($2 / 2)) --keep "$build/soak" || exit 1
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
echo "soak: $round rounds of tests, no failure"
