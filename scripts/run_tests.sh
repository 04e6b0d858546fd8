#!/bin/sh
# Usage: run_tests.sh BUILD. Runs all tests of BUILD except those listed in
# KNOWN-RED.txt, which run first and one by one: the script fails if one passes,
# as it must then leave the list, or if there is no such test. A name with a kind of
# machine behind it, as in name[aarch64], counts only there. Prints every line of the
# list, also those that name no test.
set -eu
build=$1
known=$(sed -n "s/^\([a-z0-9_]*\)\(\[$(uname -m)\]\)\?:.*/\1/p" KNOWN-RED.txt 2>/dev/null || true)
for name in $known; do
  if ! ctest --test-dir "$build" -N -R "^$name\$" | grep -q "^Total Tests: 1$"; then
    echo "$name in KNOWN-RED.txt is no test"
    exit 1
  fi
  if ctest --test-dir "$build" -R "^$name\$" >/dev/null 2>&1; then
    echo "$name passes: take it out of KNOWN-RED.txt"
    exit 1
  fi
done
[ ! -f KNOWN-RED.txt ] || sed 's/^/known red: /' KNOWN-RED.txt
exclude=$(echo "$known" | tr '\n' '|' | sed 's/|$//')
ctest --test-dir "$build" --output-on-failure -j 4 -E "^(${exclude:-none})\$"
