#!/bin/sh
# Usage: check_lint.sh BUILD. Runs clang-tidy with the compile commands of BUILD.
# Omits its count of suppressed warnings in library headers from the output.
set -eu
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$1" --quiet >"$log" 2>&1; then
  grep -v 'warnings generated\.$' "$log"
  echo "lint: failed"
  exit 1
fi
echo "lint: clean"
