#!/usr/bin/env bash
# Fresh seeds: soak.sh BUILD SECONDS. Half of the time real gateways meet faults;
# then the tests run again and again. What fails is printed with its seed, which
# goes into tests/soak/seeds.txt or into a test.
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
